"""Answers calls about batches from this node's own view of the ledger."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.ledger_messages import (
    EndCall,
    ItemCall,
    LedgerAnswer,
    LedgerCall,
    ResultsCall,
    decode_call,
    encode_message,
    refusal,
)
from stagewalk.gateway.batch_service.open_batch_views import OpenBatchViews
from stagewalk.gateway.batch_service.open_batches import OpenBatches
from stagewalk.gateway.batches.ledger import Batch
from stagewalk.gateway.batches.records import ItemFinished
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_SECONDS
from stagewalk.gateway.partitioned_log.appender import AppendOutcome

END_SECONDS = 2.0
PAGE_BYTES = 900_000
LONGEST_WAIT_SECONDS = 1.0
MAXIMUM_VIEW_AGE_SECONDS = 2.6
"""A view that is followed and older than this is brought up to date before it is shown."""

MAXIMUM_UNFOLLOWED_AGE_SECONDS = 0.3
"""The same for a view that is only read when asked for: nothing bounds how far it lags."""

MAXIMUM_PASSED_ON_AGE_SECONDS = 0.6
"""The same for a call that another node passed on. That node answers for it as if it had read the
log just now, while this one may be cut off: what was shown elsewhere a second ago must be here."""

NEARLY_DONE_SHARE = 0.75
TAIL_SHARE = 0.15
"""A read is held that asks for no more than the last results of a step of which this share is
there: others, of whoever looks at a step from its start, are answered at once."""

OPEN_READ_SECONDS = 0.15
"""How often the log is asked for news of a batch before it has been read whole."""

OPAQUE_CONTENT = "application/octet-stream"


class LedgerReads:
    """Serves batch calls, local or relayed.

    Parameters
    ----------
    due_seconds
        Tells how long after its submission a batch's results are due.
    hold_results
        Whether reads near the end of a step wait until all is there that its trainer waits for.
    open_batches
        Notes that batches end.
    open_views
        Finds open batches while the log has not been read to its end; None: nothing does.
    starting
        Whether the log is left to those that look for open batches: it isn't read whole on demand.
    """

    def __init__(
        self,
        store: BatchStore,
        dialect: Dialect,
        open_batches: OpenBatches,
        due_seconds: Callable[[Batch], float] = lambda _batch: math.inf,
        *,
        hold_results: bool = False,
        open_views: OpenBatchViews | None = None,
        starting: Callable[[], bool] = lambda: False,
    ) -> None:
        self._open_views = open_views
        self._starting = starting
        self._store = store
        self._dialect = dialect
        self._open_batches = open_batches
        self._due_seconds = due_seconds
        self._hold_results = hold_results
        self._whole_since: dict[str, float] = {}
        """By batch whose results are known to be whole, the last loss of records at that time."""

    async def handle(self, content: bytes) -> bytes | None:
        """Carry out a call that another node passed on; None if the bytes spell none."""
        call = decode_call(content)
        if call is None:
            return None
        return encode_message(await self.carry_out(call, MAXIMUM_PASSED_ON_AGE_SECONDS))

    async def carry_out(
        self, call: LedgerCall, oldest_seconds: float = MAXIMUM_VIEW_AGE_SECONDS
    ) -> LedgerAnswer:
        """Carry a call out.

        Parameters
        ----------
        oldest_seconds
            A followed view that is older is brought up to date before results are shown from it.
        """
        match call:
            case ResultsCall():
                return await self._results(call, oldest_seconds)
            case ItemCall():
                return await self._item(call)
            case EndCall():
                return await self._end(call)

    async def _results(self, call: ResultsCall, oldest_seconds: float) -> LedgerAnswer:
        """Show a batch's results from a position on."""
        open_batch = await self._find_open(call.batch)
        if open_batch is not None:
            return await self._open_results(open_batch, call)
        batch = await self._find(call)
        if isinstance(batch, LedgerAnswer):
            return batch
        if not await self._positions_known(batch):
            return refusal(503, "the batch's records are no longer all kept", RETRY_AFTER_SECONDS)
        if not await self._shows(batch, call.position, oldest_seconds):
            return refusal(503, "the view is too old", RETRY_AFTER_SECONDS)
        await self._wait_for_results(batch, call)
        page = _page(batch, call.position)
        if not page and self._stale(call.batch, oldest_seconds):
            # The view grew old while news was waited for: there may be results by now.
            return refusal(503, "the view is too old", RETRY_AFTER_SECONDS)
        log_event(
            "results_shown",
            batch=call.batch,
            position=call.position,
            count=len(page),
            known=len(batch.results),
            view_age=self._store.view_age(call.batch, steady_seconds()),
        )
        next_position = call.position + len(page)
        return LedgerAnswer(200, self._dialect.results(len(batch.items), next_position, page))

    async def _find_open(self, name: str) -> Batch | None:
        """Return an open batch while the log has not been read to its end."""
        if self._open_views is None or self._store.read_whole(name):
            return None
        return await self._open_views.find(name)

    async def _open_results(self, batch: Batch, call: ResultsCall) -> LedgerAnswer:
        """Show results of an open batch before the whole log is read."""
        if not batch.header.belongs_to(call.tenant):
            return self._deny(call)
        until = steady_seconds() + min(LONGEST_WAIT_SECONDS, call.wait_seconds)
        while call.position >= len(batch.results) and batch.open and steady_seconds() < until:
            await anyio.sleep(OPEN_READ_SECONDS)
            batch = await self._find_open(call.batch) or batch
        if call.position > len(batch.results):
            return refusal(503, "the view is too old", RETRY_AFTER_SECONDS)
        page = _page(batch, call.position)
        log_event(
            "results_shown",
            batch=call.batch,
            position=call.position,
            count=len(page),
            known=len(batch.results),
            view_age=0.0,
        )
        next_position = call.position + len(page)
        return LedgerAnswer(200, self._dialect.results(len(batch.items), next_position, page))

    async def _wait_for_results(self, batch: Batch, call: ResultsCall) -> None:
        """Wait for a first result, or for the last ones of a step, as long as the caller offers."""
        until = steady_seconds() + min(LONGEST_WAIT_SECONDS, call.wait_seconds)
        due_at = batch.seen_at + self._due_seconds(batch)
        while self._worth_waiting(batch, call.position):
            none_yet = call.position >= len(batch.results)
            # Groups count as they are read: what is there is shown when the step is due.
            left = (until if none_yet else min(until, due_at)) - steady_seconds()
            if left <= 0.0:
                return
            await self._store.wait_for_news(call.batch, left)

    def _worth_waiting(self, batch: Batch, position: int) -> bool:
        if batch.ended or len(batch.listed) == len(batch.items):
            return False
        if position >= len(batch.results):
            return True
        return self._hold_results and _holds_last(batch, position)

    async def _item(self, call: ItemCall) -> LedgerAnswer:
        batch = await self._find(call)
        if isinstance(batch, LedgerAnswer):
            return batch
        spec = batch.items.get(call.item)
        if spec is None:
            return refusal(404, "the batch has no such item")
        return LedgerAnswer(200, spec.body, OPAQUE_CONTENT)

    async def _end(self, call: EndCall) -> LedgerAnswer:
        """End a batch: nobody waits for the rest."""
        batch = await self._find(call)
        if isinstance(batch, LedgerAnswer):
            return batch
        if not batch.ended:
            # Marked first: whoever hands the batch in again must not find it open after its end.
            began = steady_seconds()
            marked = await self._open_batches.mark_ended(
                call.batch,
                self._store.partition(call.batch),
                batch.header.tenant,
                END_SECONDS,
                first_offset=self._store.first_offset(call.batch, began),
            )
            if not marked:
                return refusal(503, "the log did not answer", RETRY_AFTER_SECONDS)
            left = max(0.0, END_SECONDS - (steady_seconds() - began))
            outcome = await self._store.end(call.batch, left)
            if outcome.is_error():
                status = 503 if outcome.error is AppendOutcome.NOT_APPENDED else 504
                return refusal(status, "the log did not answer", RETRY_AFTER_SECONDS)
            log_event(
                "batch_ended",
                batch=call.batch,
                listed=len(batch.listed),
                of=len(batch.items),
                view_age=self._store.view_age(call.batch, steady_seconds()),
            )
        return LedgerAnswer(200, b"{}")

    async def _find(self, call: LedgerCall) -> Batch | LedgerAnswer:
        """Return a call's batch, or the answer if its tenant has none or that can't be told."""
        found = await self._look_up(call.batch)
        if isinstance(found, Batch) and not found.header.belongs_to(call.tenant):
            return self._deny(call)
        return found

    @staticmethod
    def _deny(call: LedgerCall) -> LedgerAnswer:
        log_event("batch_denied", "warning", batch=call.batch, tenant=call.tenant)
        return refusal(404, "there is no such batch")

    async def _look_up(self, name: str) -> Batch | LedgerAnswer:
        batch = self._store.ledger.get(name) or await self._find_open(name)
        if batch is not None:
            return batch
        if self._starting():
            return refusal(503, "the log is being read", RETRY_AFTER_SECONDS)
        current = await self._store.catch_up(name)
        batch = self._store.ledger.get(name)
        if batch is not None:
            return batch
        if not current:
            return refusal(503, "the view is too old", RETRY_AFTER_SECONDS)
        if not await self._certain(name):
            return refusal(503, "the batch's records are no longer all kept", RETRY_AFTER_SECONDS)
        return refusal(404, "there is no such batch")

    async def _certain(self, name: str) -> bool:
        """Whether a batch that a current view doesn't know does not exist.

        It may have begun in records that the log dropped before they were read here; then its place
        is still noted.
        """
        if not self._store.lacks_history(name, steady_seconds()):
            return True
        place = await self._open_batches.find(name)
        return place.is_ok() and place.ok is None

    async def _positions_known(self, batch: Batch) -> bool:
        """Whether a batch's results stand here at the positions that they have for ever.

        Where the log dropped records before they were read here, the batch may have been handed in
        before, and have had results there: then its place is noted before what is known of it.
        """
        name = batch.header.batch
        if not self._store.lacks_history(name, steady_seconds()):
            return True
        lost_at = self._store.lost_at(name)
        if self._whole_since.get(name) == lost_at:
            return True
        place = (await self._open_batches.find(name)).default_value(None)
        if place is None or place.offset < batch.first_offset:
            return False
        self._whole_since = {
            known: at for known, at in self._whole_since.items() if self._store.ledger.get(known)
        }
        self._whole_since[name] = lost_at
        return True

    async def _shows(self, batch: Batch, position: int, oldest_seconds: float) -> bool:
        """Whether the view is known to hold all that anyone was shown, up to a position."""
        name = batch.header.batch
        if position <= len(batch.results) and not self._stale(name, oldest_seconds):
            return True
        return await self._store.catch_up(name) and position <= len(batch.results)

    def _stale(self, name: str, oldest_seconds: float) -> bool:
        age = self._store.view_age(name, steady_seconds())
        if self._store.following:
            return age > oldest_seconds
        return age > MAXIMUM_UNFOLLOWED_AGE_SECONDS


def _holds_last(batch: Batch, position: int) -> bool:
    """Whether a read waits for the last results of a step although some are there.

    A trainer reads about twice a second, and can go on only once its groups are whole. Were it
    answered each time one more result is there, it would be between two reads when the last one
    comes.
    """
    items = len(batch.items)
    nearly_done = len(batch.listed) >= NEARLY_DONE_SHARE * items
    few_new = len(batch.results) - position <= TAIL_SHARE * items
    return nearly_done and few_new and not batch.satisfied


def _page(batch: Batch, position: int) -> list[ItemFinished]:
    page: list[ItemFinished] = []
    size = 0
    for result in batch.results[position:]:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
