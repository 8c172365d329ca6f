"""Outgoing TCP connections to other nodes: one per peer, opened on its first message.

A frame that can't be delivered is dropped and counted, never retried: the cores repeat messages
that they still need.
"""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream

from stagewalk.common.identities import Address
from stagewalk.node.metrics import PeerMetrics

MAXIMUM_QUEUED_FRAMES = 256
"""Maximum number of frames queued for one peer; further ones are dropped."""

MAXIMUM_PEERS = 1024
"""More than twice the 420 nodes that the product is designed for."""

CONNECT_TIMEOUT_SECONDS = 2.0
SEND_TIMEOUT_SECONDS = 5.0
IDLE_SECONDS = 60.0
"""Time without a frame after which a connection is closed."""

INITIAL_BACKOFF_SECONDS = 0.1
MAXIMUM_BACKOFF_SECONDS = 5.0
"""The pause after a failed connection doubles from the initial to the maximum value."""

_STREAM_ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class OutgoingStream:
    """Queue and connection to one peer.

    A frame is written at most once. Frames written to a broken connection are lost, and frames
    queued when connecting fails are dropped, since the cores repeat messages that they still need.
    """

    def __init__(self, address: Address, metrics: PeerMetrics) -> None:
        self.address = address
        self._metrics = metrics
        send, receive = anyio.create_memory_object_stream[bytes](MAXIMUM_QUEUED_FRAMES)
        self._send = send
        self._receive = receive
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS

    def offer(self, frame: bytes) -> None:
        """Queue a frame, or drop it if the queue is full."""
        try:
            self._send.send_nowait(frame)
        except anyio.WouldBlock:
            self._metrics.count_dropped("overflow")

    async def run(self) -> None:
        """Deliver frames until none was queued for `IDLE_SECONDS`."""
        with self._send, self._receive:
            while await self._serve_connection():
                pass

    async def _serve_connection(self) -> bool:
        """Use one connection until it ends; return whether to open another."""
        with anyio.move_on_after(IDLE_SECONDS) as waiting:
            frame = await self._receive.receive()
        if waiting.cancelled_caught:
            return False
        connection = await self._connect()
        if connection is None:
            self._drop_queued()
            await self._back_off()
            return True
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        return await _Connection(connection, self._receive, self._metrics).write_frames(frame)

    async def _connect(self) -> anyio.abc.SocketStream | None:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                return await anyio.connect_tcp(self.address.host, self.address.port)
        except (OSError, TimeoutError):
            return None

    def _drop_queued(self) -> None:
        self._metrics.count_dropped("unreachable")
        while self._receive.statistics().current_buffer_used:
            self._receive.receive_nowait()
            self._metrics.count_dropped("unreachable")

    async def _back_off(self) -> None:
        await anyio.sleep(self._backoff_seconds)
        self._backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2 * self._backoff_seconds)


class _Connection:
    """One open connection: writes frames, and detects when the peer closes it.

    Otherwise the first frame after a restart of the peer would be written to a closed connection
    and lost.
    """

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        frames: MemoryObjectReceiveStream[bytes],
        metrics: PeerMetrics,
    ) -> None:
        self._stream = stream
        self._frames = frames
        self._metrics = metrics
        self._idle = False

    async def write_frames(self, first_frame: bytes) -> bool:
        """Write frames; return True if the connection broke, False if it became idle."""
        async with self._stream, anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_until_closed, tasks.cancel_scope)
            await self._write_all(first_frame)
            tasks.cancel_scope.cancel()
        return not self._idle

    async def _wait_until_closed(self, scope: anyio.CancelScope) -> None:
        with contextlib.suppress(*_STREAM_ENDED):
            await self._stream.receive(1)
        scope.cancel()

    async def _write_all(self, frame: bytes) -> None:
        while await self._write(frame):
            with anyio.move_on_after(IDLE_SECONDS):
                frame = await self._frames.receive()
                continue
            self._idle = True
            return

    async def _write(self, frame: bytes) -> bool:
        try:
            with anyio.fail_after(SEND_TIMEOUT_SECONDS):
                await self._stream.send(frame)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
            self._metrics.count_dropped("broken")
            return False
        return True


class OutgoingStreams:
    """All outgoing connections by address; idle ones are closed and removed."""

    def __init__(self, tasks: anyio.abc.TaskGroup, metrics: PeerMetrics) -> None:
        self._tasks = tasks
        self._metrics = metrics
        self._streams: dict[Address, OutgoingStream] = {}

    def offer(self, address: Address, frame: bytes) -> None:
        """Queue a frame for the peer at an address, or drop it."""
        stream = self._streams.get(address)
        if stream is None:
            if len(self._streams) >= MAXIMUM_PEERS:
                self._metrics.count_dropped("overflow")
                return
            stream = OutgoingStream(address, self._metrics)
            self._streams[address] = stream
            self._tasks.start_soon(self._run, stream)
        stream.offer(frame)

    async def _run(self, stream: OutgoingStream) -> None:
        try:
            await stream.run()
        finally:
            del self._streams[stream.address]
