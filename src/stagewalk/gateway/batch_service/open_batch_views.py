"""Finds open batches before the whole log is read, by reading from where each one's records begin.

After a restart of all nodes, every replica reads the whole log at the same time, which takes
seconds (see `daemon.RESTART_LOG_RESERVE_SECONDS`); an open batch needs only its own records. Owns
partial ledgers by partition. Relies on `batch_index` for the places, and on the log.
"""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog

MARGIN_RECORDS = 100
"""How many records before a batch's indexed place are read as well: if the batch was submitted
twice, the records of its first run may be there, at some 25 records a second in each partition."""

LIST_INTERVAL_SECONDS = 0.3
"""Minimum interval between two listings of the index for batches without a certain place."""


class OpenBatchViews:
    """Current views of open batches, for use until the whole log has been read.

    Parameters
    ----------
    topic
        The log's topic of batches.
    """

    def __init__(self, log: PartitionedLog, topic: str, open_batches: BatchIndex) -> None:
        self._log = log
        self._topic = topic
        self._open_batches = open_batches
        self._places: Mapping[str, BatchPlace] = {}
        self._listed_at = float("-inf")
        self._partials: dict[int, PartialLedger] = {}

    async def find(self, name: str) -> Batch | None:
        """Return an open batch with all its results so far; None if they can't be read.

        The place has to be certain: results may lie before any other one.
        """
        place = await self._place(name)
        if place is None or place.ended or not place.certain:
            return None
        partial = self._partial(place)
        return partial.complete_batch(name) if await partial.read() else None

    async def _place(self, name: str) -> BatchPlace | None:
        now = steady_seconds()
        known = self._places.get(name)
        uncertain = known is None or not known.certain
        if uncertain and now - self._listed_at > LIST_INTERVAL_SECONDS:
            self._listed_at = now
            listed = await self._open_batches.list()
            self._places = listed.default_value(self._places)
        return self._places.get(name)

    def _partial(self, place: BatchPlace) -> PartialLedger:
        known = self._partials.get(place.partition)
        if known is not None and known.first_offset <= place.offset:
            return known
        # Don't start at the oldest indexed place: ended batches stay in the index for minutes.
        first = max(0, place.offset - MARGIN_RECORDS)
        partial = PartialLedger(self._log, Partition(self._topic, place.partition), first)
        self._partials[place.partition] = partial
        return partial
