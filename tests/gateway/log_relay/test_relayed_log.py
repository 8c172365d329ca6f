"""A log that is silent for this node alone is read through another one, soon."""

from __future__ import annotations

import time

import anyio
import msgspec
import testtools
from expression import Ok

from stagewalk.common.identities import Address
from stagewalk.gateway.log_relay.messages import LogAnswer, encode_message
from stagewalk.gateway.log_relay.relayed_log import HEDGE_DELAY_SECONDS, RelayedLog, RelayPeers
from stagewalk.gateway.log_relay.server import RELAY_CUT_OFF, LogRelay
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog

PLACE = Partition("keyed.t", 0)
TIMEOUT_SECONDS = 2.0


class SilentLog:
    """Answers nothing before a call's time is out."""

    def __init__(self, log) -> None:
        self._log = log
        self.silent = True
        self.calls = 0

    async def read_keyed(self, partition, offset, wait_seconds):
        self.calls += 1
        if self.silent:
            await anyio.sleep(wait_seconds + TIMEOUT_SECONDS)
        return await self._log.read_keyed(partition, offset, wait_seconds)


class Peers:
    """Other nodes, by address; satisfies the client of peers."""

    def __init__(self, nodes: dict[Address, LogRelay]) -> None:
        self.nodes = nodes
        self.asked: list[Address] = []

    async def exchange(self, peer, path, content, answer_seconds):
        self.asked.append(peer)
        return Ok(await self.nodes[peer].handle(content))


def address(number: int) -> Address:
    return Address("10.0.0.1", number)


class RelayedLogTests(testtools.TestCase):
    def play(self, direct_path_failing: list[bool], scenario) -> None:
        async def main() -> None:
            memory = MemoryLog()
            memory.put_key(PLACE, "k", b"v")
            own = SilentLog(memory.client())
            nodes = {
                address(n): LogRelay(memory.client(), lambda cut=cut: cut)
                for n, cut in enumerate(direct_path_failing)
            }
            peers = Peers(nodes)
            await scenario(RelayedLog(own, lambda: RelayPeers(list(nodes)), peers), own, peers)

        anyio.run(main)

    def test_a_silent_log_is_left_before_the_call_times_out(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            began = time.monotonic()
            page = await log.read_keyed(PLACE, 0, 0.1)
            self.assertEqual(["k"], [record.key for record in page.ok.records])
            self.assertLess(time.monotonic() - began, TIMEOUT_SECONDS)
            self.assertGreaterEqual(time.monotonic() - began, HEDGE_DELAY_SECONDS)
            self.assertTrue(log.direct_path_failing)

        self.play([False], scenario)

    def test_trying_the_silent_way_again_holds_nobody_up(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            await log.read_keyed(PLACE, 0, 0.0)
            began = time.monotonic()
            for _ in range(3):
                self.assertTrue((await log.read_keyed(PLACE, 0, 0.0)).is_ok())
            self.assertLess(time.monotonic() - began, HEDGE_DELAY_SECONDS)
            self.assertEqual(2, own.calls)

        self.play([False], scenario)

    def test_the_straight_way_is_taken_again_once_it_answers(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            await log.read_keyed(PLACE, 0, 0.0)
            own.silent = False
            peers.nodes.clear()
            await log.read_keyed(PLACE, 0, 0.0)
            self.assertFalse(log.direct_path_failing)

        self.play([False], scenario)

    def test_a_node_that_is_cut_off_too_says_so_and_another_one_is_asked(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            for _ in range(3):
                self.assertTrue((await log.read_keyed(PLACE, 0, 0.0)).is_ok())
            self.assertEqual(address(2), peers.asked[-1])

        self.play([True, True, False], scenario)

    def test_the_refusal_is_told_from_one_of_the_log(self) -> None:
        decoded = msgspec.msgpack.decode(
            encode_message(LogAnswer(failure=RELAY_CUT_OFF)), type=LogAnswer
        )
        self.assertEqual(RELAY_CUT_OFF, decoded.failure)
