"""Serves reads of a batch's results from this node's view.

Owns no state. Relies on `batch_lookup` for the batch, on `read_rules` for waits, ages and pages,
and on the batch store to bring its view up to date.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_lookup import (
    RECORDS_DROPPED,
    VIEW_TOO_OLD,
    BatchLookup,
    deny,
)
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.ledger_messages import LedgerAnswer, ResultsCall, refusal
from stagewalk.gateway.batch_service.read_rules import (
    MAXIMUM_WAIT_SECONDS,
    OPEN_BATCH_POLL_SECONDS,
    is_stale,
    select_page,
    should_wait,
)
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.records import ItemFinished
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS


class ResultReader:
    """Serves reads of results.

    Parameters
    ----------
    due_seconds
        Returns how long after its submission a batch's results are due.
    hold_results
        Whether reads near the end of a step wait until its trainer has all results it waits for.
    """

    def __init__(
        self,
        store: BatchStore,
        lookup: BatchLookup,
        dialect: Dialect,
        due_seconds: Callable[[Batch], float],
        *,
        hold_results: bool,
    ) -> None:
        self._store = store
        self._lookup = lookup
        self._dialect = dialect
        self._due_seconds = due_seconds
        self._hold_results = hold_results

    async def read(self, call: ResultsCall, maximum_age_seconds: float) -> LedgerAnswer:
        """Return a batch's results from a position on.

        Parameters
        ----------
        maximum_age_seconds
            A followed view that is older is brought up to date first.
        """
        open_batch = await self._lookup.find_open(call.batch)
        if open_batch is not None:
            return await self._read_open(open_batch, call)
        found = await self._lookup.find(call)
        if found.is_error():
            return found.error
        batch = found.ok
        if not await self._lookup.has_final_positions(batch):
            return refusal(503, RECORDS_DROPPED, DEFAULT_RETRY_AFTER_SECONDS)
        if not await self._view_covers(batch, call.position, maximum_age_seconds):
            return refusal(503, VIEW_TOO_OLD, DEFAULT_RETRY_AFTER_SECONDS)
        await self._wait(batch, call)
        page = select_page(batch, call.position)
        if not page and self._is_stale(call.batch, maximum_age_seconds):
            # The view became stale during the wait: there may be results by now.
            return refusal(503, VIEW_TOO_OLD, DEFAULT_RETRY_AFTER_SECONDS)
        view_age = self._store.view_age(call.batch, steady_seconds())
        return self._answer(batch, call, page, view_age)

    async def _read_open(self, batch: Batch, call: ResultsCall) -> LedgerAnswer:
        """Return results of an open batch before the whole log is read."""
        if not batch.header.belongs_to(call.tenant):
            return deny(call)
        until = steady_seconds() + min(MAXIMUM_WAIT_SECONDS, call.wait_seconds)
        while call.position >= len(batch.results) and batch.open and steady_seconds() < until:
            await anyio.sleep(OPEN_BATCH_POLL_SECONDS)
            batch = await self._lookup.find_open(call.batch) or batch
        if call.position > len(batch.results):
            return refusal(503, VIEW_TOO_OLD, DEFAULT_RETRY_AFTER_SECONDS)
        return self._answer(batch, call, select_page(batch, call.position), view_age=0.0)

    def _answer(
        self, batch: Batch, call: ResultsCall, page: list[ItemFinished], view_age: float
    ) -> LedgerAnswer:
        log_event(
            "results_shown",
            batch=call.batch,
            position=call.position,
            count=len(page),
            known=len(batch.results),
            view_age=view_age,
        )
        next_position = call.position + len(page)
        return LedgerAnswer(200, self._dialect.results(len(batch.items), next_position, page))

    async def _wait(self, batch: Batch, call: ResultsCall) -> None:
        """Wait for a first result, or for the last ones of a step, as long as the caller allows."""
        until = steady_seconds() + min(MAXIMUM_WAIT_SECONDS, call.wait_seconds)
        due_at = batch.seen_at + self._due_seconds(batch)
        while should_wait(batch, call.position, hold_results=self._hold_results):
            none_yet = call.position >= len(batch.results)
            # When the step is due, available results are returned: groups count once they are read.
            left = (until if none_yet else min(until, due_at)) - steady_seconds()
            if left <= 0.0:
                return
            await self._store.wait_for_change(call.batch, left)

    async def _view_covers(self, batch: Batch, position: int, maximum_age_seconds: float) -> bool:
        """Whether the view holds all results before a position; a stale view is updated first."""
        name = batch.header.batch
        if position <= len(batch.results) and not self._is_stale(name, maximum_age_seconds):
            return True
        return await self._store.catch_up(name) and position <= len(batch.results)

    def _is_stale(self, name: str, maximum_age_seconds: float) -> bool:
        age = self._store.view_age(name, steady_seconds())
        return is_stale(
            age, following=self._store.following, maximum_age_seconds=maximum_age_seconds
        )
