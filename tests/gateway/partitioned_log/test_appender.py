"""Appends land once and in order, whatever becomes of their answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import testtools

from stagewalk.gateway.partitioned_log.appender import AppendFailure, PartitionAppender
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

PLACE = Partition("t", 0)
LONG = 5.0
SHORT = 0.05


def run(scenario: Callable[[MemoryLog, MemoryLogClient, PartitionAppender], Awaitable[None]]):
    async def main() -> None:
        log = MemoryLog()
        client = log.client()
        appender = PartitionAppender(client, PLACE, "p", call_bytes=1000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(appender.run)
            await scenario(log, client, appender)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class AppenderTests(testtools.TestCase):
    def test_a_lost_answer_does_not_double_the_record(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.lose_answers = 2
            first = await appender.append([b"a"], LONG)
            second = await appender.append([b"b"], LONG)
            self.assertEqual((0, 1), (first.ok, second.ok))
            self.assertEqual([b"a", b"b"], log.payloads(PLACE))

        run(scenario)

    def test_an_append_done_later_is_not_doubled_by_its_repetition(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.delay_appends = 1
            outcome = await appender.append([b"a"], LONG)
            log.run_delayed()
            await appender.append([b"b"], LONG)
            self.assertTrue(outcome.is_ok())
            self.assertEqual([b"a", b"b"], log.payloads(PLACE))

        run(scenario)

    def test_what_was_never_sent_is_known_not_to_be_there(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.silent = True
            stuck = appender.append([b"a"], SHORT)
            self.assertEqual(AppendFailure.UNKNOWN, (await stuck).error)
            behind = await appender.append([b"b"], SHORT)
            self.assertEqual(AppendFailure.NOT_APPENDED, behind.error)
            client.faults.silent = False
            await appender.append([b"c"], LONG)
            self.assertEqual([b"a", b"c"], log.payloads(PLACE))

        run(scenario)

    def test_what_was_only_ever_refused_never_lands(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.down = True
            refused = await appender.append([b"a"], SHORT)
            self.assertEqual(AppendFailure.NOT_APPENDED, refused.error)
            client.faults.down = False
            await appender.append([b"b"], LONG)
            self.assertEqual([b"b"], log.payloads(PLACE))

        run(scenario)

    def test_several_callers_share_a_call(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.down = True
            appender.post([b"a"])
            await anyio.sleep(0.02)
            for payload in (b"b", b"c", b"d"):
                appender.post([payload])
            client.faults.down = False
            while not appender.idle:
                await anyio.sleep(0.01)
            self.assertEqual([b"a", b"b", b"c", b"d"], log.payloads(PLACE))

        run(scenario)

    def test_a_call_holds_no_more_than_the_log_takes(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.down = True
            appender.post([b"x" * 600])
            appender.post([b"y" * 600])
            await anyio.sleep(0.02)
            before = client.calls
            client.faults.down = False
            while not appender.idle:
                await anyio.sleep(0.01)
            self.assertEqual([b"x" * 600, b"y" * 600], log.payloads(PLACE))
            self.assertGreaterEqual(client.calls - before, 2)

        run(scenario)
