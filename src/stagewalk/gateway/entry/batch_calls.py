"""Endpoints by which trainers submit batches, read results and end batches.

Decides when a submission is refused and how long it waits for the log. Submissions are appended
through the batch store; other calls go to a node with a replica of the batch's ledger.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.ledger_calls import LedgerCallRouter
from stagewalk.gateway.batch_service.ledger_messages import (
    EndCall,
    ItemCall,
    LedgerCall,
    ResultsCall,
)
from stagewalk.gateway.batch_service.read_rules import MAXIMUM_WAIT_SECONDS
from stagewalk.gateway.batches.submission import find_unroutable_score, find_unsendable
from stagewalk.gateway.dialect import Dialect, Submission
from stagewalk.gateway.eligibility.retry_after import (
    DEFAULT_RETRY_AFTER_SECONDS,
    RETRY_AFTER_SECONDS_BY_DENIAL,
)
from stagewalk.gateway.entry.caller_authentication import Caller
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import (
    RETRY_AFTER_HEADER,
    reply_body_refused,
    reply_empty,
    reply_error,
)
from stagewalk.gateway.partitioned_log.appender import AppendFailure
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.runners.batch_assignments import BatchAssignments
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.scoring.core import RouteLookup

SUBMIT_TIMEOUT_SECONDS = 3.0
"""How long a submission waits for its append to the log."""

MAXIMUM_STALL_SECONDS = 1.5
"""Submissions are refused at once if appends to the partition have failed for longer than this."""

LOG_STALLED_DETAIL = "the log takes no appends"


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Why a batch was not accepted: none of it runs, and its trainer may submit it again.

    Attributes
    ----------
    cause
        Reason in the log line.
    detail
        Error text of the reply.
    """

    cause: str
    detail: str
    retry_after_seconds: float = DEFAULT_RETRY_AFTER_SECONDS


LOG_UNAVAILABLE = _Refusal("log does not answer", "the log does not answer")
NO_ELIGIBLE_NODE = _Refusal(
    "no node in its regions",
    "no node may run the batch",
    RETRY_AFTER_SECONDS_BY_DENIAL[Denial.REGION_NOT_ALLOWED],
)


