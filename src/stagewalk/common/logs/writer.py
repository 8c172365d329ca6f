"""Writes lines to a descriptor without ever blocking on its reader.

Owns the lines that wait for room, up to a bound.
"""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable

MAXIMUM_BUFFERED_BYTES = 1_000_000
"""Most bytes that wait for the reader; a line beyond that is dropped, and counted."""

MAXIMUM_WRITE_BYTES = 4_096
"""A pipe that has room takes at least so much at once without blocking (POSIX `PIPE_BUF`)."""


class LineWriter:
    """Keeps lines until the descriptor takes them.

    Parameters
    ----------
    descriptor
        A pipe, a file or a terminal. Other processes may share it, so it is not made
        non-blocking; it is polled before each write instead.
    schedule
        Schedules a call for the next turn of the event loop, so that the lines of one turn are
        written together. None writes each line at once.
    """

    def __init__(
        self, descriptor: int, schedule: Callable[[Callable[[], None]], object] | None = None
    ) -> None:
        self._descriptor = descriptor
        self._schedule = schedule
        self._scheduled = False
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def waiting_bytes(self) -> int:
        """Return how many bytes wait for the reader."""
        return self._waiting_bytes

    def write(self, line: str) -> bool:
        """Write a line now or soon; return whether there was room for it."""
        encoded = line.encode(errors="replace")
        if self._waiting_bytes + len(encoded) > MAXIMUM_BUFFERED_BYTES:
            self.flush()
            if self._waiting_bytes + len(encoded) > MAXIMUM_BUFFERED_BYTES:
                return False
        self._waiting.append(encoded)
        self._waiting_bytes += len(encoded)
        if self._schedule is None:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self._schedule(self._flush_scheduled)
        return True

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        while self._waiting and self._has_room():
            piece = self._next_piece()
            try:
                written = os.write(self._descriptor, piece)
            except OSError:
                # The reader is gone, so there is nowhere left to report it: the lines are dropped.
                written = len(piece)
            self._waiting_bytes -= written
            if written < len(piece):
                self._waiting.appendleft(piece[written:])

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self.flush()

    def _has_room(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))

    def _next_piece(self) -> bytes:
        """Return lines of up to `MAXIMUM_WRITE_BYTES` together, or the beginning of a longer
        one."""
        first = self._waiting.popleft()
        if len(first) > MAXIMUM_WRITE_BYTES:
            self._waiting.appendleft(first[MAXIMUM_WRITE_BYTES:])
            return first[:MAXIMUM_WRITE_BYTES]
        parts = [first]
        size = len(first)
        while self._waiting and size + len(self._waiting[0]) <= MAXIMUM_WRITE_BYTES:
            size += len(self._waiting[0])
            parts.append(self._waiting.popleft())
        return b"".join(parts)
