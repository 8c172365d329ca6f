"""Claims for requests that are not repeatable, won before a request is sent.

A claim is a write-once register shared by all nodes. Its value identifies this process by a nonce
that exists only in its memory, so at most one process may ever send the request, whichever nodes
it was submitted to. Owns the records whose claim is undecided; the claims core reports decisions
through notifications.
"""

from __future__ import annotations

import random
from dataclasses import replace

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import ProcessIdentity, RequestKey
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.requests import errors
from stagewalk.node.requests.claim_value import (
    ClaimValue,
    decode_claim,
    encode_claim,
    request_claim_key,
)
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.notifications import FetchAnswer
from stagewalk.node.requests.record import RequestRecord
from stagewalk.node.requests.states import Cause, RequestState
from stagewalk.node.requests.store import RequestStore
from stagewalk.node.requests.timers import RequestTimerKind

NONCE_BITS = 128
"""Large enough to make nonce collisions negligible."""


class ClaimGate:
    """Proposes claims and handles their decisions; a record proceeds only if its claim won."""

    def __init__(
        self,
        identity: ProcessIdentity,
        store: RequestStore,
        config: RequestConfig,
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._config = config
        self._generator = generator
        self._claiming: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._claiming)

    def propose(self, record: RequestRecord) -> None:
        """Propose the claim that makes this process the only one to send the request.

        After an earlier submission here that never ran, its claim is proposed again: that value
        may have been decided since, and a new one would lose to it.
        """
        if record.claim is None:
            record.claim = ClaimValue(
                node=self._identity.name,
                incarnation=self._identity.incarnation,
                nonce=f"{self._generator.getrandbits(NONCE_BITS):032x}",
                fingerprint=record.fingerprint,
            )
        key = request_claim_key(record.key)
        self._claiming[key] = record
        self._store.move(record, Cause.CLAIM_WANTED)
        self._store.output(ProposeClaim(key, encode_claim(record.claim)))

    def decided(self, key: str, value: bytes, won: bool, now: float) -> RequestRecord | None:
        """Handle a decision; return the record if it may be sent from now on.

        A decision for a record that no longer waits for one is late and changes nothing.
        """
        record = self._claiming.pop(key, None)
        if record is None or record.state is not RequestState.CLAIMING:
            return None
        chosen = decode_claim(value)
        if won and chosen is not None and chosen == record.claim:
            record.claim_held = True
            return record
        self._lost(record, chosen, now)
        return None

    def undecided(self, key: str, error: StagewalkError, now: float) -> None:
        """Fail a request whose claim could not be decided; this submission is never sent.

        The error says `ran: unknown`: the caller may have sent the same request through another
        node before, and only the claim would show it.
        """
        record = self._claiming.pop(key, None)
        if record is None or record.state is not RequestState.CLAIMING:
            return
        unknown = replace(
            error, kind=ErrorKind.OUTCOME_UNKNOWN, step=ErrorStep.CLAIM, ran=record.ran
        )
        self._store.fail(record, Cause.CLAIM_UNDECIDED, unknown, now)

    def answer_fetched(
        self, key: RequestKey, result: CompletionResult | None, detail: str, now: float
    ) -> None:
        """Handle the answer of a lost claim's owner; `detail` says why `result` is None."""
        record = self._store.records.get(key)
        if record is None or record.state is not RequestState.AWAITING_OWNER:
            return
        if result is None:
            self.fail_outcome_unknown(record, Cause.ANSWER_UNKNOWN, detail, now)
            return
        record.may_have_run = True
        self._store.finish(record, Cause.ANSWER_FETCHED, result, now)

    def hand_over(self, key: RequestKey, nonce: str, now: float) -> bool:
        """Hand over the claim of a request that never ran here; return whether it was.

        This process gives the claim up even if its reply is lost, so that at most one process
        ever holds it.
        """
        outcome = self._store.retained.get(key, now)
        if key in self._store.records or outcome is None or outcome.may_have_run:
            return False
        if outcome.claim is None or outcome.claim.nonce != nonce:
            return False
        self._store.retained.put(key, replace(outcome, claim=None))
        return True

    def handed_over(self, key: RequestKey, query_id: int) -> RequestRecord | None:
        """Handle a claim handed over; return the record if it may be sent from now on.

        The query id is the record's serial number. A late or duplicate reply to an earlier
        record's query is ignored: that claim may have been handed to another node since.
        """
        record = self._store.records.get(key)
        if record is None or record.state is not RequestState.AWAITING_OWNER:
            return None
        if record.serial != query_id or record.owners_claim is None:
            return None
        self._store.move(record, Cause.CLAIM_HANDED_OVER)
        record.claim = record.owners_claim
        record.claim_held = True
        return record

    def forget(self, record: RequestRecord) -> None:
        """Drop a record that no longer waits; a later decision of its claim has no effect."""
        if record.state is RequestState.CLAIMING:
            self._claiming.pop(request_claim_key(record.key), None)

    def fail_outcome_unknown(
        self, record: RequestRecord, cause: Cause, detail: str, now: float
    ) -> None:
        """Fail a request that another submission may have run."""
        peer = str(self._identity.name) if record.owner is None else str(record.owner)
        self._store.fail(record, cause, errors.outcome_unknown(ErrorStep.CLAIM, peer, detail), now)

    def _lost(self, record: RequestRecord, chosen: ClaimValue | None, now: float) -> None:
        """Fetch the answer from the node that owns the claim, or fail the request."""
        if chosen is None:
            detail = "the claim is held by an unknown owner"
            self.fail_outcome_unknown(record, Cause.OUTCOME_UNKNOWN, detail, now)
            return
        record.owner = chosen.node
        if chosen.fingerprint != record.fingerprint:
            error = errors.duplicate(self._identity.name, ExecutionStatus.UNKNOWN)
            self._store.fail(record, Cause.OUTCOME_UNKNOWN, error, now)
            return
        if chosen.node == self._identity.name:
            detail = f"node {chosen.node} owns the request and may have run it"
            self.fail_outcome_unknown(record, Cause.OUTCOME_UNKNOWN, detail, now)
            return
        self._store.move(record, Cause.CLAIM_LOST)
        until = now + self._config.fetch_timeout_seconds
        self._store.set_timer(record, RequestTimerKind.FETCH, until)
        record.owners_claim = chosen
        self._store.output(
            FetchAnswer(record.key, chosen.node, chosen.incarnation, chosen.nonce, record.serial)
        )
