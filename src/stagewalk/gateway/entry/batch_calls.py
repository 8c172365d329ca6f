"""The calls by which trainers hand in batches, read results and end batches."""

from __future__ import annotations

import msgspec

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.ledger_calls import LedgerCalls
from stagewalk.gateway.batch_service.ledger_messages import (
    EndCall,
    ItemCall,
    LedgerCall,
    ResultsCall,
)
from stagewalk.gateway.batch_service.ledger_reads import LONGEST_WAIT_SECONDS
from stagewalk.gateway.batches.submission import find_unroutable_score
from stagewalk.gateway.dialect import Dialect, Submission
from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_DENIAL, RETRY_AFTER_SECONDS
from stagewalk.gateway.entry.caller_gate import Caller
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import RETRY_AFTER_HEADER, reply_empty, reply_error
from stagewalk.gateway.partitioned_log.appender import AppendOutcome
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.scoring.core import RouteOf

SUBMIT_SECONDS = 3.0
"""How long a submission may wait for the log."""

STALLED_SECONDS = 1.5
"""A log that has taken nothing for this long is not waited for."""


class BatchCalls:
    """Endpoints for trainers."""

    def __init__(
        self,
        store: BatchStore,
        runners: RunnerChoice,
        ledger: LedgerCalls,
        dialect: Dialect,
        route_of: RouteOf,
    ) -> None:
        self._store = store
        self._runners = runners
        self._ledger = ledger
        self._dialect = dialect
        self._spelling = dialect.callers
        self._route_of = route_of

    async def submit(self, exchange: OpaqueExchange, caller: Caller) -> None:
        """Take a batch: accepted only once it is in the log."""
        batch = exchange.header(self._spelling.request_id) or ""
        body = await exchange.body()
        if body.is_error():
            await reply_error(exchange, 413, body.error.detail)
            return
        if await self._replied_known(exchange, batch, caller):
            return
        submission = self._dialect.submission(batch, exchange.host, exchange.path, body.ok)
        if submission.is_error():
            await reply_error(exchange, 400, str(submission.error))
            return
        unroutable = find_unroutable_score(submission.ok.items, self._route_of)
        if unroutable is not None:
            # A configuration that is not here yet may have the route: nothing is taken, nothing
            # runs, and the trainer may come back.
            log_event("batch_refused", "warning", batch=batch, cause=str(unroutable))
            await reply_error(exchange, 503, str(unroutable), RETRY_AFTER_SECONDS)
            return
        stalled_since = self._store.appends_stalled(batch)
        if stalled_since is not None and steady_seconds() - stalled_since > STALLED_SECONDS:
            log_event("batch_refused", "warning", batch=batch, cause="log takes no appends")
            await reply_error(exchange, 503, "the log takes no appends", RETRY_AFTER_SECONDS)
            return
        header = msgspec.structs.replace(submission.ok.header, tenant=caller.tenant)
        runner = await self._runners.choose(header)
        if runner is None:
            log_event("batch_refused", "warning", batch=batch, cause="no node in its regions")
            retry_after = RETRY_AFTER_DENIAL[Denial.REGION_NOT_ALLOWED]
            await reply_error(exchange, 503, "no node may run the batch", retry_after)
            return
        taken = Submission(header, submission.ok.items)
        outcome = await self._store.submit(taken, runner, SUBMIT_SECONDS)
        log_event(
            "batch_submitted",
            "info" if outcome.is_ok() else "warning",
            batch=batch,
            step=header.step,
            tenant=header.tenant,
            items=len(taken.items),
            runner=runner,
            offset=outcome.ok if outcome.is_ok() else -1,
            outcome="appended" if outcome.is_ok() else outcome.error.value,
        )
        if outcome.is_ok():
            await self._runners.notify(runner, header, outcome.ok)
            await reply_empty(exchange, 202)
        elif outcome.error is AppendOutcome.NOT_APPENDED:
            await reply_error(exchange, 503, "the log takes no appends", RETRY_AFTER_SECONDS)
        else:
            await reply_error(exchange, 504, "the log did not answer")

    async def results(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """Show a batch's results from a position on."""
        position = _number(exchange.query.get(self._spelling.position_parameter, "0"))
        wait = _number(exchange.header(self._spelling.wait_milliseconds) or "0") / 1000.0
        wait = min(LONGEST_WAIT_SECONDS, wait)
        await self._reply(exchange, ResultsCall(name, position, wait, caller.tenant))

    async def item(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """Show the body of an item."""
        item = exchange.query.get(self._spelling.item_parameter, "")
        await self._reply(exchange, ItemCall(name, item, caller.tenant))

    async def end(self, exchange: OpaqueExchange, name: str, caller: Caller) -> None:
        """End a batch: nobody waits for the rest."""
        await self._reply(exchange, EndCall(name, caller.tenant))

    async def _replied_known(self, exchange: OpaqueExchange, batch: str, caller: Caller) -> bool:
        """Answer a batch that was handed in before, if it was; return whether it is answered.

        A node whose own view isn't current looks up whether another node took it: it may even have
        ended since.
        """
        known = self._store.ledger.get(batch)
        if known is not None:
            await self._reply_known(exchange, known.header.belongs_to(caller.tenant))
            return True
        now = steady_seconds()
        if self._store.followed(batch, now) and not self._store.lacks_history(batch, now):
            return False
        place = await self._runners.known_place(batch)
        if place.is_error():
            log_event("batch_refused", "warning", batch=batch, cause="log does not answer")
            await reply_error(exchange, 503, "the log does not answer", RETRY_AFTER_SECONDS)
            return True
        if place.ok is None:
            return False
        await self._reply_known(exchange, place.ok.belongs_to(caller.tenant))
        return True

    @staticmethod
    async def _reply_known(exchange: OpaqueExchange, own: bool) -> None:
        """Answer a batch that is here already: taken, unless it is another tenant's."""
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


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else 0
