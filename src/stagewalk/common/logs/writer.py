"""Writes lines to a descriptor without ever waiting for whoever reads them."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable

MOST_WAITING_BYTES = 1_000_000
"""Lines that wait for the reader; a line that finds no room is lost, and counted."""

WRITE_BYTES = 4_096
"""A pipe that has room takes at least so much at once without blocking (POSIX `PIPE_BUF`)."""


class LineWriter:
    """Keeps lines until the descriptor takes them.

    Parameters
    ----------
    descriptor
        Where lines go: a pipe, a file or a terminal. It is shared with others perhaps, so it
        is not made non-blocking; it is asked before each write instead.
    schedule
        Has a call made soon, so that the lines of one turn of the loop are written together.
        None writes each line at once.
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
        """Return how much waits for the reader."""
        return self._waiting_bytes

    def write(self, line: str) -> bool:
        """Take a line; return whether there was room for it."""
        encoded = line.encode(errors="replace")
        if self._waiting_bytes + len(encoded) > MOST_WAITING_BYTES:
            self.flush()
            if self._waiting_bytes + len(encoded) > MOST_WAITING_BYTES:
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
        """Write what the descriptor takes now."""
        while self._waiting and self._has_room():
            piece = self._next_piece()
            try:
                written = os.write(self._descriptor, piece)
            except OSError:
                # Nobody reads any more: what can't be told is dropped.
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
        """Take lines of up to `WRITE_BYTES`, or the beginning of a longer one."""
        first = self._waiting.popleft()
        if len(first) > WRITE_BYTES:
            self._waiting.appendleft(first[WRITE_BYTES:])
            return first[:WRITE_BYTES]
        parts = [first]
        size = len(first)
        while self._waiting and size + len(self._waiting[0]) <= WRITE_BYTES:
            size += len(self._waiting[0])
            parts.append(self._waiting.popleft())
        return b"".join(parts)
