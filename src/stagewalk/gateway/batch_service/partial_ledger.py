"""The batches of a partition from an offset on, read without the rest of the log.

Owns a ledger of its own, and which batches began before the offset: those are never returned.
Relies on the log.
"""

from __future__ import annotations

import math

import anyio

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.ledger import BatchLedger, ChangeListener
from stagewalk.gateway.batches.records import BatchSubmitted, decode_record
from stagewalk.gateway.ports.partitioned_log import (
    LogFault,
    Partition,
    PartitionedLog,
    PartitionRecord,
)


class PartialLedger:
    """The batches of a partition whose records begin at an offset or later.

    Parameters
    ----------
    on_change
        Called with what each record changes, see `BatchLedger`.
    """

    def __init__(
        self,
        log: PartitionedLog,
        partition: Partition,
        offset: int,
        on_change: ChangeListener = lambda _batch, _change: None,
    ) -> None:
        self._log = log
        self._partition = partition
        self._next_offset = offset
        self._incomplete_batches: set[str] = set()
        """Batches with a record read before any submission: they began before the offset."""
        self._read_lock = anyio.Lock()
        self.first_offset = offset
        self.confirmed_at = -math.inf
        """When it was last known to hold all records up to the partition's end (steady clock)."""
        self.records_lost = False
        """Whether records were dropped before they were read here: later reads fail as well."""
        self.ledger = BatchLedger(on_change)

    async def read(self) -> bool:
        """Read to the partition's end; return whether the log answered."""
        async with self._read_lock:
            while True:
                asked_at = steady_seconds()
                answer = await self._log.read(self._partition, self._next_offset, 0.0)
                if answer.is_error():
                    self.records_lost = self.records_lost or answer.error.fault is LogFault.DROPPED
                    return False
                page = answer.ok
                for record in page.records:
                    if record.offset >= self._next_offset:
                        self._apply(record)
                self._next_offset = max(self._next_offset, page.next_offset)
                if page.next_offset >= page.end:
                    self.confirmed_at = asked_at
                    return True

    def _apply(self, record: PartitionRecord) -> None:
        decoded = decode_record(record.payload)
        if decoded is None:
            return
        if not isinstance(decoded, BatchSubmitted) and self.ledger.get(decoded.batch) is None:
            self._incomplete_batches.add(decoded.batch)
        self.ledger.apply(decoded, steady_seconds(), record.offset)

    def complete_batch(self, name: str) -> Batch | None:
        """Return a batch whose records were all read, None if there is none of that name."""
        return None if name in self._incomplete_batches else self.ledger.get(name)
