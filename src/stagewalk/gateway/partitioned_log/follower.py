"""Follows partitions of the log: each record is applied once, in order.

Owns the pace of retries and waits, and when a view is confirmed complete. Relies on the port of the
log, and on callbacks that apply records.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    KeyedRecord,
    LogFailure,
    LogFault,
    Partition,
    PartitionedLog,
    PartitionRecord,
    RecordPage,
)

RETRY_SECONDS = 0.1
SLOW_RETRY_SECONDS = 0.4
QUICK_RETRIES = 5
"""Pauses before a failed read is tried again: of the first retries, and once so many failed in a
row. Chosen, not measured."""

ACTIVE_WAIT_SECONDS = 0.25
IDLE_WAIT_SECONDS = 1.0
"""How long a read waits for a first record. A log may fail to wake a waiting read, most of all
for a record that closely follows another (seen to last until the wait was over); so the wait is
the bound on how far a view may lag, and short where records have come lately."""

ACTIVE_SECONDS = 6.0
"""After a record, reads wait `ACTIVE_WAIT_SECONDS` for this long. Chosen, not measured."""

KEYED_WAIT_SECONDS = 0.5
"""How long a read of a compacted partition waits for a first change, unless its user says."""


class PartitionFollower:
    """Applies the records of a partition from its oldest kept one on.

    `catch_up` and the loop may read at the same time; a record is applied by whichever comes
    first, and the other one skips it.

    Parameters
    ----------
    on_gap
        Called once records were dropped before they were read: their content is lost to this view.
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
        """Resume following where it stopped."""
        self._resumed.set()

    async def run(self) -> None:
        """Follow for ever."""
        failures = 0
        while True:
            await self._resumed.wait()
            if await self._read(self._wait_seconds()):
                failures = 0
                await anyio.sleep(self._pause_seconds)
            else:
                failures += 1
                await anyio.sleep(_retry_pause(failures))

    async def catch_up(self, timeout_seconds: float) -> bool:
        """Apply all that the partition holds now; return whether that was done in time."""
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
        """Read once, and on to the end if there is more; return whether the log answered."""
        while True:
            began = steady_seconds()
            answer = await self._log.read(self._partition, self.next_offset, wait_seconds)
            if answer.is_error():
                self._note_failure(answer.error)
                return False
            page = answer.ok
            self._apply_page(page)
            if page.next_offset >= page.end:
                self.freshness.confirm(_answered_after(began, wait_seconds, page))
                return True

    def _apply_page(self, page: RecordPage) -> None:
        if page.records:
            self._last_record_at = steady_seconds()
        for record in page.records:
            if record.offset == self.next_offset:
                self.next_offset += 1
                self._apply(record)

    def _note_failure(self, failure: LogFailure) -> None:
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


def _answered_after(began: float, wait_seconds: float, page: RecordPage | KeyedPage) -> float:
    """Return a time after which the log certainly gave an answer.

    The answer may have waited here unread while the process was suspended: only an answer without
    records shows that the log let the read wait to its end.
    """
    waited = 0.0 if page.records else wait_seconds
    return min(steady_seconds(), began + waited)


