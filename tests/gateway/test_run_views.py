"""How old the news of a batch is that is run here: by the node's own view, or by a partial one."""

from __future__ import annotations

import math
import time
from unittest import mock

import anyio
import testtools

from stagewalk.batches.records import BatchEnded, encode_record
from stagewalk.batches.view_lease import longest_view_age
from stagewalk.gateway.early_start import PartialLedger
from stagewalk.gateway.run_views import RunViews
from stagewalk.ports.partitioned_log import Partition, ProducerSequence
from stagewalk_standins.partitioned_log import MemoryLog
from tests.batches.support import item, submitted

PLACE = Partition("batches", 0)
BOUND = 3.0
LEASE = longest_view_age(BOUND)


class FakeStore:
    """A node's own view, as old as a test says; it knows the batches named."""

    def __init__(self, age: float = math.inf, known: tuple[str, ...] = ()) -> None:
        self.age = age
        self.ledger = mock.Mock(get=lambda name: object() if name in known else None)

    def view_age(self, _batch: str, _now: float) -> float:
        return self.age

    def followed(self, _batch: str, _now: float) -> bool:
        return self.age < 1.0


def views_of(store: FakeStore) -> RunViews:
    return RunViews(store, lambda: BOUND)  # type: ignore[arg-type]


class RunViewsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()

    async def partial(self, seen: list[str]) -> PartialLedger:
        sequence = ProducerSequence("p", 1, 1)
        await self.client.append(PLACE, [encode_record(submitted(item("x")))], sequence)
        partial = PartialLedger(
            self.client, PLACE, 0, lambda _batch, change: seen.append(change.value)
        )
        self.assertTrue(await partial.read())
        return partial

    def test_items_start_while_the_own_view_is_recent(self) -> None:
        views = views_of(FakeStore(LEASE - 0.1, ("b",)))
        self.assertTrue(views.may_start("b", 0.0))
        self.assertFalse(views_of(FakeStore(LEASE + 0.1, ("b",))).may_start("b", 0.0))

    def test_an_own_view_that_does_not_know_the_batch_tells_nothing_of_its_end(self) -> None:
        """The records of its beginning may be gone: an end would mean nothing to that view."""
        self.assertFalse(views_of(FakeStore(0.0)).may_start("b", 0.0))

    def test_a_batch_begun_ahead_lives_by_its_partial_view(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore())
            partial = await self.partial([])
            views.begin_ahead("b", partial, 0)
            now = partial.confirmed_at
            self.assertTrue(views.may_start("b", now + LEASE - 0.1))
            self.assertFalse(views.may_start("b", now + LEASE + 0.1))
            views.drop("b")
            self.assertFalse(views.may_start("b", now))

        anyio.run(scenario)

    def test_a_partial_view_is_read_on_and_tells_of_the_end(self) -> None:
        async def scenario() -> None:
            seen: list[str] = []
            views = views_of(FakeStore())
            partial = await self.partial(seen)
            views.begin_ahead("b", partial, 0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(views.follow, "b")
                await self.client.append(
                    PLACE, [encode_record(BatchEnded("b"))], ProducerSequence("p", 1, 2)
                )
                with anyio.fail_after(5.0):
                    while "ended" not in seen:
                        await anyio.sleep(0.02)
                self.assertLess(views.age("b", time.monotonic()), LEASE)
                views.drop("b")

        anyio.run(scenario)

    def test_a_partial_view_that_the_log_does_not_answer_lapses(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore())
            partial = await self.partial([])
            views.begin_ahead("b", partial, 0)
            confirmed_at = partial.confirmed_at
            self.client.faults.silent = True
            with anyio.move_on_after(0.6):
                await views.follow("b")
            self.assertEqual(confirmed_at, partial.confirmed_at)

        anyio.run(scenario)

    def test_the_own_view_takes_over_once_it_is_current_and_knows_the_batch(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore(0.1, ("b",)))
            views.begin_ahead("b", await self.partial([]), 0)
            calls = self.client.calls
            with anyio.move_on_after(0.6):
                await views.follow("b")
            self.assertEqual(calls, self.client.calls)
            self.assertTrue(views.may_start("b", time.monotonic() + BOUND))

        anyio.run(scenario)
