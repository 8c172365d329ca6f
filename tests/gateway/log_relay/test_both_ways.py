"""What a call is told to have become when it went both ways, and neither brought a success."""

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

PLACE = Partition("t", 0)
PEER = Address("10.0.0.1", 1)
CALL_BYTES = 10_000
APPEND_SECONDS = 0.5


class RelayingPeer:
    """Another node that reaches the log; satisfies the client of peers."""

    def __init__(self, relay: LogRelay) -> None:
        self._relay = relay

    async def exchange(
        self, _peer: Address, _path: str, content: bytes, _seconds: float
    ) -> Result[bytes, PeerFault]:
        return Ok(await self._relay.handle(content) or b"")


def nobody_listens() -> Address:
    """Return an address of this machine where no process takes connections."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", free.getsockname()[1])


class FailureTests(testtools.TestCase):
    def test_an_append_that_reached_nobody_is_refused(self) -> None:
        """The log refuses, and the other node takes no connection: nothing was sent to anybody."""
        memory = MemoryLog()
        peer = nobody_listens()

        async def scenario() -> None:
            own = memory.client()
            own.faults.down = True
            log = RelayedLog(own, lambda: RelayPeers([peer]), PeerClient())
            answer = await log.append(PLACE, [b"1"], ProducerSequence("p", 1, 1))
            self.assertIs(LogFault.REFUSED, answer.error.fault)

        anyio.run(scenario)

    def test_what_reached_nobody_is_not_appended_long_after_it_was_refused(self) -> None:
        """Landing after the outage, it lies behind an end that its trainer got elsewhere."""
        memory = MemoryLog()
        peer = nobody_listens()

        async def scenario() -> None:
            own = memory.client()
            own.faults.down = True
            log = RelayedLog(own, lambda: RelayPeers([peer]), PeerClient())
            appender = PartitionAppender(log, PLACE, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                outcome = await appender.append([b"late"], APPEND_SECONDS)
                own.faults.down = False
                await anyio.sleep(2 * APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertIs(AppendFailure.NOT_APPENDED, outcome.error)
            self.assertEqual([], memory.payloads(PLACE))

        anyio.run(scenario)

    def test_a_node_that_reads_through_another_one_gets_over_dropped_history(self) -> None:
        """The log said through the other node what is gone; the straight way's refusal hides it."""
        memory = MemoryLog()

        async def scenario() -> None:
            client = memory.client()
            for number in range(3):
                await client.append(PLACE, [b"x"], ProducerSequence("p", 1, number + 1))
            memory.drop_history(PLACE, 2)
            own = memory.client()
            own.faults.down = True
            peer = RelayingPeer(LogRelay(memory.client(), lambda: False))
            seen: list[int] = []
            follower = PartitionFollower(
                RelayedLog(own, lambda: RelayPeers([PEER]), peer),  # type: ignore[arg-type]
                PLACE,
                lambda record: seen.append(record.offset),
            )
            self.assertTrue(await follower.catch_up(2.0))
            self.assertEqual([2], seen)

        anyio.run(scenario)
