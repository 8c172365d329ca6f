"""In-memory fake of the platform's partitioned log, with fault injection.

Each client (`client`) has its own faults, so that single processes can lose the log.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
from expression import Error, Ok, Result

from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    KeyedRecord,
    LogFailure,
    LogFault,
    Partition,
    PartitionRecord,
    ProducerSequence,
    RecordPage,
)

KEPT_SEQUENCES = 5
"""Number of a producer's last appends that are deduplicated."""


@dataclass(slots=True)
class _Producer:
    epoch: int
    sequence: int
    offsets: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _PartitionContents:
    """Contents of a partition: plain records, or keyed ones by offset."""

    first: int = 0
    payloads: list[bytes] = field(default_factory=list)
    keyed: list[KeyedRecord] = field(default_factory=list)
    newest: dict[str, KeyedRecord] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.payloads)

    def announce(self) -> None:
        """Wake reads that wait for a record."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass(slots=True)
class LogFaults:
    """Faults injected into the calls of one client.

    Attributes
    ----------
    down
        Every call is refused.
    silent
        No call is answered or carried out.
    lose_answers
        Number of next appends that are carried out but not answered.
    delay_appends
        Number of next appends that are not answered, and carried out by `run_delayed`.
    sleep_through
        Reads that wait are not woken by a new record.
    sleep_through_keyed
        The same for reads of compacted topics.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_appends: int = 0
    sleep_through: bool = False
    sleep_through_keyed: bool = False


class MemoryLog:
    """The log, shared by all clients."""

    def __init__(self) -> None:
        self._partitions: dict[Partition, _PartitionContents] = {}
        self._delayed: list[Callable[[], object]] = []

    def client(self) -> MemoryLogClient:
        """Return a new client without faults."""
        return MemoryLogClient(self)

    def kept(self, partition: Partition) -> _PartitionContents:
        """Return the contents of a partition, created on first use."""
        return self._partitions.setdefault(partition, _PartitionContents())

    def payloads(self, partition: Partition) -> list[bytes]:
        """Return the payloads of a partition's records."""
        return list(self.kept(partition).payloads)

    def drop_history(self, partition: Partition, before: int) -> None:
        """Drop the records of a partition before an offset."""
        kept = self.kept(partition)
        dropped = max(0, before - kept.first)
        kept.payloads = kept.payloads[dropped:]
        kept.keyed = kept.keyed[dropped:]
        kept.first += dropped

    def drop_key(self, partition: Partition, key: str) -> None:
        """Delete a key of a compacted partition."""
        self.put_key(partition, key, None)

    def put_key(self, partition: Partition, key: str, value: bytes | None) -> int:
        """Set a key of a compacted partition, or delete it with None."""
        kept = self.kept(partition)
        record = KeyedRecord(key, value, kept.end)
        kept.payloads.append(value or b"")
        kept.keyed.append(record)
        kept.newest.pop(key, None)
        if value is not None:
            kept.newest[key] = record
        kept.announce()
        return record.offset

    def run_delayed(self) -> None:
        """Carry out the delayed appends."""
        delayed, self._delayed = self._delayed, []
        for append in delayed:
            append()

    def delay(self, append: Callable[[], object]) -> None:
        """Delay an append until `run_delayed`."""
        self._delayed.append(append)


