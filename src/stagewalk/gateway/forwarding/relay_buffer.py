"""Buffers the parts of a stream between its worker and a slower caller.

A worker cuts off an answer that stays unread for seconds, so reading from it never waits for the
caller. `held_memory.readers` bounds the buffers, and cuts off callers that are too far behind.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.held_memory.readers import ReaderBacklog, ResponseReaders
from stagewalk.gateway.ports.workers import StreamHead, StreamPart

PART_OVERHEAD_BYTES = 300
"""Memory of a buffered part besides its data: its objects and its place in the buffer."""

StreamConsumer = Callable[[StreamPart], Awaitable[None]]
Produced = TypeVar("Produced")


class RelayBuffer:
    """Parts of one stream that its caller has not read yet.

    Parameters
    ----------
    consume
        Writes a part to the caller; waits for a slow one.
    resumable
        Whether the caller may resume a stream that was cut off.
    """

    def __init__(
        self, readers: ResponseReaders, consume: StreamConsumer, request_id: str, *, resumable: bool
    ) -> None:
        self._readers = readers
        self._consume = consume
        self._parts: deque[StreamPart] = deque()
        self._changed = anyio.Event()
        self._ended = False
        self._scope = anyio.CancelScope()
        self._reader = ReaderBacklog(request_id, resumable, self._scope.cancel)

    @property
    def was_cut_off(self) -> bool:
        """Whether the caller was cut off. If so, its answer must not look complete."""
        return self._reader.was_cut_off

    async def put(self, part: StreamPart) -> None:
        """Queue a part for the caller; returns without waiting for it."""
        self._readers.buffer_part(self._reader, _held_bytes(part), steady_seconds())
        if not self._reader.was_cut_off:
            self._parts.append(part)
            self._changed.set()

    async def relay(self, produce: Callable[[], Awaitable[Produced]]) -> Produced | None:
        """Run `produce`, and write the parts that it puts to the caller.

        Returns
        -------
        Produced or None
            Result of `produce` once all parts are written, None if the caller was cut off.
        """
        self._readers.add(self._reader)
        produced: Produced | None = None
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    produced = await produce()
                    self._ended = True
                    self._changed.set()
        finally:
            self._parts.clear()
            self._readers.remove(self._reader)
        return None if self._reader.was_cut_off else produced

    async def _write(self) -> None:
        while self._parts or not self._ended:
            if not self._parts:
                self._changed = anyio.Event()
                await self._changed.wait()
                continue
            part = self._parts.popleft()
            await self._consume(part)
            self._readers.release(self._reader, _held_bytes(part))


def _held_bytes(part: StreamPart) -> int:
    """Return the memory that a part takes. An event is kept both raw and as text."""
    if isinstance(part, StreamHead):
        return PART_OVERHEAD_BYTES + sum(len(name) + len(value) for name, value in part.headers)
    return PART_OVERHEAD_BYTES + len(part.raw) + len(part.data)