class BatchEndpoints:
    """Endpoints for trainers."""

    def __init__(
        self,
        store: BatchStore,
        *,
        runners: RunnerChoice,
        assignments: BatchAssignments,
        ledger: LedgerCallRouter,
        dialect: Dialect,
        route_of: RouteLookup,
    ) -> None:
        self._store = store
        self._runners = runners
        self._assignments = assignments
        self._ledger = ledger
        self._dialect = dialect
        self._caller_interface = dialect.callers
        self._route_of = route_of

    async def submit(self, exchange: OpaqueExchange, caller: Caller) -> None:
        """Accept a batch once it has been appended to the log."""
        batch = exchange.header(self._caller_interface.request_id) or ""
        body = await exchange.body()
        if body.is_error():
            await reply_body_refused(exchange, body.error, batch)
            return
        if await self._replied_to_known_batch(exchange, batch, caller):
            return
        decoded = self._dialect.submission(batch, exchange.host, exchange.path, body.ok)
        if decoded.is_error():
            await reply_error(exchange, 400, str(decoded.error))
            return
        unsendable = find_unsendable(decoded.ok.items)
        if unsendable is not None:
            log_event("batch_refused", "warning", batch=batch, cause=str(unsendable))
            await reply_error(exchange, 400, str(unsendable))
            return
        refusal = self._refusal(batch, decoded.ok)
        if refusal is not None:
            await self._refuse(exchange, batch, refusal)
            return
        header = msgspec.structs.replace(decoded.ok.header, tenant=caller.tenant)
        runner = await self._runners.choose(header)
        if runner is None:
            await self._refuse(exchange, batch, NO_ELIGIBLE_NODE)
            return
        await self._append(exchange, Submission(header, decoded.ok.items), runner)

    def _refusal(self, batch: str, submission: Submission) -> _Refusal | None:
        """Return why a batch can't be accepted now, None if it can."""
        unroutable = find_unroutable_score(submission.items, self._route_of)
        if unroutable is not None:
            # The route may be in a newer configuration that this node has not read yet.
            return _Refusal(str(unroutable), str(unroutable))
        stalled_since = self._store.appends_stalled_since(batch)
        if stalled_since is not None and steady_seconds() - stalled_since > MAXIMUM_STALL_SECONDS:
            return _Refusal("log takes no appends", LOG_STALLED_DETAIL)
        return None

    async def _append(self, exchange: OpaqueExchange, batch: Submission, runner: str) -> None:
        """Append a batch to the log, notify its runner, and reply with the outcome."""
        header = batch.header
        outcome = await self._store.submit(batch, runner, SUBMIT_TIMEOUT_SECONDS)
        log_event(
            "batch_submitted",
            "info" if outcome.is_ok() else "warning",
            batch=header.batch,
            step=header.step,
            tenant=header.tenant,
            items=len(batch.items),
            runner=runner,
            offset=outcome.ok if outcome.is_ok() else -1,
            outcome="appended" if outcome.is_ok() else outcome.error.value,
        )
        if outcome.is_ok():
            await self._assignments.notify(runner, header, outcome.ok)
            await reply_empty(exchange, 202)
        elif outcome.error is AppendFailure.NOT_APPENDED:
            await reply_error(exchange, 503, LOG_STALLED_DETAIL, DEFAULT_RETRY_AFTER_SECONDS)
        else:
            await reply_error(exchange, 504, "the log did not answer")

    @staticmethod
    async def _refuse(exchange: OpaqueExchange, batch: str, refusal: _Refusal) -> None:
        log_event("batch_refused", "warning", batch=batch, cause=refusal.cause)
        await reply_error(exchange, 503, refusal.detail, refusal.retry_after_seconds)

    async def results(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """Reply with a batch's results from the given position on."""
        position = _parse_number(exchange.query.get(self._caller_interface.position_parameter, "0"))
        wait = (
            _parse_number(exchange.header(self._caller_interface.wait_milliseconds) or "0") / 1000.0
        )
        wait = min(MAXIMUM_WAIT_SECONDS, wait)
        await self._reply(exchange, ResultsCall(name, position, wait, caller.tenant))

    async def item(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """Reply with the body of one item."""
        item = exchange.query.get(self._caller_interface.item_parameter, "")
        await self._reply(exchange, ItemCall(name, item, caller.tenant))

    async def end(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """End a batch: its unfinished items are not run."""
        await self._reply(exchange, EndCall(name, caller.tenant))

    async def _replied_to_known_batch(
        self, exchange: OpaqueExchange, batch: str, caller: Caller
    ) -> bool:
        """Reply to a batch that was submitted before; return whether it was.

        If this node's view is stale or lacks history, it looks up whether another node accepted the
        batch, which may have ended since.
        """
        known = self._store.ledger.get(batch)
        if known is not None:
            await self._reply_to_known_batch(exchange, known.header.belongs_to(caller.tenant))
            return True
        now = steady_seconds()
        if self._store.is_current(batch, now) and not self._store.lacks_history(batch, now):
            return False
        place = await self._assignments.known_place(batch)
        if place.is_error():
            await self._refuse(exchange, batch, LOG_UNAVAILABLE)
            return True
        if place.ok is None:
            return False
        await self._reply_to_known_batch(exchange, place.ok.belongs_to(caller.tenant))
        return True

    @staticmethod
    async def _reply_to_known_batch(exchange: OpaqueExchange, own: bool) -> None:
        """Reply to a resubmitted batch: accepted, or a conflict if it is another tenant's."""
        if own:
            await reply_empty(exchange, 202)
        else:
            await reply_error(exchange, 409, "another tenant's batch has this id")

    async def _reply(self, exchange: OpaqueExchange, call: LedgerCall) -> None:
        answer = await self._ledger.call(call)
        headers = []
        if answer.retry_after_seconds is not None:
            headers.append((RETRY_AFTER_HEADER, f"{answer.retry_after_seconds:g}"))
        await exchange.respond(answer.status, answer.content_type, answer.content, headers)


def _parse_number(text: str) -> int:
    return int(text) if text.isdecimal() else 0
