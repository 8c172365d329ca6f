"""The request core: every completion request of this node, from submission to its final answer.

A request that is not repeatable is claimed first. Every request then passes admission, and attempts
are made until one answer is complete or no further attempt is allowed. Composes the claim gate,
admission, the router and the attempt runner.
`states.TRANSITIONS` and `docs/REQUESTS.md` list all transitions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import (
    ModelName,
    ProcessIdentity,
    RequestKey,
    TenantName,
)
from stagewalk.node.admission.controller import AdmissionController, AdmissionDecision
from stagewalk.node.admission.pool import PoolCapacity
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, TokenChunk
from stagewalk.node.core.events import AttemptChunk
from stagewalk.node.requests import errors
from stagewalk.node.requests.attempts import AttemptEvent, AttemptRunner
from stagewalk.node.requests.claim_gate import ClaimGate
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.notifications import (
    RequestJoined,
    RequestOutput,
    SubmissionRejected,
)
from stagewalk.node.requests.record import RequestRecord, fingerprint_of
from stagewalk.node.requests.retained import RetainedOutcome
from stagewalk.node.requests.states import Cause, RequestState
from stagewalk.node.requests.store import RequestStore
from stagewalk.node.requests.submission_rules import (
    NodeLoad,
    Resubmission,
    execution_status_of,
    refusal_of,
    resubmission,
)
from stagewalk.node.requests.tenancy import apply_parameters
from stagewalk.node.requests.timers import RequestTimer, RequestTimerKind
from stagewalk.node.routing.router import Router

POOL_REFRESH_INTERVAL_SECONDS = 0.1
"""Minimum time between two updates of a pool's capacity: a fifth of the poll interval."""

CLAIM_STATES = frozenset({RequestState.CLAIMING, RequestState.AWAITING_OWNER})


