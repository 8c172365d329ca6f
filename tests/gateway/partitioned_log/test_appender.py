"""Records are appended once and in order, even if answers are lost or late."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import testtools

from stagewalk.gateway.partitioned_log.appender import AppendFailure, PartitionAppender
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

PARTITION = Partition("t", 0)
LONG = 5.0
SHORT = 0.05


def run(scenario: Callable[[MemoryLog, MemoryLogClient, PartitionAppender], Awaitable[None]]):
    async def main() -> None:
        log = MemoryLog()
        client = log.client()
        appender = PartitionAppender(client, PARTITION, "p", call_bytes=1000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(appender.run)
            await scenario(log, client, appender)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class AppenderTests(testtools.TestCase):
    def test_a_lost_answer_does_not_duplicate_the_record(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.lose_answers = 2
            first = await appender.append([b"a"], LONG)
            second = await appender.append([b"b"], LONG)
            self.assertEqual((0, 1), (first.ok, second.ok))
            self.assertEqual([b"a", b"b"], log.payloads(PARTITION))

        run(scenario)

    def test_a_delayed_append_is_not_duplicated_by_its_retry(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.delay_appends = 1
            outcome = await appender.append([b"a"], LONG)
            log.run_delayed()
            await appender.append([b"b"], LONG)
            self.assertTrue(outcome.is_ok())
            self.assertEqual([b"a", b"b"], log.payloads(PARTITION))

        run(scenario)

    def test_an_append_that_was_never_sent_is_reported_as_not_appended(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.silent = True
            stuck = appender.append([b"a"], SHORT)
            self.assertEqual(AppendFailure.UNKNOWN, (await stuck).error)
            behind = await appender.append([b"b"], SHORT)
            self.assertEqual(AppendFailure.NOT_APPENDED, behind.error)
            client.faults.silent = False
            await appender.append([b"c"], LONG)
            self.assertEqual([b"a", b"c"], log.payloads(PARTITION))

        run(scenario)

    def test_an_append_that_was_always_refused_is_not_appended_later(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.down = True
            refused = await appender.append([b"a"], SHORT)
            self.assertEqual(AppendFailure.NOT_APPENDED, refused.error)
            client.faults.down = False
            await appender.append([b"b"], LONG)
            self.assertEqual([b"b"], log.payloads(PARTITION))

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
            self.assertEqual([b"a", b"b", b"c", b"d"], log.payloads(PARTITION))

        run(scenario)

    def test_a_call_is_no_larger_than_the_log_accepts(self) -> None:
        async def scenario(log, client, appender) -> None:
            client.faults.down = True
            appender.post([b"x" * 600])
            appender.post([b"y" * 600])
            await anyio.sleep(0.02)
            before = client.calls
            client.faults.down = False
            while not appender.idle:
                await anyio.sleep(0.01)
            self.assertEqual([b"x" * 600, b"y" * 600], log.payloads(PARTITION))
            self.assertGreaterEqual(client.calls - before, 2)

        run(scenario)
