"""Crash reports that a node has not appended yet, while the log is down or listed again."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.nodes.crash_watch import MAXIMUM_UNAPPENDED, CrashWatch
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, Partition
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, ContactLoss
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import MAXIMUM_CRASH_RECORDS, CrashHistory
from stagewalk.gateway.quarantine.crash_reports import SentRequest
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.memory_log import MemoryLog
from tests.gateway.workers.support import announcement

NODES = Partition("keyed.nodes", 0)
CLOSED = AttemptFailure(AttemptFault.MAY_HAVE_RUN, "closed", contact_loss=ContactLoss.CLOSED)
CONTENT = RequestContent("POST", "h", "/x", b"body")


class CrashWatchTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.table = WorkerTable()
        self.suspects = CrashHistory("n1")
        self.watch = CrashWatch(
            log=self.client,
            partition=NODES,
            node="n1",
            suspects=self.suspects,
            workers=self.table,
            probe=mock.AsyncMock(return_value=False),
            renew_view=mock.AsyncMock(return_value=False),
        )

    async def crash_worker(self, worker: str, content: RequestContent = CONTENT) -> None:
        """Simulate a worker's crash while it runs a request."""
        self.table.announce(announcement(worker), 0.0)
        known = self.table.worker(worker)
        assert known is not None
        level = self.watch.known_crashes(content)
        sent = SentRequest("q", content, known, "r", level, steady_seconds())
        await self.watch.connection_lost(sent, CLOSED)

    def test_a_crash_counts_if_the_next_incarnation_is_listed_already(self) -> None:
        async def scenario() -> None:
            self.table.announce(announcement("a", born=1_000), 0.0)
            before = self.table.worker("a@1000")
            assert before is not None
            sent = SentRequest("q", CONTENT, before, "r", 0, steady_seconds())
            self.table.announce(announcement("a", born=2_000), 0.1)
            await self.watch.connection_lost(sent, CLOSED)
            self.assertEqual(1, self.watch.known_crashes(CONTENT))

        anyio.run(scenario)

    def test_a_listing_keeps_reports_that_are_not_appended_yet(self) -> None:
        async def scenario() -> None:
            await self.crash_worker("a")
            self.watch.replace(())
            self.assertEqual(1, self.watch.known_crashes(CONTENT))
            self.watch.publish(CONTENT)
            self.watch.replace(())
            self.assertEqual(1, self.watch.known_crashes(CONTENT))

        anyio.run(scenario)

    def test_a_listing_does_not_restore_reports_whose_retraction_is_pending(self) -> None:
        async def scenario() -> None:
            await self.crash_worker("a")
            (crash,) = self.suspects.crashes(CONTENT)
            self.watch.publish(CONTENT)
            self.watch.answered(CONTENT)
            self.watch.replace((KeyedRecord(crash.key, crash.encode(), 1),))
            self.assertEqual(0, self.watch.known_crashes(CONTENT))

        anyio.run(scenario)

    def test_records_with_a_wrong_key_or_value_are_ignored(self) -> None:
        async def scenario() -> None:
            await self.crash_worker("a")
            (crash,) = self.suspects.crashes(CONTENT)
            self.watch.answered(CONTENT)
            self.watch.apply(KeyedRecord(crash.key + "x", crash.encode(), 1))
            self.watch.apply(KeyedRecord(crash.key, b"noise", 1))
            self.assertEqual(0, self.watch.known_crashes(CONTENT))

        anyio.run(scenario)

    def test_pending_reports_are_bounded_for_any_number_of_contents(self) -> None:
        async def scenario() -> None:
            for n in range(MAXIMUM_CRASH_RECORDS + 300):
                content = RequestContent("POST", "h", "/x", str(n).encode())
                await self.crash_worker(f"w{n % 7}", content)
                if n % 2:
                    self.watch.publish(content)
            self.watch.step(steady_seconds())
            self.assertLessEqual(len(self.watch._unpublished), MAXIMUM_CRASH_RECORDS)
            self.assertLessEqual(len(self.watch._unappended), MAXIMUM_UNAPPENDED)
            self.assertLessEqual(self.watch.suspects, MAXIMUM_CRASH_RECORDS)

        anyio.run(scenario)

    def test_crash_reports_are_appended_before_retractions(self) -> None:
        async def scenario() -> None:
            other = RequestContent("POST", "h", "/y", b"")
            await self.crash_worker("a", other)
            self.watch.publish(other)
            self.watch.answered(other)
            await self.crash_worker("b")
            self.watch.publish(CONTENT)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watch.run)
                await self.watch.wait_published(CONTENT)
                tasks.cancel_scope.cancel()
            values = [record.value for record in self.log.kept(NODES).keyed]
            self.assertEqual([True, False], [value is not None for value in values])

        anyio.run(scenario)
