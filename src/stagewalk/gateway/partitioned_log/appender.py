"""Appends to one partition exactly once, several callers' records in one call.

An append whose answer was lost is sent again under the same sequence until the log has settled
it; only then is the next one sent. So a record is never doubled, and never overtaken by a later
one of the same process. Owns the queue, the producer's epoch and sequence, and the retries.
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
"""Pauses before a failed append is sent again: of the first retries, and once so many failed in a
row."""

RECORD_OVERHEAD_BYTES = 4
"""Bytes of a call beside each record: its length."""


class AppendFailure(StrEnum):
    """Why an append has no offset."""

    NOT_APPENDED = "not_appended"
    """Never sent, and it never will be."""
    UNKNOWN = "unknown"
    """It may be in the log, or may come to be there."""


@dataclass(slots=True)
class _Pending:
    payloads: tuple[bytes, ...]
    settled: anyio.Event = field(default_factory=anyio.Event)
    may_land: bool = False
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
        """Since when (steady clock) the log has accepted no append; None: it accepts them."""

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
        if pending.may_land:
            return Error(AppendFailure.UNKNOWN)
        pending.abandoned = True
        return Error(AppendFailure.NOT_APPENDED)

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
            while together := self._take():
                await self._append_together(together)

    def _take(self) -> list[_Pending]:
        """Return the oldest appends that fit in one call; they stay queued until settled."""
        together: list[_Pending] = []
        size = 0
        while self._queue and self._queue[0].abandoned:
            self._queue.popleft()
        for pending in self._queue:
            if pending.abandoned:
                break
            size += pending.size
            if together and size > self._call_bytes:
                break
            together.append(pending)
        return together

    async def _append_together(self, together: list[_Pending]) -> None:
        """Send until the log has settled it.

        While the log has refused every call, nothing of it can land, so appends that nobody
        waits for any more are left out of the next call under the same sequence.
        """
        self._sequence += 1
        failures = 0
        unsettled = False
        while together:
            for pending in together:
                pending.may_land = True
            payloads = [payload for pending in together for payload in pending.payloads]
            sequence = ProducerSequence(self._producer, self._epoch, self._sequence)
            answer = await self._log.append(self._partition, payloads, sequence)
            if answer.is_ok():
                self._record_success()
                self._finish(together, answer.ok)
                return
            failures += 1
            fault = answer.error.fault
            self._record_failure(fault, answer.error.detail, failures)
            if fault is LogFault.REJECTED:
                self._finish(together, None)
                return
            if fault is LogFault.OUT_OF_SEQUENCE:
                # A new epoch may begin at any sequence; what was doubled, readers drop.
                self._epoch += 1
                self._sequence = 1
            unsettled = unsettled or fault is not LogFault.REFUSED
            for pending in together:
                pending.may_land = unsettled
            await anyio.sleep(RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS)
            if not unsettled:
                together = self._without_abandoned(together)
        self._sequence -= 1

    def _without_abandoned(self, together: list[_Pending]) -> list[_Pending]:
        for pending in together:
            if pending.abandoned:
                self._queue.remove(pending)
        return [pending for pending in together if not pending.abandoned]

    def _finish(self, together: list[_Pending], offset: int | None) -> None:
        for pending in together:
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
