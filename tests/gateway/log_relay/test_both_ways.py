"""Outcomes of calls that were sent directly and relayed, and succeeded by neither path."""

from __future__ import annotations

import socket

import anyio
import testtools
from expression import Ok, Result

from stagewalk.common.identities import Address
from stagewalk.gateway.log_relay.relayed_log import RelayedLog, RelayPeers
from stagewalk.gateway.log_relay.server import LogRelay
from stagewalk.gateway.partitioned_log.appender import AppendFailure, PartitionAppender
from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.peer_calls.client import PeerClient, PeerFault
from stagewalk.gateway.ports.partitioned_log import LogFault, Partition, ProducerSequence
from tests.gateway.memory_log import MemoryLog

PARTITION = Partition("t", 0)
PEER = Address("10.0.0.1", 1)
CALL_BYTES = 10_000
APPEND_SECONDS = 0.5


class RelayingPeer:
    """Client of peers; relays calls through a node that reaches the log."""

    def __init__(self, relay: LogRelay) -> None:
        self._relay = relay

    async def exchange(
        self, _peer: Address, _path: str, content: bytes, _seconds: float
    ) -> Result[bytes, PeerFault]:
        return Ok(await self._relay.handle(content) or b"")


def unused_address() -> Address:
    """Return a local address at which no process listens."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", free.getsockname()[1])


class FailureTests(testtools.TestCase):
    def test_an_append_that_neither_path_delivered_is_refused(self) -> None:
        """The log refuses the call and the peer accepts no connection, so nothing was sent."""
        memory = MemoryLog()
        peer = unused_address()

        async def scenario() -> None:
            own = memory.client()
            own.faults.down = True
            log = RelayedLog(own, lambda: RelayPeers([peer]), PeerClient())
            answer = await log.append(PARTITION, [b"1"], ProducerSequence("p", 1, 1))
            self.assertIs(LogFault.REFUSED, answer.error.fault)

        anyio.run(scenario)

    def test_a_refused_append_is_not_repeated_after_the_outage(self) -> None:
        """It was reported as not appended, so its caller may have repeated it elsewhere."""
        memory = MemoryLog()
        peer = unused_address()

        async def scenario() -> None:
            own = memory.client()
            own.faults.down = True
            log = RelayedLog(own, lambda: RelayPeers([peer]), PeerClient())
            appender = PartitionAppender(log, PARTITION, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                outcome = await appender.append([b"late"], APPEND_SECONDS)
                own.faults.down = False
                await anyio.sleep(2 * APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertIs(AppendFailure.NOT_APPENDED, outcome.error)
            self.assertEqual([], memory.payloads(PARTITION))

        anyio.run(scenario)

    def test_a_follower_that_reads_through_a_relay_skips_dropped_history(self) -> None:
        """The refusal of the direct path must not hide the failure that the relay reports."""
        memory = MemoryLog()

        async def scenario() -> None:
            client = memory.client()
            for number in range(3):
                await client.append(PARTITION, [b"x"], ProducerSequence("p", 1, number + 1))
            memory.drop_history(PARTITION, 2)
            own = memory.client()
            own.faults.down = True
            peer = RelayingPeer(LogRelay(memory.client(), lambda: False))
            seen: list[int] = []
            follower = PartitionFollower(
                RelayedLog(own, lambda: RelayPeers([PEER]), peer),  # type: ignore[arg-type]
                PARTITION,
                lambda record: seen.append(record.offset),
            )
            self.assertTrue(await follower.catch_up(2.0))
            self.assertEqual([2], seen)

        anyio.run(scenario)
