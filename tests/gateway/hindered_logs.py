"""Views of the log of one gateway that is hindered: its history comes slowly, or reads are held."""

from __future__ import annotations

import anyio
from expression import Ok, Result

from stagewalk.gateway.batch_service.batch_store import BATCHES_TOPIC, PARTITIONS
from stagewalk.gateway.batches.records import BatchEnded, encode_record
from stagewalk.gateway.ports.partitioned_log import (
    LogFailure,
    Partition,
    ProducerSequence,
    RecordPage,
)
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

SLOW_RECORDS = 100
"""So many of a partition's first records come one by one."""

RECORD_SECONDS = 0.1
"""What each of them takes: the whole log is read in ten seconds."""

HISTORY_RECORDS = 250
"""How many records are written to each partition: more than `SLOW_RECORDS` and a margin of a
hundred records before a place together, so that a read from such a margin on is not slow."""


async def write_history(log: MemoryLog) -> None:
    """Fill the partitions of batches with records that tell nothing."""
    for number in range(PARTITIONS):
        await append(
            log,
            Partition(BATCHES_TOPIC, number),
            [encode_record(BatchEnded("old"))] * HISTORY_RECORDS,
        )


async def append(log: MemoryLog, partition: Partition, payloads: list[bytes]) -> int:
    """Append records as a process of its own; return the offset of the first."""
    client = log.client()
    sequence = ProducerSequence(f"test-{id(client)}-{log.kept(partition).end}", 1, 1)
    return (await client.append(partition, payloads, sequence)).ok


class SlowHistoryLog(MemoryLogClient):
    """Shares its reads with many others: what lies far back comes record by record."""

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read records from an offset on, one of the oldest at a time."""
        answer = await super().read(partition, offset, wait_seconds)
        if partition.topic != BATCHES_TOPIC or offset >= SLOW_RECORDS or answer.is_error():
            return answer
        await anyio.sleep(RECORD_SECONDS)
        page = answer.ok
        return Ok(RecordPage(page.records[:1], offset + len(page.records[:1]), page.end))


class HeldReadsLog(MemoryLogClient):
    """Answers of reads of batches may be held: of those that wait for news, or of one that doesn't.

    Attributes
    ----------
    follow
        Set: what follows a partition is answered.
    answer
        Set: the next read that does not wait for news is answered as of when it was sent.
    held
        Set once such a read is held.
    """

    def __init__(self, log: MemoryLog) -> None:
        super().__init__(log)
        self.follow = anyio.Event()
        self.follow.set()
        self.answer = anyio.Event()
        self.answer.set()
        self.held = anyio.Event()

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read records from an offset on."""
        if partition.topic != BATCHES_TOPIC:
            return await super().read(partition, offset, wait_seconds)
        if wait_seconds > 0.0:
            await self.follow.wait()
            return await super().read(partition, offset, wait_seconds)
        answer = await super().read(partition, offset, wait_seconds)
        if not self.answer.is_set():
            self.held.set()
            await self.answer.wait()
        return answer
