"""Finds open batches before the whole log is read: from where each one's records begin.

After a restart of all nodes, every node reads the whole log at once, which takes seconds (six
replicas: 7 s, `daemon.RESTART_LOG_RESERVE_SECONDS`). An open batch needs only that batch's records.
Owns partial ledgers by partition. Relies on `batch_index` for the places, and on the log.
"""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog

MARGIN_RECORDS = 100
"""So many records before the noted place of a batch are read as well: were it handed in twice, the
records of its first run would stand there, some 25 a second in each partition."""

LIST_SECONDS = 0.3
"""How often the places of open batches are listed again for a batch that is not among them."""


class OpenBatchViews:
    """Open batches as of now, for as long as the whole log has not been read.

    Parameters
    ----------
    topic
        Where batches are kept.
    """

    def __init__(self, log: PartitionedLog, topic: str, open_batches: BatchIndex) -> None:
        self._log = log
        self._topic = topic
        self._open_batches = open_batches
        self._places: Mapping[str, BatchPlace] = {}
        self._listed_at = float("-inf")
        self._partials: dict[int, PartialLedger] = {}

    async def find(self, name: str) -> Batch | None:
        """Return an open batch with all its results so far; None if they can't be known.

        Only a certain place will do: results may lie before any other one.
        """
        place = await self._place(name)
        if place is None or place.ended or not place.certain:
            return None
        partial = self._partial(place)
        return partial.whole(name) if await partial.read() else None

    async def _place(self, name: str) -> BatchPlace | None:
        now = steady_seconds()
        known = self._places.get(name)
        unsure = known is None or not known.certain
        if unsure and now - self._listed_at > LIST_SECONDS:
            self._listed_at = now
            listed = await self._open_batches.list()
            self._places = listed.default_value(self._places)
        return self._places.get(name)

    def _partial(self, place: BatchPlace) -> PartialLedger:
        known = self._partials.get(place.partition)
        if known is not None and known.first_offset <= place.offset:
            return known
        # Not from the oldest place of all: batches that ended stay noted for minutes.
        first = max(0, place.offset - MARGIN_RECORDS)
        partial = PartialLedger(self._log, Partition(self._topic, place.partition), first)
        self._partials[place.partition] = partial
        return partial
