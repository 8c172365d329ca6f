"""Log clients with slow reads of old records, or with blocked reads, to test races."""

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
"""Number of a partition's first records that are returned one at a time."""

RECORD_SECONDS = 0.1
"""Delay of each of them, so that reading the whole log takes ten seconds."""

HISTORY_RECORDS = 250
"""Records written to each partition: more than `SLOW_RECORDS` plus the margin of a hundred records
before a batch's place, so that reads that start at the margin are not slow."""


async def write_history(log: MemoryLog) -> None:
    """Fill the batch partitions with irrelevant records."""
    for number in range(PARTITIONS):
        await append(
            log,
            Partition(BATCHES_TOPIC, number),
            [encode_record(BatchEnded("old"))] * HISTORY_RECORDS,
        )


async def append(log: MemoryLog, partition: Partition, payloads: list[bytes]) -> int:
    """Append records as a separate producer; return the offset of the first."""
    client = log.client()
    sequence = ProducerSequence(f"test-{id(client)}-{log.kept(partition).end}", 1, 1)
    return (await client.append(partition, payloads, sequence)).ok


class SlowHistoryLog(MemoryLogClient):
    """Returns the oldest records of batch partitions one at a time, after a delay."""

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read records from an offset on, old ones singly."""
        answer = await super().read(partition, offset, wait_seconds)
        if partition.topic != BATCHES_TOPIC or offset >= SLOW_RECORDS or answer.is_error():
            return answer
        await anyio.sleep(RECORD_SECONDS)
        page = answer.ok
        return Ok(RecordPage(page.records[:1], offset + len(page.records[:1]), page.end))


class HeldReadsLog(MemoryLogClient):
    """Blocks reads of batch partitions: long polls before the read, other reads after it.

    Attributes
    ----------
    follow
        While unset, reads that wait for records are blocked.
    answer
        While unset, answers of reads that don't wait are held back.
    held
        Set once an answer is held back.
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
