"""An append that another node may have carried out is never told as not done.

The straight way refuses at once where a node is cut off; the way through another node has no answer
if that node is lost after it passed the append on. Of the two outcomes the unsure one counts.
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

PLACE = Partition("t", 0)
PEER = Address("10.0.0.1", 1)
CALL_BYTES = 10_000
APPEND_SECONDS = 0.5


class LostPeer:
    """Another node that is lost once it has passed one call on; satisfies the client of peers."""

    def __init__(self, relay: LogRelay) -> None:
        self._relay = relay
        self.lost = False

    async def exchange(self, peer, path, content, answer_seconds):
        if not self.lost:
            self.lost = True
            await self._relay.handle(content)
        return Error(PeerFault.UNKNOWN)


class LostAnswerTests(testtools.TestCase):
    def play(self, scenario: Callable[[RelayedLog, MemoryLogClient], Awaitable[None]]) -> None:
        self.memory = MemoryLog()

        async def main() -> None:
            own = self.memory.client()
            own.faults.down = True
            peer = LostPeer(LogRelay(self.memory.client(), lambda: False))
            await scenario(RelayedLog(own, lambda: RelayPeers([PEER]), peer), own)

        anyio.run(main)

    def test_a_relayed_append_without_an_answer_is_not_refused(self) -> None:
        async def scenario(log: RelayedLog, _own: MemoryLogClient) -> None:
            answer = await log.append(PLACE, [b"1"], ProducerSequence("p", 1, 1))
            self.assertEqual([b"1"], self.memory.payloads(PLACE))
            self.assertIs(LogFault.UNKNOWN, answer.error.fault)

        self.play(scenario)

    def test_what_may_be_in_the_log_is_not_told_as_not_appended(self) -> None:
        """A trainer would be told 503, that its batch does not run; but it is there, and runs."""

        async def scenario(log: RelayedLog, _own: MemoryLogClient) -> None:
            appender = PartitionAppender(log, PLACE, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                outcome = await appender.append([b"1"], APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertEqual([b"1"], self.memory.payloads(PLACE))
            self.assertIs(AppendFailure.UNKNOWN, outcome.error)

        self.play(scenario)

    def test_what_is_told_as_appended_is_in_the_log(self) -> None:
        """The sequence of what was believed not done would be used again for something else."""

        async def scenario(log: RelayedLog, own: MemoryLogClient) -> None:
            appender = PartitionAppender(log, PLACE, "p", CALL_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(appender.run)
                await appender.append([b"1"], APPEND_SECONDS)
                await anyio.sleep(APPEND_SECONDS)
                own.faults.down = False
                outcome = await appender.append([b"2"], 10 * APPEND_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertTrue(outcome.is_ok())
            self.assertEqual([b"1", b"2"], self.memory.payloads(PLACE))

        self.play(scenario)
