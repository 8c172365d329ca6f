"""Finds the batch that a call is about in this node's view, or why it can't be known.

Owns which batches' results are known to stand at their final positions. Relies on the batch
store's view, on the places of open batches where records were lost unread, and on
`open_batch_views` while the log has not been read to its end.
"""

from __future__ import annotations

from collections.abc import Callable

from expression import Error, Ok, Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.ledger_messages import LedgerAnswer, LedgerCall, refusal
from stagewalk.gateway.batch_service.open_batch_views import OpenBatchViews
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS

NO_SUCH_BATCH = "there is no such batch"
RECORDS_DROPPED = "the batch's records are no longer all kept"
VIEW_TOO_OLD = "the view is too old"


class BatchLookup:
    """Looks batches up for calls.

    Parameters
    ----------
    places
        Where the records of open batches begin.
    open_views
        Finds open batches while the log has not been read to its end; None: nothing does.
    starting
        Whether the log is left to nodes that look for open batches: it isn't read on demand.
    """

    def __init__(
        self,
        store: BatchStore,
        places: BatchIndex,
        open_views: OpenBatchViews | None,
        starting: Callable[[], bool],
    ) -> None:
        self._store = store
        self._places = places
        self._open_views = open_views
        self._starting = starting
        self._whole_since: dict[str, float] = {}
        """By batch whose results are known to be whole, the last loss of records at that time."""

    async def find(self, call: LedgerCall) -> Result[Batch, LedgerAnswer]:
        """Return a call's batch, or the answer if its tenant has none or that can't be known."""
        found = await self._look_up(call.batch)
        if found.is_ok() and not found.ok.header.belongs_to(call.tenant):
            return Error(deny(call))
        return found

    async def find_open(self, name: str) -> Batch | None:
        """Return an open batch while the log has not been read to its end."""
        if self._open_views is None or self._store.read_whole(name):
            return None
        return await self._open_views.find(name)

    async def has_final_positions(self, batch: Batch) -> bool:
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
        place = (await self._places.find(name)).default_value(None)
        if place is None or place.offset < batch.first_offset:
            return False
        self._whole_since = {
            known: at for known, at in self._whole_since.items() if self._store.ledger.get(known)
        }
        self._whole_since[name] = lost_at
        return True

    async def _look_up(self, name: str) -> Result[Batch, LedgerAnswer]:
        batch = self._store.ledger.get(name) or await self.find_open(name)
        if batch is not None:
            return Ok(batch)
        if self._starting():
            return Error(refusal(503, "the log is being read", DEFAULT_RETRY_AFTER_SECONDS))
        current = await self._store.catch_up(name)
        batch = self._store.ledger.get(name)
        if batch is not None:
            return Ok(batch)
        if not current:
            return Error(refusal(503, VIEW_TOO_OLD, DEFAULT_RETRY_AFTER_SECONDS))
        if not await self._is_absent(name):
            return Error(refusal(503, RECORDS_DROPPED, DEFAULT_RETRY_AFTER_SECONDS))
        return Error(refusal(404, NO_SUCH_BATCH))

    async def _is_absent(self, name: str) -> bool:
        """Whether a batch that a current view doesn't know does not exist.

        It may have begun in records that the log dropped before they were read here; then its place
        is still noted.
        """
        if not self._store.lacks_history(name, steady_seconds()):
            return True
        place = await self._places.find(name)
        return place.is_ok() and place.ok is None


def deny(call: LedgerCall) -> LedgerAnswer:
    """Return the answer to a tenant that asks for another one's batch."""
    log_event("batch_denied", "warning", batch=call.batch, tenant=call.tenant)
    return refusal(404, NO_SUCH_BATCH)
