"""The calls by which trainers hand in batches, read results and end batches."""

from __future__ import annotations

import time

from stagewalk.batches.ledger import Batch
from stagewalk.batches.records import ItemFinished
from stagewalk.forwarding.policy import COME_BACK_SECONDS
from stagewalk.gateway.batch_runner import BatchRunner
from stagewalk.gateway.batch_store import BatchStore
from stagewalk.gateway.exchange import OpaqueExchange
from stagewalk.gateway.replies import reply_empty, reply_error, reply_json
from stagewalk.logs.lines import log_event
from stagewalk.partitioned_log.appender import AppendOutcome
from stagewalk.ports.dialect import Dialect

SUBMIT_SECONDS = 3.0
"""How long a submission may wait for the log."""

END_SECONDS = 2.0
STALLED_SECONDS = 1.5
"""A log that has taken nothing for this long is not waited for."""

PAGE_BYTES = 900_000
LONGEST_WAIT_SECONDS = 1.0
MAXIMUM_VIEW_AGE_SECONDS = 2.6
"""A view older than this is brought up to date before it is shown."""


class BatchCalls:
    """Endpoints for trainers."""

    def __init__(
        self,
        store: BatchStore,
        runner: BatchRunner,
        dialect: Dialect,
    ) -> None:
        self._store = store
        self._runner = runner
        self._dialect = dialect
        self._spelling = dialect.callers

    async def submit(self, exchange: OpaqueExchange) -> None:
        """Take a batch: accepted only once it is in the log."""
        batch = exchange.header(self._spelling.request_id) or ""
        body = await exchange.body()
        if body.is_error():
            await reply_error(exchange, 413, body.error.detail)
            return
        if self._store.ledger.get(batch) is not None:
            await reply_empty(exchange, 202)
            return
        submission = self._dialect.submission(batch, exchange.host, exchange.path, body.ok)
        if submission.is_error():
            await reply_error(exchange, 400, str(submission.error))
            return
        stalled_since = self._store.appends_stalled(batch)
        if stalled_since is not None and time.monotonic() - stalled_since > STALLED_SECONDS:
            log_event("batch_refused", "warning", batch=batch, cause="log takes no appends")
            await reply_error(exchange, 503, "the log takes no appends", COME_BACK_SECONDS)
            return
        outcome = await self._store.submit(
            submission.ok, self._runner.runner_for(submission.ok.header), SUBMIT_SECONDS
        )
        log_event(
            "batch_submitted",
            "info" if outcome.is_ok() else "warning",
            batch=batch,
            step=submission.ok.header.step,
            items=len(submission.ok.items),
            outcome="appended" if outcome.is_ok() else outcome.error.value,
        )
        if outcome.is_ok():
            await reply_empty(exchange, 202)
        elif outcome.error is AppendOutcome.NOT_APPENDED:
            await reply_error(exchange, 503, "the log takes no appends", COME_BACK_SECONDS)
        else:
            await reply_error(exchange, 504, "the log did not answer")

    async def results(self, exchange: OpaqueExchange, name: str) -> None:
        """Show a batch's results from a position on."""
        position = _number(exchange.query.get(self._spelling.position_parameter, "0"))
        batch = await self._find(exchange, name)
        if batch is None:
            return
        if not await self._shows(batch, position):
            await reply_error(exchange, 503, "the view is too old", COME_BACK_SECONDS)
            return
        if position == len(batch.results) and len(batch.listed) < len(batch.items):
            await self._wait(exchange, name)
        page = _page(batch, position)
        content = self._dialect.results(len(batch.items), position + len(page), page)
        log_event(
            "results_shown",
            batch=name,
            position=position,
            count=len(page),
            known=len(batch.results),
            view_age=self._store.view_age(name, time.monotonic()),
        )
        await reply_json(exchange, content)

    async def item(self, exchange: OpaqueExchange, name: str) -> None:
        """Show the body of an item."""
        batch = await self._find(exchange, name)
        if batch is None:
            return
        spec = batch.items.get(exchange.query.get(self._spelling.item_parameter, ""))
        if spec is None:
            await reply_error(exchange, 404, "the batch has no such item")
            return
        await exchange.relay(200, (("content-type", "application/octet-stream"),), spec.body)

    async def end(self, exchange: OpaqueExchange, name: str) -> None:
        """End a batch: nobody waits for the rest."""
        batch = await self._find(exchange, name)
        if batch is None:
            return
        if not batch.ended:
            outcome = await self._store.end(name, END_SECONDS)
            if outcome.is_error():
                status = 503 if outcome.error is AppendOutcome.NOT_APPENDED else 504
                await reply_error(exchange, status, "the log did not answer", COME_BACK_SECONDS)
                return
            log_event("batch_ended", batch=name, listed=len(batch.listed), of=len(batch.items))
        await reply_json(exchange, b"{}")

    async def _find(self, exchange: OpaqueExchange, name: str) -> Batch | None:
        """Return a batch; answer the exchange if there is none, or it can't be told."""
        batch = self._store.ledger.get(name)
        if batch is not None:
            return batch
        current = self._store.ready and await self._store.catch_up(name)
        batch = self._store.ledger.get(name)
        if batch is None and current:
            await reply_error(exchange, 404, "there is no such batch")
        elif batch is None:
            await reply_error(exchange, 503, "the view is too old", COME_BACK_SECONDS)
        return batch

    async def _shows(self, batch: Batch, position: int) -> bool:
        """Whether the view is known to hold all that anyone was shown, up to a position."""
        name = batch.header.batch
        if position <= len(batch.results) and not self._stale(name):
            return True
        return await self._store.catch_up(name) and position <= len(batch.results)

    def _stale(self, name: str) -> bool:
        return self._store.view_age(name, time.monotonic()) > MAXIMUM_VIEW_AGE_SECONDS

    async def _wait(self, exchange: OpaqueExchange, name: str) -> None:
        text = exchange.header(self._spelling.wait_milliseconds) or "0"
        wait = min(LONGEST_WAIT_SECONDS, _number(text) / 1000.0)
        if wait > 0.0:
            await self._store.wait_for_news(name, wait)


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else 0


def _page(batch: Batch, position: int) -> list[ItemFinished]:
    page: list[ItemFinished] = []
    size = 0
    for result in batch.results[position:]:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
