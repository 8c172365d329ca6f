"""Appends to one partition exactly once, several callers' records in one call.

An append whose answer was lost is sent again under the same sequence until the log has settled
it; only then does the next one go. So a record is never doubled, and never overtaken by a later
one of the same process.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from expression import Error, Ok, Result

from stagewalk.node.log_lines import log_event
from stagewalk.ports.partitioned_log import (
    LogFault,
    Partition,
    PartitionedLog,
    ProducerSequence,
)

RETRY_SECONDS = 0.1
SLOW_RETRY_SECONDS = 0.3
QUICK_RETRIES = 5
RECORD_OVERHEAD_BYTES = 4


class AppendOutcome(StrEnum):
    """Why an append has no offset."""

    NOT_APPENDED = "not_appended"
    """Never sent, and it never will be."""
    UNKNOWN = "unknown"
    """It may be in the log, or may come to be there."""


@dataclass(slots=True)
class _Pending:
    payloads: tuple[bytes, ...]
    settled: anyio.Event = field(default_factory=anyio.Event)
    sent: bool = False
    refused: bool = False
    offset: int | None = None

    @property
    def size(self) -> int:
        return sum(len(payload) + RECORD_OVERHEAD_BYTES for payload in self.payloads)


class PartitionAppender:
    """Appends for one process to one partition. `run` must be running."""

    def __init__(
        self, log: PartitionedLog, partition: Partition, producer: str, call_bytes: int
    ) -> None:
        self._log = log
        self._partition = partition
        self._producer = producer
        self._call_bytes = call_bytes
        self._epoch = 1
        self._sequence = 0
        self._queue: deque[_Pending] = deque()
        self._arrived = anyio.Event()
        self.struggling_since: float | None = None
        """Since when (steady clock) the log has not taken what was sent; None: it does."""

    async def append(
        self, payloads: Sequence[bytes], timeout_seconds: float
    ) -> Result[int, AppendOutcome]:
        """Append records, all or none; return the offset of the first."""
        pending = _Pending(tuple(payloads))
        self._queue.append(pending)
        self._arrived.set()
        with anyio.move_on_after(timeout_seconds):
            await pending.settled.wait()
        if pending.offset is not None:
            return Ok(pending.offset)
        if pending.refused:
            return Error(AppendOutcome.NOT_APPENDED)
        if not pending.sent:
            self._queue.remove(pending)
            return Error(AppendOutcome.NOT_APPENDED)
        return Error(AppendOutcome.UNKNOWN)

    def post(self, payloads: Sequence[bytes]) -> None:
        """Append records without waiting for it."""
        self._queue.append(_Pending(tuple(payloads)))
        self._arrived.set()

    @property
    def idle(self) -> bool:
        """Whether nothing is left to append."""
        return not self._queue

    async def run(self) -> None:
        """Append what is queued, for ever."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._queue:
                await self._append_together(self._take())

    def _take(self) -> list[_Pending]:
        """Return the oldest appends that fit in one call; they stay queued until settled."""
        together: list[_Pending] = []
        size = 0
        for pending in self._queue:
            size += pending.size
            if together and size > self._call_bytes:
                break
            together.append(pending)
        return together

    async def _append_together(self, together: list[_Pending]) -> None:
        for pending in together:
            pending.sent = True
        self._sequence += 1
        payloads = [payload for pending in together for payload in pending.payloads]
        offset = await self._settle(payloads)
        for pending in together:
            self._queue.remove(pending)
            pending.offset = offset
            pending.refused = offset is None
            if offset is not None:
                offset += len(pending.payloads)
            pending.settled.set()

    async def _settle(self, payloads: list[bytes]) -> int | None:
        """Send until the log has settled it; None if the log can't take it at all."""
        failures = 0
        while True:
            sequence = ProducerSequence(self._producer, self._epoch, self._sequence)
            answer = await self._log.append(self._partition, payloads, sequence)
            if answer.is_ok():
                self._note_success()
                return answer.ok
            failures += 1
            fault = answer.error.fault
            self._note_failure(fault, answer.error.detail, failures)
            if fault is LogFault.REJECTED:
                return None
            if fault is LogFault.OUT_OF_SEQUENCE:
                # A new epoch may begin at any sequence; what was doubled, readers drop.
                self._epoch += 1
                self._sequence = 1
            await anyio.sleep(RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS)

    def _note_success(self) -> None:
        if self.struggling_since is not None:
            log_event("appends_resumed", partition=str(self._partition))
        self.struggling_since = None

    def _note_failure(self, fault: LogFault, detail: str, failures: int) -> None:
        if self.struggling_since is None:
            self.struggling_since = time.monotonic()
        if failures == QUICK_RETRIES:
            log_event(
                "appends_stalled",
                "warning",
                partition=str(self._partition),
                fault=fault,
                detail=detail,
                sequence=self._sequence,
            )
