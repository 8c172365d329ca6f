"""Wrapper of the log that counts and times each call for metrics.

Owns what is timed: a call's duration without the time that a read may wait for records.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from expression import Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    LogFailure,
    Partition,
    PartitionedLog,
    ProducerSequence,
    RecordPage,
)

Value = TypeVar("Value")

ANSWERED = "answered"

CallObserver = Callable[[str, str, float], None]
"""Receives a call's operation, outcome (`ANSWERED` or a fault) and duration in seconds."""


class MeasuredLog:
    """Forwards calls to a log and times them; the wait of a read is subtracted."""

    def __init__(self, log: PartitionedLog, observe: CallObserver) -> None:
        self._log = log
        self._observe = observe

    async def append(
        self, partition: Partition, payloads: Sequence[bytes], sequence: ProducerSequence
    ) -> Result[int, LogFailure]:
        """Append all records or none, once."""
        return await self._timed("append", self._log.append(partition, payloads, sequence))

    async def append_at(
        self, partition: Partition, payload: bytes, end: int
    ) -> Result[int, LogFailure]:
        """Append if the partition ends at `end`."""
        return await self._timed("append_at", self._log.append_at(partition, payload, end))

    async def append_keyed(
        self, partition: Partition, key: str, value: bytes
    ) -> Result[int, LogFailure]:
        """Set a key."""
        return await self._timed("append_keyed", self._log.append_keyed(partition, key, value))

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read from an offset on."""
        return await self._timed(
            "read", self._log.read(partition, offset, wait_seconds), wait_seconds
        )

    async def read_keyed(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[KeyedPage, LogFailure]:
        """Read changes of a compacted topic."""
        return await self._timed(
            "read_keyed", self._log.read_keyed(partition, offset, wait_seconds), wait_seconds
        )

    async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
        """Read the newest record of each key."""
        return await self._timed("newest", self._log.newest(partition))

    async def _timed(
        self,
        operation: str,
        call: Awaitable[Result[Value, LogFailure]],
        wait_seconds: float = 0.0,
    ) -> Result[Value, LogFailure]:
        began = steady_seconds()
        result = await call
        outcome = ANSWERED if result.is_ok() else result.error.fault.value
        self._observe(operation, outcome, max(0.0, steady_seconds() - began - wait_seconds))
        return result
