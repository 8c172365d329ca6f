"""Followers apply each record once and in order, through outages and dropped history."""

from __future__ import annotations

import math
import time
from dataclasses import replace

import anyio
import testtools
from expression import Ok, Result

from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.partitioned_log.keyed_follower import KeyedFollower
from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    KeyedRecord,
    LogFailure,
    Partition,
    PartitionRecord,
    RecordPage,
)
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

PARTITION = Partition("t", 0)
LONGEST_LAG_SECONDS = 0.5
"""Half of the time for which a reader may get an older view than one it read at another node."""


async def until(condition) -> None:
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.01)


class PartitionFollowerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.seen: list[bytes] = []
        self.follower = PartitionFollower(self.client, PARTITION, self.record_payload)

    def record_payload(self, record: PartitionRecord) -> None:
        self.seen.append(record.payload)

    async def append(self, *payloads: bytes) -> None:
        writer = self.log.client()
        for payload in payloads:
            end = self.log.kept(PARTITION).end
            await writer.append_at(PARTITION, payload, end)

    def test_catching_up_concurrently_with_the_loop_applies_no_record_twice(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                for number in range(20):
                    await self.append(b"%d" % number)
                    await self.follower.catch_up(1.0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual([b"%d" % number for number in range(20)], self.seen)

    def test_catching_up_fails_while_the_log_is_silent(self) -> None:
        async def main() -> bool:
            self.client.faults.silent = True
            return await self.follower.catch_up(0.1)

        self.assertFalse(anyio.run(main))
        self.assertEqual(math.inf, self.follower.freshness.age(time.monotonic()))

    def test_it_continues_after_dropped_history(self) -> None:
        async def main() -> None:
            await self.append(b"a", b"b", b"c")
            self.log.drop_history(PARTITION, 2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await until(lambda: self.seen == [b"c"])
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_record_that_woke_no_read_is_read_after_the_short_wait(self) -> None:
        async def main() -> None:
            self.client.faults.sleep_through = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await self.append(b"a")
                await until(lambda: self.seen == [b"a"])
                await self.append(b"b")
                await until(lambda: self.seen == [b"a", b"b"])
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertLessEqual(max(self.client.waits), LONGEST_LAG_SECONDS)

    def test_an_answer_that_was_unread_while_the_process_was_suspended_is_not_fresh(self) -> None:
        """Otherwise a process that resumes serves a view from before it was suspended."""
        suspended = 0.4

        class SuspendedClient(MemoryLogClient):
            async def read(
                self, partition: Partition, offset: int, wait_seconds: float
            ) -> Result[RecordPage, LogFailure]:
                answer = await super().read(partition, offset, wait_seconds)
                await anyio.sleep(suspended)
                return answer

        async def main() -> float:
            follower = PartitionFollower(SuspendedClient(self.log), PARTITION, self.record_payload)
            await self.append(b"1")
            await follower._read(0.0)
            await self.append(b"2")
            await follower._read(5.0)
            return follower.freshness.age(time.monotonic())

        self.assertGreaterEqual(anyio.run(main), suspended)
        self.assertEqual([b"1", b"2"], self.seen)

    def test_an_outage_marks_the_view_as_disturbed(self) -> None:
        async def main() -> None:
            await self.follower.catch_up(1.0)
            before = time.monotonic()
            self.client.faults.down = True
            await self.follower.catch_up(0.05)
            self.assertGreaterEqual(self.follower.freshness.disturbed_at, before)

        anyio.run(main)


class KeyedFollowerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.values: dict[str, bytes] = {}

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        self.values = {r.key: r.value for r in records if r.value is not None}

    def apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.values.pop(record.key, None)
        else:
            self.values[record.key] = record.value

    def test_after_dropped_changes_a_listing_replaces_the_view(self) -> None:
        follower = KeyedFollower(
            self.client, PARTITION, self.replace, self.apply, wait_seconds=0.05
        )

        async def main() -> None:
            self.log.put_key(PARTITION, "a", b"1")
            self.log.put_key(PARTITION, "b", b"1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                await until(lambda: set(self.values) == {"a", "b"})
                self.client.faults.down = True
                await anyio.sleep(0.1)
                self.log.drop_key(PARTITION, "a")
                self.log.put_key(PARTITION, "c", b"2")
                self.log.drop_history(PARTITION, 4)
                self.log.put_key(PARTITION, "d", b"3")
                self.log.drop_history(PARTITION, 5)
                self.client.faults.down = False
                await until(lambda: set(self.values) == {"b", "c", "d"})
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_listing_older_than_the_view_undoes_no_changes(self) -> None:
        """After it dropped its history, the log's first listing is older than earlier reads."""

        class LaggingClient(MemoryLogClient):
            lists = 0

            async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
                self.lists += 1
                old = KeyedPage((KeyedRecord("a", b"1", 0),), 1, 1)
                return Ok(old) if self.lists == 2 else await super().newest(partition)

        async def scenario() -> None:
            client = LaggingClient(self.log)
            follower = KeyedFollower(client, PARTITION, self.replace, self.apply, wait_seconds=0.05)
            self.log.put_key(PARTITION, "a", b"1")
            self.assertTrue(await follower.renew(0.0, 1.0))
            self.log.put_key(PARTITION, "b", b"2")
            self.assertTrue(await follower.renew(0.0, 1.0))
            self.log.put_key(PARTITION, "c", b"3")
            self.log.drop_history(PARTITION, 3)
            await follower.renew(0.0, 0.5)
            self.assertFalse(await follower.renew(0.0, 0.5))
            self.assertIn("b", self.values)
            self.assertTrue(await follower.renew(0.0, 0.5))
            self.assertEqual({"a", "b", "c"}, set(self.values))

        anyio.run(scenario)

    def test_a_view_that_is_too_old_is_refreshed_at_once(self) -> None:
        follower = KeyedFollower(
            self.client, PARTITION, self.replace, self.apply, pause_seconds=60.0, wait_seconds=0.0
        )

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                await until(lambda: follower.freshness.ever_confirmed)
                self.log.put_key(PARTITION, "a", b"1")
                await follower.refresh(60.0, 1.0)
                self.assertEqual({}, self.values)
                await follower.refresh(0.0, 1.0)
                self.assertEqual({"a": b"1"}, self.values)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_concurrent_refreshes_share_one_read(self) -> None:
        follower = KeyedFollower(self.client, PARTITION, self.replace, self.apply)

        async def main() -> None:
            await follower.refresh(0.0, 1.0)
            self.log.put_key(PARTITION, "a", b"1")
            before = self.client.calls
            await follower.refresh(0.0, 1.0)
            one_read = self.client.calls - before
            before = self.client.calls
            async with anyio.create_task_group() as tasks:
                for _ in range(50):
                    tasks.start_soon(follower.refresh, 0.0, 1.0)
            self.assertEqual(one_read, self.client.calls - before)
            self.assertEqual({"a": b"1"}, self.values)

        anyio.run(main)

    def test_a_refresh_does_not_wait_for_a_log_that_fails(self) -> None:
        follower = KeyedFollower(self.client, PARTITION, self.replace, self.apply)

        async def main() -> None:
            await follower.refresh(0.0, 1.0)
            self.client.faults.down = True
            await follower.refresh(0.0, 1.0)
            self.client.faults.down = False
            self.client.faults.silent = True
            with anyio.fail_after(5.0):
                await follower.refresh(0.0, 60.0)

        anyio.run(main)

    def test_a_concurrent_read_undoes_no_changes(self) -> None:
        """Two reads may return the same records: the later one must not undo newer changes."""
        late = anyio.Event()

        class LateClient(MemoryLogClient):
            held = False

            async def read_keyed(
                self, partition: Partition, offset: int, wait_seconds: float
            ) -> Result[KeyedPage, LogFailure]:
                answer = await super().read_keyed(partition, offset, wait_seconds)
                if self.held:
                    self.held = False
                    await late.wait()
                return answer

        async def main() -> None:
            client = LateClient(self.log)
            follower = KeyedFollower(client, PARTITION, self.replace, self.apply)
            self.log.put_key(PARTITION, "a", b"1")
            await follower.refresh(0.0, 1.0)
            self.log.drop_key(PARTITION, "a")
            client.held = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower._step, 0.0)
                await anyio.sleep(0.01)
                self.log.put_key(PARTITION, "a", b"2")
                await follower.refresh(0.0, 1.0)
                self.assertEqual({"a": b"2"}, self.values)
                late.set()
            self.assertEqual({"a": b"2"}, self.values)

        anyio.run(main)

    def test_an_answer_that_was_unread_while_the_process_was_suspended_is_not_fresh(self) -> None:
        """Workers and nodes are judged by the time of the view."""
        suspended = 0.4

        class SuspendedClient(MemoryLogClient):
            async def read_keyed(
                self, partition: Partition, offset: int, wait_seconds: float
            ) -> Result[KeyedPage, LogFailure]:
                answer = await super().read_keyed(partition, offset, wait_seconds)
                await anyio.sleep(suspended)
                return answer

        async def main() -> float:
            client = SuspendedClient(self.log)
            follower = KeyedFollower(client, PARTITION, self.replace, self.apply)
            await follower._step(0.0)
            self.log.put_key(PARTITION, "a", b"1")
            await follower._step(0.0)
            return follower.freshness.age(time.monotonic())

        self.assertGreaterEqual(anyio.run(main), suspended)

    def test_a_read_that_did_not_reach_the_end_does_not_confirm_the_view(self) -> None:
        """A read returns at most 256 KB; after an outage there may be more to read."""

        class PagedClient(MemoryLogClient):
            async def read_keyed(
                self, partition: Partition, offset: int, wait_seconds: float
            ) -> Result[KeyedPage, LogFailure]:
                answer = await super().read_keyed(partition, offset, wait_seconds)
                return answer.map(
                    lambda page: replace(
                        page,
                        records=page.records[:2],
                        next_offset=min(page.next_offset, offset + 2),
                    )
                )

        async def main() -> None:
            follower = KeyedFollower(PagedClient(self.log), PARTITION, self.replace, self.apply)
            self.assertTrue(await follower.renew(0.0, 1.0))
            for number in range(5):
                self.log.put_key(PARTITION, "key", b"%d" % number)
            asked_at = time.monotonic()
            current = await follower.renew(0.0, 1.0)
            newest = self.values.get("key") == b"4"
            self.assertTrue(newest or not current, "an old view was reported as current")
            self.assertTrue(newest or follower.freshness.confirmed_at < asked_at)

        anyio.run(main)
