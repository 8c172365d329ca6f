"""Messages between nodes over UDP and TCP on loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.identities import Address
from stagewalk.node.core.events import PeerMessageReceived
from stagewalk.node.core.instructions import SendPeerMessage, Transport
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import NodeMetrics
from stagewalk.node.peers.peer_frames import MAXIMUM_FRAME_BYTES, decode_envelope, encode_frame
from stagewalk.node.peers.peer_transport import PeerTransport
from stagewalk.node.wire.envelope_pb2 import Envelope
from tests.node.running_node import asynchronous, eventually, free_address


def envelope(sender: str, exchange: int = 1) -> Envelope:
    message = Envelope(sender=sender, sender_incarnation=7)
    message.membership.exchange_id = exchange
    return message


@dataclass
class Peer:
    address: Address
    transport: PeerTransport
    events: EventQueue
    metrics: NodeMetrics

    async def receive(self) -> PeerMessageReceived:
        with anyio.fail_after(10):
            async for event in self.events.events():
                assert isinstance(event, PeerMessageReceived)
                return event
        raise AssertionError("no event")

    async def dropped(self, cause: str) -> bool:
        return f'dropped_total{{cause="{cause}"}}' in self.metrics.render().decode()


@asynccontextmanager
async def peer(address: Address | None = None) -> AsyncIterator[Peer]:
    events, metrics = EventQueue(), NodeMetrics()
    listen = address or free_address()
    transport = PeerTransport(listen, events, metrics.peers)
    async with anyio.create_task_group() as tasks:
        await tasks.start(transport.run)
        yield Peer(listen, transport, events, metrics)
        tasks.cancel_scope.cancel()


class PeerTransportTest(testtools.TestCase):
    @asynchronous
    async def test_datagram_carries_the_senders_listening_address(self) -> None:
        async with peer() as a, peer() as b:
            a.transport.send(SendPeerMessage(b.address, envelope("a")))
            self.assertEqual(PeerMessageReceived(a.address, envelope("a")), await b.receive())

    @asynchronous
    async def test_stream_source_is_resolved_by_the_senders_name(self) -> None:
        async with peer() as a, peer() as b:
            message = SendPeerMessage(b.address, envelope("a", 2), Transport.STREAM)
            a.transport.send(message)
            unknown = await b.receive()
            self.assertEqual((a.address.host, True), (
                unknown.source.host, unknown.source.port != a.address.port))  # fmt: skip
            b.transport.learn_address("a", a.address)
            a.transport.send(message)
            self.assertEqual(a.address, (await b.receive()).source)

    @asynchronous
    async def test_message_too_long_for_a_datagram_is_sent_by_stream(self) -> None:
        async with peer() as a, peer() as b:
            long = envelope("a" * 90)
            long.MergeFromString(b"\xba\x06" + bytes([0x80, 0x20]) + b"x" * 4096)
            a.transport.send(SendPeerMessage(b.address, long))
            self.assertEqual(long, (await b.receive()).envelope)
            self.assertIn('sent",transport="stream"} 1.0', a.metrics.render().decode())

    @asynchronous
    async def test_streams_reconnect_after_the_peers_restart(self) -> None:
        async with peer() as a:
            async with peer() as b:
                message = SendPeerMessage(b.address, envelope("a"), Transport.STREAM)
                a.transport.send(message)
                await b.receive()
            a.transport.send(message)
            await eventually(lambda: a.dropped("unreachable"))
            async with peer(b.address) as restarted:
                received: list[PeerMessageReceived] = []

                async def arrived() -> bool:
                    a.transport.send(message)
                    with anyio.move_on_after(0.1):
                        received.append(await restarted.receive())
                    return bool(received)

                await eventually(arrived)

    @asynchronous
    async def test_bad_frames_are_dropped_and_counted(self) -> None:
        async with peer() as a, peer() as b:
            host, port = b.address.host, b.address.port
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(encode_frame(b"\xff\xff\xff"))
                await stream.send(encode_frame(envelope("a").SerializeToString()))
                await b.receive()
                self.assertTrue(await b.dropped("bad_frame"))
                await stream.send((MAXIMUM_FRAME_BYTES + 1).to_bytes(4, "big"))
                with anyio.fail_after(10), self.assertRaises(anyio.EndOfStream):
                    await stream.receive()
            a.transport.send(SendPeerMessage(b.address, envelope("a")))
            await b.receive()

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_to_a_named_envelope_or_nothing(self, payload: bytes) -> None:
        decoded = decode_envelope(payload)
        if decoded is not None:
            self.assertNotEqual("", decoded.sender)
            self.assertIsNotNone(decoded.WhichOneof("body"))

    def test_an_envelope_needs_a_sender_and_a_body(self) -> None:
        self.assertIsNone(decode_envelope(Envelope(sender="a").SerializeToString()))
        self.assertIsNone(decode_envelope(envelope("").SerializeToString()))
        self.assertEqual(envelope("a"), decode_envelope(envelope("a").SerializeToString()))
