"""Finds a call's batch in this node's view, or the reason why the view can't show it.

Owns which batches' results are known to have their final positions. Relies on the batch store's
view, on the batch index if records were dropped unread, and on `open_batch_views` while the log has
not been read to its end.
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
        Finds open batches while the log has not been read to its end, if given.
    starting
        Whether reads of the log are reserved for nodes that look for open batches: the log isn't
        read on demand then.
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
        self._positions_final_since: dict[str, float] = {}
        """For batches with final positions, when their partition had last lost records."""

    async def find(self, call: LedgerCall) -> Result[Batch, LedgerAnswer]:
        """Return a call's batch, or an error answer if its tenant has none or the view is lacking.

        A batch of another tenant is reported as missing.
        """
        found = await self._look_up(call.batch)
        if found.is_ok() and not found.ok.header.belongs_to(call.tenant):
            return Error(deny(call))
        return found

    async def find_open(self, name: str) -> Batch | None:
        """Return an open batch while the log has not been read to its end."""
        if self._open_views is None or self._store.has_read_to_end(name):
            return None
        return await self._open_views.find(name)

    async def has_final_positions(self, batch: Batch) -> bool:
        """Whether a batch's results have their final positions in this view.

        If the log dropped records before they were read here, the batch may have had an earlier
        submission and results among them: its indexed place then lies before the records known.
        """
        name = batch.header.batch
        if not self._store.lacks_history(name, steady_seconds()):
            return True
        records_lost_at = self._store.records_lost_at(name)
        if self._positions_final_since.get(name) == records_lost_at:
            return True
        place = (await self._places.find(name)).default_value(None)
        if place is None or place.offset < batch.first_offset:
            return False
        self._positions_final_since = {
            known: at
            for known, at in self._positions_final_since.items()
            if self._store.ledger.get(known)
        }
        self._positions_final_since[name] = records_lost_at
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
        """Whether a batch that is missing from a current view does not exist.

        It may have begun in records that the log dropped before they were read here; then it is
        still in the index.
        """
        if not self._store.lacks_history(name, steady_seconds()):
            return True
        place = await self._places.find(name)
        return place.is_ok() and place.ok is None


def deny(call: LedgerCall) -> LedgerAnswer:
    """Return the answer to a tenant that asks for another tenant's batch."""
    log_event("batch_denied", "warning", batch=call.batch, tenant=call.tenant)
    return refusal(404, NO_SUCH_BATCH)
