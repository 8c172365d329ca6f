"""An append that a relay may have forwarded is never reported as not appended.

The direct path refuses the call, and the relay is lost after it forwarded the append, without an
answer: the outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import testtools
from expression import Error

from stagewalk.common.identities import Address
from stagewalk.gateway.log_relay.relayed_log import RelayedLog, RelayPeers
from stagewalk.gateway.log_relay.server import LogRelay
from stagewalk.gateway.partitioned_log.appender import AppendFailure, PartitionAppender
from stagewalk.gateway.peer_calls.client import PeerFault
from stagewalk.gateway.ports.partitioned_log import LogFault, Partition, ProducerSequence
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

PARTITION = Partition("t", 0)
PEER = Address("10.0.0.1", 1)
CALL_BYTES = 10_000
APPEND_SECONDS = 0.5


class LostPeer:
    """Client of peers; forwards one call and loses its answer, then fails."""

    def __init__(self, relay: LogRelay) -> None:
        self._relay = relay
        self.lost = False

    async def exchange(self, peer, path, content, answer_seconds):
        if not self.lost:
            self.lost = True
            await self._relay.handle(content)
        return Error(PeerFault.UNKNOWN)


class LostAnswerTests(testtools.TestCase):
    def run_scenario(
        self, scenario: Callable[[RelayedLog, MemoryLogClient], Awaitable[None]]
    ) -> None:
        self.memory = MemoryLog()

        async def main() -> None:
            own = self.memory.client()
            own.faults.down = True
            peer = LostPeer(LogRelay(self.memory.client(), lambda: False))
            await scenario(RelayedLog(own, lambda: RelayPeers([PEER]), peer), own)

        anyio.run(main)

    def test_a_relayed_append_without_an_answer_is_unknown(self) -> None:
        async def scenario(log: RelayedLog, _own: MemoryLogClient) -> None:
            answer = await log.append(PARTITION, [b"1"], ProducerSequence("p", 1, 1))
            self.assertEqual([b"1"], self.memory.payloads(PARTITION))
            self.assertIs(LogFault.UNKNOWN, answer.error.fault)

        self.run_scenario(scenario)

    def test_the_appender_does_not_report_it_as_not_appended(self) -> None:
        """Otherwise a trainer gets 503 for a batch that is in the log and runs."""

        async def scenario(log: RelayedLog, _own: MemoryLogClient) -> None:
            appender = PartitionAppender(log, PARTITION, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                outcome = await appender.append([b"1"], APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertEqual([b"1"], self.memory.payloads(PARTITION))
            self.assertIs(AppendFailure.UNKNOWN, outcome.error)

        self.run_scenario(scenario)

    def test_the_sequence_number_of_an_unknown_append_is_not_reused(self) -> None:
        """Otherwise the log takes the next append for a repetition and drops it."""

        async def scenario(log: RelayedLog, own: MemoryLogClient) -> None:
            appender = PartitionAppender(log, PARTITION, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                await appender.append([b"1"], APPEND_SECONDS)
                await anyio.sleep(APPEND_SECONDS)
                own.faults.down = False
                outcome = await appender.append([b"2"], 10 * APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertTrue(outcome.is_ok())
            self.assertEqual([b"1", b"2"], self.memory.payloads(PARTITION))

        self.run_scenario(scenario)
