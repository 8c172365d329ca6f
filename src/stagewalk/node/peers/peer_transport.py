"""Messages between nodes: protobuf envelopes in UDP datagrams and in framed TCP streams.

Received messages are dropped when the event queue is nearly full: the cores repeat messages that
they still need.
"""

from __future__ import annotations

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from stagewalk.common.identities import Address
from stagewalk.node.core.events import PeerMessageReceived
from stagewalk.node.core.instructions import MAXIMUM_DATAGRAM_BYTES, SendPeerMessage, Transport
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import PeerMetrics
from stagewalk.node.peers.peer_frames import (
    LENGTH_PREFIX_BYTES,
    decode_envelope,
    decode_length,
    encode_frame,
)
from stagewalk.node.peers.peer_streams import OutgoingStreams

MAXIMUM_QUEUED_DATAGRAMS = 512
"""Maximum number of datagrams queued for the socket; further ones are dropped."""

MAXIMUM_INCOMING_CONNECTIONS = 1024
"""More than twice the 420 nodes that the product is designed for."""

INCOMING_IDLE_SECONDS = 120.0
"""Time without a complete frame after which an incoming stream is closed: twice the `IDLE_SECONDS`
of senders, so that a sender closes first."""

MAXIMUM_KNOWN_SENDERS = 8192
"""Limits the memory that forged sender names can use."""


class PeerTransport:
    """Sends and receives envelopes for this node.

    The source address passed to the core is the peer's listening address. Datagrams are sent from
    the listening socket, so their source address is used. A stream comes from an ephemeral port, so
    the last known listening address of the envelope's sender is used, from a datagram or the
    machine list; for an unknown sender it is the remote address of the stream.
    """

    def __init__(self, listen: Address, events: EventQueue, metrics: PeerMetrics) -> None:
        self._listen = listen
        self._events = events
        self._metrics = metrics
        self._listening_addresses: dict[str, Address] = {}
        self._incoming = 0
        self._outgoing: OutgoingStreams | None = None
        send, receive = anyio.create_memory_object_stream[tuple[bytes, Address]](
            MAXIMUM_QUEUED_DATAGRAMS
        )
        self._datagram_queue = send
        self._queued_datagrams = receive

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Open the sockets, report them open, and serve until cancelled."""
        host, port = self._listen.host, self._listen.port
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with (
            listener,
            await anyio.create_udp_socket(local_host=host, local_port=port) as socket,
            anyio.create_task_group() as tasks,
        ):
            self._outgoing = OutgoingStreams(tasks, self._metrics)
            tasks.start_soon(self._send_datagrams, socket)
            tasks.start_soon(self._receive_datagrams, socket)
            tasks.start_soon(listener.serve, self._serve_connection)
            task_status.started()
            await anyio.sleep_forever()

    def learn_address(self, node: str, address: Address) -> None:
        """Record the listening address of a node."""
        if len(self._listening_addresses) < MAXIMUM_KNOWN_SENDERS:
            self._listening_addresses[node] = address

    def send(self, message: SendPeerMessage) -> None:
        """Send an envelope without waiting; one too large for a datagram is sent over TCP."""
        payload = message.envelope.SerializeToString()
        if message.transport is Transport.STREAM or len(payload) > MAXIMUM_DATAGRAM_BYTES:
            if self._outgoing is not None:
                self._outgoing.offer(message.address, encode_frame(payload))
                self._metrics.count_message("sent", Transport.STREAM.value, len(payload))
            return
        try:
            self._datagram_queue.send_nowait((payload, message.address))
        except anyio.WouldBlock:
            self._metrics.count_dropped("overflow")

    async def _send_datagrams(self, socket: anyio.abc.UDPSocket) -> None:
        async for payload, address in self._queued_datagrams:
            try:
                await socket.sendto(payload, address.host, address.port)
            except (OSError, anyio.BrokenResourceError):
                self._metrics.count_dropped("unreachable")
                continue
            self._metrics.count_message("sent", Transport.DATAGRAM.value, len(payload))

    async def _receive_datagrams(self, socket: anyio.abc.UDPSocket) -> None:
        async for payload, source in socket:
            self._receive(payload, Address(source[0], source[1]), Transport.DATAGRAM)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if self._incoming >= MAXIMUM_INCOMING_CONNECTIONS:
                self._metrics.count_dropped("too_many_connections")
                return
            self._incoming += 1
            try:
                await self._receive_frames(stream)
            except (
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                TimeoutError,
            ):
                return
            finally:
                self._incoming -= 1

    async def _receive_frames(self, stream: anyio.abc.SocketStream) -> None:
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        source = Address(str(remote[0]), int(remote[1]))
        buffered = BufferedByteReceiveStream(stream)
        while True:
            with anyio.fail_after(INCOMING_IDLE_SECONDS):
                length = decode_length(await buffered.receive_exactly(LENGTH_PREFIX_BYTES))
                if length is None:
                    self._metrics.count_dropped("bad_frame")
                    return
                payload = await buffered.receive_exactly(length)
            self._receive(payload, source, Transport.STREAM)

    def _receive(self, payload: bytes, source: Address, transport: Transport) -> None:
        self._metrics.count_message("received", transport.value, len(payload))
        envelope = decode_envelope(payload)
        if envelope is None:
            self._metrics.count_dropped("bad_frame")
            return
        if transport is Transport.DATAGRAM:
            self.learn_address(envelope.sender, source)
        else:
            source = self._listening_addresses.get(envelope.sender, source)
        if not self._events.put_droppable(PeerMessageReceived(source, envelope)):
            self._metrics.count_dropped("busy")
