"""Follows a partition of the log: each record is applied once, in order.

Owns how long reads wait, and the handling of records that were dropped before they were read.
Relies on the port of the log, and on a callback that applies records.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.partitioned_log.read_timing import (
    RETRY_SECONDS,
    answered_after,
    retry_pause,
)
from stagewalk.gateway.ports.partitioned_log import (
    LogFailure,
    LogFault,
    Partition,
    PartitionedLog,
    PartitionRecord,
    RecordPage,
)

ACTIVE_WAIT_SECONDS = 0.25
IDLE_WAIT_SECONDS = 1.0
"""How long a read waits for a first record. The log may fail to wake a waiting read, especially for
a record that closely follows another one. So the wait bounds how far a view may lag, and it is
shorter after recent records."""

ACTIVE_SECONDS = 6.0
"""How long after a record reads use `ACTIVE_WAIT_SECONDS`."""


class PartitionFollower:
    """Applies the records of a partition, from the oldest one kept.

    `catch_up` and the loop may read concurrently: a record is applied by whichever reads it first,
    and skipped by the other.

    Parameters
    ----------
    on_gap
        Called when records were dropped before they were read, so that this view lacks them.
    """

    def __init__(
        self,
        log: PartitionedLog,
        partition: Partition,
        apply: Callable[[PartitionRecord], None],
        pause_seconds: float = 0.0,
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self._partition = partition
        self._apply = apply
        self._pause_seconds = pause_seconds
        self._on_gap = on_gap
        self.next_offset = 0
        self._last_record_at = steady_seconds()
        self.freshness = Freshness(str(partition))
        self._resumed = anyio.Event()
        self._resumed.set()

    def pause(self) -> None:
        """Stop reading until `resume`; `catch_up` still works."""
        if self._resumed.is_set():
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Resume reading from the last position."""
        self._resumed.set()

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        failures = 0
        while True:
            await self._resumed.wait()
            if await self._read(self._wait_seconds()):
                failures = 0
                await anyio.sleep(self._pause_seconds)
            else:
                failures += 1
                await anyio.sleep(retry_pause(failures))

    async def catch_up(self, timeout_seconds: float) -> bool:
        """Read to the end of the partition; return whether that was done in time."""
        with anyio.move_on_after(timeout_seconds):
            while not await self._read(0.0):
                await anyio.sleep(RETRY_SECONDS)
            return True
        return False

    def _wait_seconds(self) -> float:
        if not self.freshness.ever_confirmed:
            return 0.0
        quiet = steady_seconds() - self._last_record_at
        return ACTIVE_WAIT_SECONDS if quiet < ACTIVE_SECONDS else IDLE_WAIT_SECONDS

    async def _read(self, wait_seconds: float) -> bool:
        """Read up to the end of the partition; return whether the log answered."""
        while True:
            began = steady_seconds()
            answer = await self._log.read(self._partition, self.next_offset, wait_seconds)
            if answer.is_error():
                self._record_failure(answer.error)
                return False
            page = answer.ok
            self._apply_page(page)
            if page.next_offset >= page.end:
                self.freshness.confirm(answered_after(began, wait_seconds, page))
                return True

    def _apply_page(self, page: RecordPage) -> None:
        if page.records:
            self._last_record_at = steady_seconds()
        for record in page.records:
            if record.offset == self.next_offset:
                self.next_offset += 1
                self._apply(record)

    def _record_failure(self, failure: LogFailure) -> None:
        if failure.fault is LogFault.DROPPED and failure.first_offset > self.next_offset:
            log_event(
                "log_history_dropped",
                "warning",
                partition=str(self._partition),
                offset=self.next_offset,
                first_offset=failure.first_offset,
            )
            self.next_offset = failure.first_offset
            self._on_gap()
        self.freshness.fail(failure.detail)
