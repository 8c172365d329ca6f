"""Appends to one partition exactly once, with several callers' records in one call.

An append whose answer was lost is sent again with the same sequence number until its outcome is
known; only then is the next one sent. So records are neither duplicated nor reordered. Owns the
queue, the producer's epoch and sequence number, and the retries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from expression import Error, Ok, Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.partitioned_log import (
    LogFault,
    Partition,
    PartitionedLog,
    ProducerSequence,
)

RETRY_SECONDS = 0.1
SLOW_RETRY_SECONDS = 0.3
QUICK_RETRIES = 5
"""Delays before a failed append is retried; the slow one applies once `QUICK_RETRIES` attempts in a
row have failed."""

RECORD_OVERHEAD_BYTES = 4
"""Bytes that a call needs for a record in addition to its payload: the length field."""


class AppendFailure(StrEnum):
    """Why an append has no offset."""

    NOT_APPENDED = "not_appended"
    """It is not in the log, and it will not be appended later."""
    UNKNOWN = "unknown"
    """It may be in the log, or may be appended later."""


@dataclass(slots=True)
class _Pending:
    payloads: tuple[bytes, ...]
    settled: anyio.Event = field(default_factory=anyio.Event)
    may_be_appended: bool = False
    abandoned: bool = False
    rejected: bool = False
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
        self.failing_since: float | None = None
        """Time of the first failure since the last accepted append (steady clock), or None."""

    async def append(
        self, payloads: Sequence[bytes], timeout_seconds: float
    ) -> Result[int, AppendFailure]:
        """Append records, all or none; return the offset of the first."""
        pending = _Pending(tuple(payloads))
        self._queue.append(pending)
        self._arrived.set()
        with anyio.move_on_after(timeout_seconds):
            await pending.settled.wait()
        if pending.offset is not None:
            return Ok(pending.offset)
        if pending.rejected:
            return Error(AppendFailure.NOT_APPENDED)
        if pending.may_be_appended:
            return Error(AppendFailure.UNKNOWN)
        pending.abandoned = True
        return Error(AppendFailure.NOT_APPENDED)

    def post(self, payloads: Sequence[bytes]) -> None:
        """Queue records without waiting for the outcome."""
        self._queue.append(_Pending(tuple(payloads)))
        self._arrived.set()

    @property
    def idle(self) -> bool:
        """Whether the queue is empty."""
        return not self._queue

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while group := self._next_group():
                await self._append_group(group)

    def _next_group(self) -> list[_Pending]:
        """Return the oldest appends that fit in one call; they stay queued until settled."""
        group: list[_Pending] = []
        size = 0
        while self._queue and self._queue[0].abandoned:
            self._queue.popleft()
        for pending in self._queue:
            if pending.abandoned:
                break
            size += pending.size
            if group and size > self._call_bytes:
                break
            group.append(pending)
        return group

    async def _append_group(self, group: list[_Pending]) -> None:
        """Send a call until its outcome is known.

        While all attempts were refused, none of the records can be in the log, so appends whose
        caller timed out are left out of the next attempt, which has the same sequence number.
        """
        self._sequence += 1
        failures = 0
        may_have_run = False
        while group:
            for pending in group:
                pending.may_be_appended = True
            payloads = [payload for pending in group for payload in pending.payloads]
            sequence = ProducerSequence(self._producer, self._epoch, self._sequence)
            answer = await self._log.append(self._partition, payloads, sequence)
            if answer.is_ok():
                self._record_success()
                self._finish(group, answer.ok)
                return
            failures += 1
            fault = answer.error.fault
            self._record_failure(fault, answer.error.detail, failures)
            if fault is LogFault.REJECTED:
                self._finish(group, None)
                return
            if fault is LogFault.OUT_OF_SEQUENCE:
                # A new epoch may begin at any sequence number; readers drop duplicates.
                self._epoch += 1
                self._sequence = 1
            may_have_run = may_have_run or fault is not LogFault.REFUSED
            for pending in group:
                pending.may_be_appended = may_have_run
            await anyio.sleep(RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS)
            if not may_have_run:
                group = self._without_abandoned(group)
        self._sequence -= 1

    def _without_abandoned(self, group: list[_Pending]) -> list[_Pending]:
        for pending in group:
            if pending.abandoned:
                self._queue.remove(pending)
        return [pending for pending in group if not pending.abandoned]

    def _finish(self, group: list[_Pending], offset: int | None) -> None:
        for pending in group:
            self._queue.remove(pending)
            pending.offset = offset
            pending.rejected = offset is None
            if offset is not None:
                offset += len(pending.payloads)
            pending.settled.set()

    def _record_success(self) -> None:
        if self.failing_since is not None:
            log_event("appends_resumed", partition=str(self._partition))
        self.failing_since = None

    def _record_failure(self, fault: LogFault, detail: str, failures: int) -> None:
        if self.failing_since is None:
            self.failing_since = steady_seconds()
        if failures == QUICK_RETRIES:
            log_event(
                "appends_stalled",
                "warning",
                partition=str(self._partition),
                fault=fault,
                detail=detail,
                sequence=self._sequence,
            )
