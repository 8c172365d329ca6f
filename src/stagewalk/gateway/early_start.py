"""Finds batches to run before the whole log is read: from where each one's records begin.

After a restart of all nodes, everyone reads the whole log at once, which takes seconds. The runner
of an open batch needs only that batch's records.
"""

from __future__ import annotations

import time

from stagewalk.batches.ledger import Batch, BatchLedger
from stagewalk.batches.records import decode_record
from stagewalk.ports.partitioned_log import Partition, PartitionedLog


class PartialLedger:
    """The batches of a partition whose records begin at an offset or later."""

    def __init__(self, log: PartitionedLog, partition: Partition, offset: int) -> None:
        self._log = log
        self._partition = partition
        self._next_offset = offset
        self.ledger = BatchLedger(lambda _batch, _change: None)

    async def read(self) -> bool:
        """Read to the partition's end; return whether the log answered."""
        while True:
            answer = await self._log.read(self._partition, self._next_offset, 0.0)
            if answer.is_error():
                return False
            page = answer.ok
            now = time.monotonic()
            for record in page.records:
                decoded = decode_record(record.payload)
                if decoded is not None and record.offset >= self._next_offset:
                    self.ledger.apply(decoded, now)
            self._next_offset = max(self._next_offset, page.next_offset)
            if page.next_offset >= page.end:
                return True

    def open_batches(self) -> list[Batch]:
        """Return the batches found of which something is left to run."""
        return self.ledger.open_batches()
