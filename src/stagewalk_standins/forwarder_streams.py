"""TCP forwarding with injected faults."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import AsyncGenerator

import anyio
import anyio.abc

from stagewalk_standins.event_log import log_event
from stagewalk_standins.forwarder_faults import Direction, LinkState

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 5.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` with a time of zero: closing discards what is queued and sends a reset."""

_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


async def serve_streams(
    state: LinkState, listener: anyio.abc.Listener[anyio.abc.SocketStream], target: tuple[str, int]
) -> None:
    """Forward connections of a listener to a target until cancelled."""

    async def carry(client: anyio.abc.SocketStream) -> None:
        await _carry(state, client, target)

    await listener.serve(carry)


async def _carry(
    state: LinkState, client: anyio.abc.SocketStream, address: tuple[str, int]
) -> None:
    async with client:
        target = await _connect(state, client, address)
        if target is None:
            return
        async with target:
            await _Connection(state, client, target).carry()


async def _connect(
    state: LinkState, client: anyio.abc.SocketStream, address: tuple[str, int]
) -> anyio.abc.SocketStream | None:
    if not state.faults.cut:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                return await anyio.connect_tcp(*address)
        except (OSError, TimeoutError):
            log_event("target_unreachable", link=state.name)
    state.counts.resets += 1
    _reset_on_close(client)
    return None


class _Connection:
    """Both streams of one connection."""

    def __init__(
        self, state: LinkState, client: anyio.abc.SocketStream, target: anyio.abc.SocketStream
    ) -> None:
        self._state = state
        self._client = client
        self._target = target
        self._half_closed: set[Direction] = set()
        self._scope = anyio.CancelScope()

    async def carry(self) -> None:
        """Forward bytes until both directions have ended or the connection is reset."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_faults)
                async with anyio.create_task_group() as pumps:
                    pumps.start_soon(self._pump, Direction.TO_TARGET)
                    pumps.start_soon(self._pump, Direction.TO_CLIENT)
                tasks.cancel_scope.cancel()

    async def _watch_faults(self) -> None:
        while True:
            faults = self._state.faults
            if faults.cut:
                self._reset()
            for direction in faults.half_closed:
                await self._half_close(direction)
            await self._state.wait_changed()

    async def _pump(self, direction: Direction) -> None:
        source, sink = self._ends(direction)
        try:
            async for piece in _pieces(source):
                await self._state.wait_passable(direction)
                if direction is Direction.TO_CLIENT and self._state.faults.drop_answers:
                    self._state.counts.answers_dropped += 1
                    self._reset()
                if direction in self._half_closed:
                    continue
                await sink.send(piece)
            await self._state.wait_passable(direction)
            await sink.send_eof()
        except _BROKEN:
            self._reset()

    async def _half_close(self, direction: Direction) -> None:
        """Close a direction; later data from its source is discarded."""
        if direction in self._half_closed:
            return
        self._half_closed.add(direction)
        self._state.counts.half_closes += 1
        with contextlib.suppress(*_BROKEN):
            await self._ends(direction)[1].send_eof()

    def _ends(self, direction: Direction) -> tuple[anyio.abc.SocketStream, anyio.abc.SocketStream]:
        if direction is Direction.TO_TARGET:
            return self._client, self._target
        return self._target, self._client

    def _reset(self) -> None:
        """Reset the connections to the client and to the target."""
        if self._scope.cancel_called:
            return
        self._state.counts.resets += 1
        _reset_on_close(self._client)
        _reset_on_close(self._target)
        self._scope.cancel()


async def _pieces(source: anyio.abc.SocketStream) -> AsyncGenerator[bytes, None]:
    while True:
        try:
            yield await source.receive(CHUNK_BYTES)
        except anyio.EndOfStream:
            return


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
