"""Serves calls about batches, local or relayed, from this node's own view of the ledger.

Owns the order in which a batch's end is marked and appended. Relies on `batch_lookup` for the batch
of a call, on `result_reads` for results, and on the batch store to append.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_lookup import BatchLookup
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
from stagewalk.gateway.batch_service.read_rules import (
    MAXIMUM_RELAYED_AGE_SECONDS,
    MAXIMUM_VIEW_AGE_SECONDS,
)
from stagewalk.gateway.batch_service.result_reads import ResultReader
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.partitioned_log.appender import AppendFailure

END_TIMEOUT_SECONDS = 2.0
"""How long ending a batch may wait for the log, for the mark and the record together."""

OPAQUE_CONTENT = "application/octet-stream"
LOG_SILENT = "the log did not answer"


class LedgerCallHandler:
    """Serves calls about batches, local or relayed.

    Parameters
    ----------
    open_batches
        The index in which ended batches are marked.
    due_seconds
        Returns how long after its submission a batch's results are due.
    hold_results
        Whether reads near the end of a step wait until its trainer has all results it waits for.
    open_views
        Finds open batches while the log has not been read to its end, if given.
    starting
        Whether reads of the log are reserved for nodes that look for open batches; while they are,
        the log isn't read on demand.
    """

    def __init__(
        self,
        store: BatchStore,
        dialect: Dialect,
        open_batches: BatchIndex,
        due_seconds: Callable[[Batch], float] = lambda _batch: math.inf,
        *,
        hold_results: bool = False,
        open_views: OpenBatchViews | None = None,
        starting: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._open_batches = open_batches
        self._lookup = BatchLookup(store, open_batches, open_views, starting)
        self._results = ResultReader(
            store, self._lookup, dialect, due_seconds, hold_results=hold_results
        )

    async def handle(self, content: bytes) -> bytes | None:
        """Carry out a call that another node relayed; None if the bytes are no valid call."""
        call = decode_call(content)
        if call is None:
            return None
        return encode_message(await self.execute(call, MAXIMUM_RELAYED_AGE_SECONDS))

    async def execute(
        self, call: LedgerCall, maximum_age_seconds: float = MAXIMUM_VIEW_AGE_SECONDS
    ) -> LedgerAnswer:
        """Carry out a call.

        Parameters
        ----------
        maximum_age_seconds
            A followed view that is older is brought up to date before results are read from it.
        """
        match call:
            case ResultsCall():
                return await self._results.read(call, maximum_age_seconds)
            case ItemCall():
                return await self._item(call)
            case EndCall():
                return await self._end(call)

    async def _item(self, call: ItemCall) -> LedgerAnswer:
        found = await self._lookup.find(call)
        if found.is_error():
            return found.error
        spec = found.ok.items.get(call.item)
        if spec is None:
            return refusal(404, "the batch has no such item")
        return LedgerAnswer(200, spec.body, OPAQUE_CONTENT)

    async def _end(self, call: EndCall) -> LedgerAnswer:
        """End a batch on its trainer's request."""
        found = await self._lookup.find(call)
        if found.is_error():
            return found.error
        batch = found.ok
        failure = None if batch.ended else await self._append_end(batch)
        return failure or LedgerAnswer(200, b"{}")

    async def _append_end(self, batch: Batch) -> LedgerAnswer | None:
        """Mark a batch as ended, then append its end; return the answer if that fails.

        The mark comes first, so that a node where the batch is submitted again doesn't find it open
        after its end.
        """
        name = batch.header.batch
        began = steady_seconds()
        marked = await self._open_batches.mark_ended(
            name,
            self._store.partition(name),
            batch.header.tenant,
            END_TIMEOUT_SECONDS,
            first_offset=self._store.first_offset(name, began),
        )
        if not marked:
            return refusal(503, LOG_SILENT, DEFAULT_RETRY_AFTER_SECONDS)
        left = max(0.0, END_TIMEOUT_SECONDS - (steady_seconds() - began))
        outcome = await self._store.end(name, left)
        if outcome.is_error():
            status = 503 if outcome.error is AppendFailure.NOT_APPENDED else 504
            return refusal(status, LOG_SILENT, DEFAULT_RETRY_AFTER_SECONDS)
        log_event(
            "batch_ended",
            batch=name,
            listed=len(batch.listed),
            of=len(batch.items),
            view_age=self._store.view_age(name, steady_seconds()),
        )
        return None
