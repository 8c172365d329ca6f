"""Writes lines to a file descriptor without blocking; buffers a limited amount."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable

MAXIMUM_BUFFERED_BYTES = 1_000_000
"""Size of the buffer; a line that does not fit is dropped."""

MAXIMUM_WRITE_BYTES = 4_096
"""Bytes that a pipe accepts without blocking once it is writable (POSIX `PIPE_BUF`)."""


class LineWriter:
    """Buffers lines until the descriptor accepts them.

    Parameters
    ----------
    descriptor
        A pipe, a file or a terminal. Other processes may share it, so it is not made
        non-blocking; it is polled before each write instead.
    schedule
        Schedules a call for the next iteration of the event loop, so that the lines of one
        iteration are written together. None: each line is written at once.
    """

    def __init__(
        self, descriptor: int, schedule: Callable[[Callable[[], None]], object] | None = None
    ) -> None:
        self._descriptor = descriptor
        self._schedule = schedule
        self._scheduled = False
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return self._buffered_bytes

    def write(self, line: str) -> bool:
        """Write or buffer a line; return whether it fitted into the buffer."""
        encoded = line.encode(errors="replace")
        if self._buffered_bytes + len(encoded) > MAXIMUM_BUFFERED_BYTES:
            self.flush()
            if self._buffered_bytes + len(encoded) > MAXIMUM_BUFFERED_BYTES:
                return False
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)
        if self._schedule is None:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self._schedule(self._flush_scheduled)
        return True

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._buffer and self._has_room():
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The reader is gone, and the error can't be logged anywhere: drop the lines.
                written = len(chunk)
            self._buffered_bytes -= written
            if written < len(chunk):
                self._buffer.appendleft(chunk[written:])

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self.flush()

    def _has_room(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))

    def _next_chunk(self) -> bytes:
        """Return lines of up to `MAXIMUM_WRITE_BYTES` in total, or the start of a longer line."""
        first = self._buffer.popleft()
        if len(first) > MAXIMUM_WRITE_BYTES:
            self._buffer.appendleft(first[MAXIMUM_WRITE_BYTES:])
            return first[:MAXIMUM_WRITE_BYTES]
        parts = [first]
        size = len(first)
        while self._buffer and size + len(self._buffer[0]) <= MAXIMUM_WRITE_BYTES:
            size += len(self._buffer[0])
            parts.append(self._buffer.popleft())
        return b"".join(parts)