class KeyedFollower:
    """Applies the newest record of each key of a compacted partition, then its changes.

    `replace` takes a whole listing: keys that are not in it are gone. A listing is read at the
    start and whenever changes were dropped before they could be read.

    Parameters
    ----------
    on_confirm
        See `Freshness`.

    Attributes
    ----------
    pause_seconds
        How long it lets changes gather between two reads; may be changed at any time.
    wait_seconds
        How long a read waits for a first change; may be changed at any time.
    """

    def __init__(
        self,
        log: PartitionedLog,
        partition: Partition,
        replace: Callable[[tuple[KeyedRecord, ...]], None],
        apply: Callable[[KeyedRecord], None],
        *,
        pause_seconds: float = 0.0,
        wait_seconds: float = KEYED_WAIT_SECONDS,
        on_confirm: Callable[[float], None] = lambda _confirmed_at: None,
    ) -> None:
        self._log = log
        self._partition = partition
        self._replace = replace
        self._apply = apply
        self.pause_seconds = pause_seconds
        self.wait_seconds = wait_seconds
        self._next_offset: int | None = None
        self._highest_offset = 0
        """Up to where the partition was ever read: an older listing would take changes back."""
        self._read_now: anyio.Event | None = None
        self._asked_at = -math.inf
        """When the last read was sent that brought the view up to date."""
        self.freshness = Freshness(str(partition), on_confirm)

    async def run(self) -> None:
        """Follow for ever."""
        failures = 0
        while True:
            if await self._step(self.wait_seconds):
                failures = 0
                await anyio.sleep(self.pause_seconds)
            else:
                failures += 1
                await anyio.sleep(_retry_pause(failures))

    async def refresh(self, oldest_seconds: float, timeout_seconds: float) -> None:
        """Renew a view that is older than a time, if the log answers soon enough.

        Concurrent callers wait for the read that is under way. While the log fails, nobody
        waits: the loop that follows finds out when it answers again.
        """
        fresh = self.freshness.age(steady_seconds()) <= oldest_seconds
        if fresh or self.freshness.failing:
            return
        with anyio.move_on_after(timeout_seconds):
            if self._read_now is not None:
                await self._read_now.wait()
                return
            await self._read_at_once()

    async def renew(self, oldest_seconds: float, timeout_seconds: float) -> bool:
        """Return whether the view holds all that the log held so many seconds ago; read if needed.

        Stricter than `refresh`: a read counts from when it was sent, since its answer may have
        waited here unread while the process was suspended, and it is tried also while the log
        fails. Concurrent callers share one read.
        """
        sent_after = steady_seconds() - oldest_seconds
        with anyio.move_on_after(timeout_seconds):
            while self._asked_at < sent_after:
                if self._read_now is not None:
                    await self._read_now.wait()
                elif not await self._read_at_once():
                    break
        return self._asked_at >= sent_after

    async def _read_at_once(self) -> bool:
        self._read_now = anyio.Event()
        try:
            return await self._step(0.0)
        finally:
            self._read_now.set()
            self._read_now = None

    async def _step(self, wait_seconds: float) -> bool:
        began = steady_seconds()
        if await self._read(wait_seconds):
            self._asked_at = max(self._asked_at, began)
            return True
        return False

    async def _read(self, wait_seconds: float) -> bool:
        while self._next_offset is not None:
            began = steady_seconds()
            answer = await self._log.read_keyed(self._partition, self._next_offset, wait_seconds)
            if answer.is_error():
                if answer.error.fault is LogFault.DROPPED:
                    self._next_offset = None
                self.freshness.fail(answer.error.detail)
                return False
            if self._next_offset is None:
                return False
            self._apply_page(answer.ok, self._next_offset)
            if answer.ok.next_offset >= answer.ok.end:
                self.freshness.confirm(_answered_after(began, wait_seconds, answer.ok))
                return True
        return await self._list()

    def _apply_page(self, page: KeyedPage, next_offset: int) -> None:
        for record in page.records:
            # Another read, begun earlier or later, may have brought the same records.
            if record.offset >= next_offset:
                next_offset = record.offset + 1
                self._next_offset = next_offset
                self._apply(record)
        self._next_offset = max(next_offset, page.next_offset)
        self._highest_offset = max(self._highest_offset, self._next_offset)

    async def _list(self) -> bool:
        began = steady_seconds()
        listing = await self._log.newest(self._partition)
        if listing.is_error():
            self.freshness.fail(listing.error.detail)
            return False
        if self._next_offset is None and listing.ok.next_offset < self._highest_offset:
            self.freshness.fail("a listing older than what was read")
            return False
        if self._next_offset is None or self._next_offset <= listing.ok.next_offset:
            self._replace(listing.ok.records)
            self._next_offset = self._highest_offset = listing.ok.next_offset
        self.freshness.confirm(began)
        return True


def _retry_pause(failures: int) -> float:
    return RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS
