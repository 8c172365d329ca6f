"""Port of the platform's partitioned log: ordered records, conditional and idempotent appends.

Nodes send these types to each other, so their field names are part of the wire format.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result


class LogFault(StrEnum):
    """Why a call to the log failed."""

    REFUSED = "refused"
    """The log replied that it did not execute the call: throttled, busy or down."""
    UNKNOWN = "unknown"
    """No answer: the call may have been executed, or may still be, later."""
    CONFLICT = "conflict"
    """The condition of an append did not hold."""
    OUT_OF_SEQUENCE = "out_of_sequence"
    """The sequence number of an idempotent append did not follow the producer's last one."""
    DROPPED = "dropped"
    """The requested records were deleted; see `LogFailure.first_offset`."""
    REJECTED = "rejected"
    """The log never accepts such a call."""


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A failed call. For `LogFault.DROPPED`, `first_offset` is that of the oldest kept record."""

    fault: LogFault
    detail: str
    first_offset: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Partition:
    """One ordered sequence of records of a topic."""

    topic: str
    number: int

    def __str__(self) -> str:
        return f"{self.topic}/{self.number}"


@dataclass(frozen=True, slots=True)
class PartitionRecord:
    """A record and its offset in the partition."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in offset order, the offset after the last of them, and the end of the partition."""

    records: tuple[PartitionRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The value of a key as of an offset; `None` means that the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Keyed records in offset order, the offset after the last of them, and the partition's end.

    An `end` of 0 means that it is unknown and that there are no more records.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int = 0


@dataclass(frozen=True, slots=True)
class ProducerSequence:
    """Makes an append idempotent: the log accepts each sequence number of an epoch once."""

    producer: str
    epoch: int
    sequence: int


class PartitionedLog(Protocol):
    """The log. Topics are created at their first use."""

    async def append(
        self, partition: Partition, payloads: Sequence[bytes], sequence: ProducerSequence
    ) -> Result[int, LogFailure]:
        """Append all records or none, once; return the offset of the first."""

    async def append_at(
        self, partition: Partition, payload: bytes, end: int
    ) -> Result[int, LogFailure]:
        """Append a record if the partition ends at `end`; return its offset."""

    async def append_keyed(
        self, partition: Partition, key: str, value: bytes
    ) -> Result[int, LogFailure]:
        """Set a key of a compacted topic, or delete it with an empty value; return the offset."""

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read from an offset on; wait up to `wait_seconds` for a first record."""

    async def read_keyed(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[KeyedPage, LogFailure]:
        """Read changes of a compacted topic from an offset on; wait for a first one."""

    async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
        """Read the newest record of each key, and the offset from which to read changes."""
