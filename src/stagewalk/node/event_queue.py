"""The ordered queue of all events for the core, which handles them one by one.

Its length is bounded: callers and engine streams wait for room; messages of other nodes, which may
be lost anyway, are dropped.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio

from stagewalk.node.core.events import Event

MAXIMUM_QUEUED_EVENTS = 4096
"""Bounds memory and the age of an event."""

_RESERVED_FOR_WAITING_SENDERS = 1024
"""Room that droppable events leave for senders that wait."""


class EventQueue:
    """Bounded queue of events, first in, first out."""

    def __init__(self) -> None:
        send, receive = anyio.create_memory_object_stream[Event](MAXIMUM_QUEUED_EVENTS)
        self._send = send
        self._receive = receive

    async def put(self, event: Event) -> None:
        """Add an event, waiting for room."""
        await self._send.send(event)

    def put_droppable(self, event: Event) -> bool:
        """Add an event if there is room to spare; return whether it was added."""
        if len(self) >= MAXIMUM_QUEUED_EVENTS - _RESERVED_FOR_WAITING_SENDERS:
            return False
        self._send.send_nowait(event)
        return True

    async def events(self) -> AsyncIterator[Event]:
        """Yield events in order, until cancelled."""
        async for event in self._receive:
            yield event

    def __len__(self) -> int:
        return self._receive.statistics().current_buffer_used