class MemoryLogClient:
    """One client of a `MemoryLog`, with its own faults."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.faults = LogFaults()
        self.calls = 0
        self.waits: list[float] = []
        """The wait time of each read of records, in seconds."""

    async def append(
        self, partition: Partition, payloads: Sequence[bytes], sequence: ProducerSequence
    ) -> Result[int, LogFailure]:
        """Append records atomically and idempotently."""
        return await self._change(lambda: self._append(partition, payloads, sequence))

    async def append_at(
        self, partition: Partition, payload: bytes, end: int
    ) -> Result[int, LogFailure]:
        """Append if the partition ends at `end`."""
        return await self._change(lambda: self._append_at(partition, payload, end))

    async def append_keyed(
        self, partition: Partition, key: str, value: bytes
    ) -> Result[int, LogFailure]:
        """Set a key, or delete it with an empty value."""
        return await self._change(lambda: Ok(self._log.put_key(partition, key, value or None)))

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read records from an offset on."""
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        kept = self._log.kept(partition)
        self.waits.append(wait_seconds)
        if self.faults.sleep_through and kept.end <= offset:
            await anyio.sleep(wait_seconds)
        await _wait_for_record(kept, offset, wait_seconds)
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        if offset < kept.first:
            return Error(LogFailure(LogFault.DROPPED, "dropped", kept.first))
        payloads = kept.payloads[offset - kept.first :]
        records = tuple(PartitionRecord(offset + n, p) for n, p in enumerate(payloads))
        return Ok(RecordPage(records, offset + len(records), kept.end))

    async def read_keyed(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[KeyedPage, LogFailure]:
        """Read changes from an offset on."""
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        kept = self._log.kept(partition)
        if self.faults.sleep_through_keyed and kept.end <= offset:
            await anyio.sleep(wait_seconds)
        await _wait_for_record(kept, offset, wait_seconds)
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        if offset < kept.first:
            return Error(LogFailure(LogFault.DROPPED, "dropped", kept.first))
        records = tuple(kept.keyed[offset - kept.first :])
        return Ok(KeyedPage(records, offset + len(records), kept.end))

    async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
        """Read the newest record of each key."""
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        kept = self._log.kept(partition)
        return Ok(KeyedPage(tuple(kept.newest.values()), kept.end))

    async def _refusal(self) -> LogFailure | None:
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        if self.faults.silent:
            return LogFailure(LogFault.UNKNOWN, "no answer")
        if self.faults.down:
            return LogFailure(LogFault.REFUSED, "down")
        return None

    async def _change(
        self, change: Callable[[], Result[int, LogFailure]]
    ) -> Result[int, LogFailure]:
        refused = await self._refusal()
        if refused is not None:
            return Error(refused)
        if self.faults.delay_appends > 0:
            self.faults.delay_appends -= 1
            self._log.delay(change)
            return Error(LogFailure(LogFault.UNKNOWN, "answer lost, done later"))
        outcome = change()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Error(LogFailure(LogFault.UNKNOWN, "answer lost"))
        return outcome

    def _append(
        self, partition: Partition, payloads: Sequence[bytes], sequence: ProducerSequence
    ) -> Result[int, LogFailure]:
        kept = self._log.kept(partition)
        known = kept.producers.get(sequence.producer)
        if known is None or sequence.epoch > known.epoch:
            known = _Producer(sequence.epoch, sequence.sequence - 1)
            kept.producers[sequence.producer] = known
        if sequence.sequence in known.offsets and sequence.epoch == known.epoch:
            return Ok(known.offsets[sequence.sequence])
        if sequence.epoch < known.epoch or sequence.sequence != known.sequence + 1:
            return Error(LogFailure(LogFault.OUT_OF_SEQUENCE, "sequence"))
        offset = kept.end
        kept.payloads.extend(payloads)
        known.sequence = sequence.sequence
        known.offsets[sequence.sequence] = offset
        known.offsets.pop(sequence.sequence - KEPT_SEQUENCES, None)
        kept.announce()
        return Ok(offset)

    def _append_at(self, partition: Partition, payload: bytes, end: int) -> Result[int, LogFailure]:
        kept = self._log.kept(partition)
        if kept.end != end:
            return Error(LogFailure(LogFault.CONFLICT, f"ends at {kept.end}"))
        kept.payloads.append(payload)
        kept.announce()
        return Ok(end)


async def _wait_for_record(kept: _PartitionContents, offset: int, wait_seconds: float) -> None:
    if kept.end <= offset and wait_seconds > 0.0:
        with anyio.move_on_after(wait_seconds):
            await kept.changed.wait()
