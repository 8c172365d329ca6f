"""A log that does not answer this node is read through another node after a short delay."""

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

PARTITION = Partition("keyed.t", 0)
TIMEOUT_SECONDS = 2.0


class SilentLog:
    """Log that does not answer before a call times out."""

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
    """Client of peers; passes calls to other nodes by address."""

    def __init__(self, nodes: dict[Address, LogRelay]) -> None:
        self.nodes = nodes
        self.asked: list[Address] = []

    async def exchange(self, peer, path, content, answer_seconds):
        self.asked.append(peer)
        return Ok(await self.nodes[peer].handle(content))


def address(number: int) -> Address:
    return Address("10.0.0.1", number)


class RelayedLogTests(testtools.TestCase):
    def run_scenario(self, direct_path_failing: list[bool], scenario) -> None:
        async def main() -> None:
            memory = MemoryLog()
            memory.put_key(PARTITION, "k", b"v")
            own = SilentLog(memory.client())
            nodes = {
                address(n): LogRelay(memory.client(), lambda cut=cut: cut)
                for n, cut in enumerate(direct_path_failing)
            }
            peers = Peers(nodes)
            await scenario(RelayedLog(own, lambda: RelayPeers(list(nodes)), peers), own, peers)

        anyio.run(main)

    def test_a_call_is_relayed_before_the_direct_call_times_out(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            began = time.monotonic()
            page = await log.read_keyed(PARTITION, 0, 0.1)
            self.assertEqual(["k"], [record.key for record in page.ok.records])
            self.assertLess(time.monotonic() - began, TIMEOUT_SECONDS)
            self.assertGreaterEqual(time.monotonic() - began, HEDGE_DELAY_SECONDS)
            self.assertTrue(log.direct_path_failing)

        self.run_scenario([False], scenario)

    def test_probes_of_a_silent_direct_path_do_not_delay_calls(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            await log.read_keyed(PARTITION, 0, 0.0)
            began = time.monotonic()
            for _ in range(3):
                self.assertTrue((await log.read_keyed(PARTITION, 0, 0.0)).is_ok())
            self.assertLess(time.monotonic() - began, HEDGE_DELAY_SECONDS)
            self.assertEqual(2, own.calls)

        self.run_scenario([False], scenario)

    def test_the_direct_path_is_used_again_once_it_answers(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            await log.read_keyed(PARTITION, 0, 0.0)
            own.silent = False
            peers.nodes.clear()
            await log.read_keyed(PARTITION, 0, 0.0)
            self.assertFalse(log.direct_path_failing)

        self.run_scenario([False], scenario)

    def test_if_the_asked_node_is_cut_off_too_another_one_is_asked(self) -> None:
        async def scenario(log: RelayedLog, own: SilentLog, peers: Peers) -> None:
            for _ in range(3):
                self.assertTrue((await log.read_keyed(PARTITION, 0, 0.0)).is_ok())
            self.assertEqual(address(2), peers.asked[-1])

        self.run_scenario([True, True, False], scenario)

    def test_the_refusal_of_a_cut_off_node_survives_its_encoding(self) -> None:
        decoded = msgspec.msgpack.decode(
            encode_message(LogAnswer(failure=RELAY_CUT_OFF)), type=LogAnswer
        )
        self.assertEqual(RELAY_CUT_OFF, decoded.failure)