class RequestCore:
    """State machines of all requests at this node.

    Parameters
    ----------
    identity
        This node: its name, incarnation and a nonce bind claims to this process.
    router, admission
        Used by this core only.
    generator
        Source of nonces and jitter.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        router: Router,
        admission: AdmissionController,
        config: RequestConfig,
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._router = router
        self._admission = admission
        self._config = config
        self._store = RequestStore(config)
        self._runner = AttemptRunner(
            identity, self._store, router, admission, config, generator=generator
        )
        self._gate = ClaimGate(identity, self._store, config, generator)
        self._tenants: dict[TenantName, TenantParameters] = {}
        self._pool_views_at: dict[ModelName, float] = {}
        self._stopping = False

    def set_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Replace the tenants; requests already submitted keep their parameters."""
        known = tuple(tenants)
        self._tenants = {tenant.name: tenant.parameters for tenant in known}
        self._admission.set_tenants(known)
        self._runner.set_tenants(frozenset(self._tenants))

    def submit(self, request: CompletionRequest, now: float) -> list[RequestOutput]:
        """Start a request of a caller or of a rollout lot.

        The same request submitted again joins the first, or gets its retained answer.
        """
        key = RequestKey(request.tenant, request.request_id)
        parameters = self._tenants.get(request.tenant)
        if parameters is None or request.model not in parameters.models:
            self._reject(key, self._unknown_tenant_or_model(request, parameters))
            return self._store.drain()
        request = apply_parameters(request, parameters)
        fingerprint = fingerprint_of(request)
        record = self._store.records.get(key)
        if record is not None:
            self._join(record, request, fingerprint)
            return self._store.drain()
        outcome = self._store.retained.get(key, now)
        if outcome is not None and self._answer_from(outcome, key, request, fingerprint):
            return self._store.drain()
        self._start_request(request, parameters, fingerprint, outcome, now)
        return self._store.drain()

    def handle(self, event: AttemptEvent, now: float) -> list[RequestOutput]:
        """Handle an event of an attempt."""
        self._runner.handle(event, now)
        if not isinstance(event, AttemptChunk):
            self._release(now)
        return self._store.drain()

    def claim_decided(self, key: str, value: bytes, won: bool, now: float) -> list[RequestOutput]:
        """Handle a claim's decision: the request may be sent only if this claim won."""
        record = self._gate.decided(key, value, won, now)
        if record is not None:
            self._admit(record, now)
        return self._store.drain()

    def claim_undecided(self, key: str, error: StagewalkError, now: float) -> list[RequestOutput]:
        """Fail a request whose claim could not be decided; this submission is never sent."""
        self._gate.undecided(key, error, now)
        return self._store.drain()

    def answer_fetched(
        self, key: RequestKey, result: CompletionResult | None, detail: str, now: float
    ) -> list[RequestOutput]:
        """Handle the answer of a claim's owner; `detail` says why `result` is None."""
        self._gate.answer_fetched(key, result, detail, now)
        return self._store.drain()

    def hand_over_claim(self, key: RequestKey, nonce: str, now: float) -> bool:
        """Hand over the claim of a request that never ran here; return whether it was."""
        return self._gate.hand_over(key, nonce, now)

    def claim_handed_over(self, key: RequestKey, query_id: int, now: float) -> list[RequestOutput]:
        """Handle a claim that its owner handed to this node in reply to a query."""
        record = self._gate.handed_over(key, query_id)
        if record is not None:
            self._admit(record, now)
        return self._store.drain()

    def retained(self, key: RequestKey, now: float) -> RetainedOutcome | None:
        """Return how a request ended at this node, if that is still known."""
        return self._store.retained.get(key, now)

    def in_progress(self, key: RequestKey) -> bool:
        """Return whether a request is in progress at this node."""
        return key in self._store.records

    def in_flight_count(self) -> int:
        """Return how many requests are in progress: a planned stop waits until none is."""
        return len(self._store.records)

    def abandon(self, key: RequestKey, now: float) -> list[RequestOutput]:
        """Handle that the last caller of a request has disconnected.

        A running request that is not repeatable runs to its end, so that its answer is retained.
        """
        record = self._store.records.get(key)
        if record is None:
            return []
        if record.state is RequestState.RUNNING and not record.request.repeatable:
            self._store.move(record, Cause.DETACHED)
            return []
        self._runner.cancel_all(record, now)
        self._gate.forget(record)
        self._admission.withdraw(key)
        self._store.abandon(record, now)
        self._release(now)
        return self._store.drain()

    def stop(self) -> None:
        """Refuse new requests from now on; those in progress run to their end."""
        self._stopping = True

    def tick(self, now: float) -> list[RequestOutput]:
        """Handle due timers, admit waiting requests and drop expired outcomes."""
        for record, timer in self._store.due_timers(now):
            self._handle_timer(record, timer, now)
        self._refresh_pools(now)
        self._release(now)
        self._store.retained.expire(now)
        self._store.compact_timers()
        return self._store.drain()

    def _join(self, record: RequestRecord, request: CompletionRequest, fingerprint: str) -> None:
        if fingerprint != record.fingerprint:
            self._reject(record.key, errors.duplicate(self._identity.name, record.ran))
            return
        record.stream = record.stream or request.stream
        held = None
        if record.streamed_tokens > 0:
            source = next(iter(record.attempts.values()), None)
            text = record.held.text if source is None else source.assembly.text()
            spans = record.held.spans if source is None else source.assembly.spans
            held = TokenChunk(
                sequence=0,
                offset=0,
                token_count=record.streamed_tokens,
                text=text[: record.streamed_characters],
                version=spans[-1].version,
            )
        self._store.output(RequestJoined(record.key, held))

    def _answer_from(
        self,
        outcome: RetainedOutcome,
        key: RequestKey,
        request: CompletionRequest,
        fingerprint: str,
    ) -> bool:
        """Answer from a retained outcome; return False if the request must be run."""
        match resubmission(outcome, fingerprint):
            case Resubmission.OTHER_REQUEST:
                self._reject(
                    key, errors.duplicate(self._identity.name, execution_status_of(outcome))
                )
            case Resubmission.ANSWER:
                assert outcome.result is not None
                self._store.answer_again(key, outcome.result, request.stream)
            case Resubmission.ERROR:
                detail = "the request was sent before and may not be sent again"
                error = errors.outcome_unknown(
                    ErrorStep.EXECUTION, str(self._identity.name), detail
                )
                self._reject(key, outcome.error or error)
            case Resubmission.RUN:
                return False
        return True

    def _start_request(
        self,
        request: CompletionRequest,
        parameters: TenantParameters,
        fingerprint: str,
        outcome: RetainedOutcome | None,
        now: float,
    ) -> None:
        key = RequestKey(request.tenant, request.request_id)
        record = RequestRecord(
            key=key,
            serial=self._store.next_serial(),
            request=request,
            fingerprint=fingerprint,
            mixed_versions=parameters.allow_mixed_versions,
            retention_seconds=parameters.retention_seconds,
            stream=request.stream,
            submitted_at=now,
            may_have_run=outcome is not None and outcome.may_have_run,
            claim=None if outcome is None else outcome.claim,
        )
        memory = self._config.memory
        refusal = refusal_of(record, self._load(), memory, self._identity.name, now)
        if refusal is not None:
            self._reject(key, refusal)
            return
        self._store.add(record)
        self._runner.record_submission(key.tenant)
        self._store.set_timer(record, RequestTimerKind.DEADLINE, request.deadline)
        if request.repeatable:
            self._admit(record, now)
        else:
            self._gate.propose(record)

    def _load(self) -> NodeLoad:
        return NodeLoad(
            requests=len(self._store.records),
            claiming=len(self._gate),
            held_characters=self._store.held_characters,
            stopping=self._stopping,
        )

    def _admit(self, record: RequestRecord, now: float) -> None:
        self._refresh_pool(record.request.model, now)
        admission = self._admission.admit(record.key, record.request, now)
        if admission.is_error():
            refusal = replace(admission.error, ran=record.ran)
            self._store.fail(record, Cause.REFUSED, refusal, now)
            return
        if admission.ok is AdmissionDecision.WAITING:
            self._store.move(record, Cause.QUEUED)
            shed_at = self._admission.latest_start(record.request)
            self._store.set_timer(record, RequestTimerKind.SHED, shed_at)
            return
        self._store.move(record, Cause.ADMITTED)
        self._runner.dispatch(record, now)

    def _release(self, now: float) -> None:
        """Start waiting requests that admission now releases."""
        if not self._admission.waiting_count():
            return
        for key in self._admission.release(now):
            record = self._store.records[key]
            self._store.move(record, Cause.ADMITTED)
            self._runner.dispatch(record, now)

    def _handle_timer(self, record: RequestRecord, timer: RequestTimer, now: float) -> None:
        match timer.kind:
            case RequestTimerKind.DEADLINE:
                self._handle_deadline(record, now)
            case RequestTimerKind.SHED:
                if record.state is RequestState.WAITING:
                    self._shed(record, now)
            case RequestTimerKind.ROUTE:
                if record.state is RequestState.ROUTING:
                    self._runner.dispatch(record, now)
            case RequestTimerKind.HEDGE:
                self._runner.handle_hedge_timer(record, timer, now)
            case RequestTimerKind.STALL:
                self._runner.handle_stall_timer(record, timer, now)
            case RequestTimerKind.FETCH:
                if record.state is RequestState.AWAITING_OWNER:
                    detail = "the owner of the request did not send its answer in time"
                    self._gate.fail_outcome_unknown(record, Cause.ANSWER_UNKNOWN, detail, now)

    def _handle_deadline(self, record: RequestRecord, now: float) -> None:
        if record.state is RequestState.WAITING:
            self._shed(record, now)
            return
        step = ErrorStep.CLAIM if record.state in CLAIM_STATES else ErrorStep.EXECUTION
        self._gate.forget(record)
        self._runner.cancel_all(record, now)
        self._admission.withdraw(record.key)
        error = errors.deadline_passed(record, self._identity.name, step)
        self._store.fail(record, Cause.DEADLINE, error, now)

    def _shed(self, record: RequestRecord, now: float) -> None:
        """Fail a waiting request that can no longer meet its deadline."""
        wait = self._admission.expected_wait_seconds(record.request.model, record.request.priority)
        self._admission.withdraw(record.key)
        error = errors.shed(self._identity.name, record.ran, wait)
        self._store.fail(record, Cause.SHED, error, now)

    def _refresh_pools(self, now: float) -> None:
        for model in self._admission.models():
            self._refresh_pool(model, now)

    def _refresh_pool(self, model: ModelName, now: float) -> None:
        """Update a pool's capacity, at most once per `POOL_REFRESH_INTERVAL_SECONDS`."""
        if now - self._pool_views_at.get(model, -math.inf) < POOL_REFRESH_INTERVAL_SECONDS:
            return
        self._pool_views_at[model] = now
        view = self._router.pool_view(model, now)
        self._admission.set_pool_capacity(model, PoolCapacity(view.slots, view.load))

    def _reject(self, key: RequestKey, error: StagewalkError) -> None:
        self._store.output(SubmissionRejected(key, error))

    def _unknown_tenant_or_model(
        self, request: CompletionRequest, parameters: TenantParameters | None
    ) -> StagewalkError:
        if parameters is None:
            kind, field, detail = ErrorKind.UNKNOWN_TENANT, "tenant", "no such tenant"
        else:
            kind, field, detail = ErrorKind.UNKNOWN_MODEL, "model", "not a model of the tenant"
        # A node that has just started knows no tenants yet; another may have run the request.
        unproven = request.resent or not request.repeatable
        ran = ExecutionStatus.UNKNOWN if unproven else ExecutionStatus.NO
        node = str(self._identity.name)
        return StagewalkError(kind, ErrorStep.VALIDATION, node, detail, ran=ran, field=field)
