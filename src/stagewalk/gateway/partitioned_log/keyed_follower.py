"""Follows a compacted partition: the newest record of each key, then the changes.

Decides when to list the whole partition again; reads at a caller's request too. Relies on the port
of the log, and on callbacks that apply listings and changes.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.partitioned_log.read_timing import answered_after, retry_pause
from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    KeyedRecord,
    LogFault,
    Partition,
    PartitionedLog,
)

KEYED_WAIT_SECONDS = 0.5
"""Default time that a read of a compacted partition waits for a first change."""


class KeyedFollower:
    """Applies the newest record of each key of a compacted partition, then the changes.

    `replace` receives a whole listing: keys that are not in it have been deleted. The partition is
    listed at the start and whenever changes were dropped before they were read.

    Parameters
    ----------
    on_confirm
        See `Freshness`.

    Attributes
    ----------
    pause_seconds
        Pause between two reads; may be changed at any time.
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
        """Highest offset read up to; a listing that ends before it would undo changes."""
        self._read_under_way: anyio.Event | None = None
        self._read_sent_at = -math.inf
        """When the last successful read was sent."""
        self.freshness = Freshness(str(partition), on_confirm)

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        failures = 0
        while True:
            if await self._step(self.wait_seconds):
                failures = 0
                await anyio.sleep(self.pause_seconds)
            else:
                failures += 1
                await anyio.sleep(retry_pause(failures))

    async def refresh(self, oldest_seconds: float, timeout_seconds: float) -> None:
        """Read again if the view is older than a limit; give up after a time-out.

        Concurrent callers wait for the read that is under way. While the log fails, this returns at
        once: `run` finds out when the log answers again.
        """
        fresh = self.freshness.age(steady_seconds()) <= oldest_seconds
        if fresh or self.freshness.failing:
            return
        with anyio.move_on_after(timeout_seconds):
            if self._read_under_way is not None:
                await self._read_under_way.wait()
                return
            await self._read_at_once()

    async def renew(self, oldest_seconds: float, timeout_seconds: float) -> bool:
        """Return whether the view is at most `oldest_seconds` old; read again if it is older.

        Stricter than `refresh`: a view's age counts from when its read was sent, since the answer
        may have stayed unread while the process was suspended. It also reads while the log fails.
        Concurrent callers share a read.
        """
        sent_after = steady_seconds() - oldest_seconds
        with anyio.move_on_after(timeout_seconds):
            while self._read_sent_at < sent_after:
                if self._read_under_way is not None:
                    await self._read_under_way.wait()
                elif not await self._read_at_once():
                    break
        return self._read_sent_at >= sent_after

    async def _read_at_once(self) -> bool:
        self._read_under_way = anyio.Event()
        try:
            return await self._step(0.0)
        finally:
            self._read_under_way.set()
            self._read_under_way = None

    async def _step(self, wait_seconds: float) -> bool:
        began = steady_seconds()
        if await self._read(wait_seconds):
            self._read_sent_at = max(self._read_sent_at, began)
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
                self.freshness.confirm(answered_after(began, wait_seconds, answer.ok))
                return True
        return await self._list()

    def _apply_page(self, page: KeyedPage, next_offset: int) -> None:
        for record in page.records:
            # A concurrent read may have applied the same records already.
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
            self.freshness.fail("the listing is older than records read before")
            return False
        if self._next_offset is None or self._next_offset <= listing.ok.next_offset:
            self._replace(listing.ok.records)
            self._next_offset = self._highest_offset = listing.ok.next_offset
        self.freshness.confirm(began)
        return True
