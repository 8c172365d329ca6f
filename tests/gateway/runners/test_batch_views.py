"""The age of the view of a batch that is run here: the node's own view or a partial one."""

from __future__ import annotations

import math
from unittest import mock

import anyio
import testtools
from expression import Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.engine_observations import record_refusal
from stagewalk.gateway.batches.messages import StartItem
from stagewalk.gateway.batches.records import BatchEnded, encode_record
from stagewalk.gateway.batches.view_lease import maximum_view_age
from stagewalk.gateway.eligibility.core import RequestScope
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.partitioned_log import (
    LogFailure,
    Partition,
    ProducerSequence,
    RecordPage,
)
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.runners.checked_sends import CheckedSends
from stagewalk.gateway.runners.scheduler_loop import SchedulerLoop
from stagewalk.gateway.scoring.messages import SendScore
from stagewalk.gateway.scoring.records import ScoreCall
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import batch_route, item, submitted
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.memory_log import MemoryLog, MemoryLogClient
from tests.gateway.quarantine.support import NoCrashes
from tests.gateway.workers.support import announcement

PARTITION = Partition("batches", 0)
BATCH_END_SECONDS = 3.0
MAXIMUM_AGE = maximum_view_age(BATCH_END_SECONDS)


class FakeStore:
    """A node's own view of a given age that knows the given batches."""

    def __init__(self, age: float = math.inf, known: tuple[str, ...] = ()) -> None:
        self.age = age
        self.ledger = mock.Mock(get=lambda name: object() if name in known else None)

    def view_age(self, _batch: str, _now: float) -> float:
        return self.age

    def is_current(self, _batch: str, _now: float) -> bool:
        return self.age < 1.0


def views_of(store: FakeStore) -> BatchViews:
    return BatchViews(store, lambda: BATCH_END_SECONDS)  # type: ignore[arg-type]


class BatchViewsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.lost: list[str] = []

    async def partial(self, seen: list[str]) -> PartialLedger:
        sequence = ProducerSequence("p", 1, 1)
        await self.client.append(PARTITION, [encode_record(submitted(item("x")))], sequence)
        partial = PartialLedger(
            self.client, PARTITION, 0, lambda _batch, change: seen.append(change.value)
        )
        self.assertTrue(await partial.read())
        return partial

    def test_items_may_start_while_the_own_view_is_recent(self) -> None:
        views = views_of(FakeStore(MAXIMUM_AGE - 0.1, ("b",)))
        self.assertTrue(views.may_start("b", 0.0))
        self.assertFalse(views_of(FakeStore(MAXIMUM_AGE + 0.1, ("b",))).may_start("b", 0.0))

    def test_an_own_view_that_does_not_know_the_batch_does_not_count(self) -> None:
        """If the batch's first records were dropped, that view would not show its end either."""
        self.assertFalse(views_of(FakeStore(0.0)).may_start("b", 0.0))

    def test_a_batch_begun_ahead_depends_on_its_partial_view(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore())
            partial = await self.partial([])
            views.begin_ahead("b", partial, 0)
            now = partial.confirmed_at
            self.assertTrue(views.may_start("b", now + MAXIMUM_AGE - 0.1))
            self.assertFalse(views.may_start("b", now + MAXIMUM_AGE + 0.1))
            views.drop("b")
            self.assertFalse(views.may_start("b", now))

        anyio.run(scenario)

    def test_a_followed_partial_view_reports_the_end(self) -> None:
        async def scenario() -> None:
            seen: list[str] = []
            views = views_of(FakeStore())
            partial = await self.partial(seen)
            views.begin_ahead("b", partial, 0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(views.follow, "b", self.lost.append)
                await self.client.append(
                    PARTITION, [encode_record(BatchEnded("b"))], ProducerSequence("p", 1, 2)
                )
                with anyio.fail_after(5.0):
                    while "ended" not in seen:
                        await anyio.sleep(0.02)
                self.assertLess(views.age("b", steady_seconds()), MAXIMUM_AGE)
                views.drop("b")

        anyio.run(scenario)

    def test_a_partial_view_is_not_confirmed_while_the_log_does_not_answer(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore())
            partial = await self.partial([])
            views.begin_ahead("b", partial, 0)
            confirmed_at = partial.confirmed_at
            self.client.faults.silent = True
            with anyio.move_on_after(0.6):
                await views.follow("b", self.lost.append)
            self.assertEqual(confirmed_at, partial.confirmed_at)

        anyio.run(scenario)

    def test_the_own_view_takes_over_once_it_is_current_and_knows_the_batch(self) -> None:
        async def scenario() -> None:
            views = views_of(FakeStore(0.1, ("b",)))
            views.begin_ahead("b", await self.partial([]), 0)
            calls = self.client.calls
            with anyio.move_on_after(0.6):
                await views.follow("b", self.lost.append)
            self.assertEqual(calls, self.client.calls)
            self.assertTrue(views.may_start("b", steady_seconds() + BATCH_END_SECONDS))

        anyio.run(scenario)

    def test_a_partial_view_whose_records_were_dropped_unread_is_reported_lost(self) -> None:
        """Neither view would ever show the batch again, and no other node would take it over."""

        async def scenario() -> None:
            views = views_of(FakeStore())
            partial = await self.partial([])
            views.begin_ahead("b", partial, 0)
            sequence = ProducerSequence("p", 1, 2)
            await self.client.append(PARTITION, [encode_record(BatchEnded("other"))], sequence)
            self.log.drop_history(PARTITION, self.log.kept(PARTITION).end)
            with anyio.fail_after(5.0):
                await views.follow("b", self.lost.append)
            self.assertEqual(["b"], self.lost)

        anyio.run(scenario)

    def test_a_partial_view_is_as_old_as_the_read_request(self) -> None:
        """A response may stay unread for long while the process is paused."""
        paused = 0.3

        class PausedClient(MemoryLogClient):
            async def read(
                self, partition: Partition, offset: int, wait_seconds: float
            ) -> Result[RecordPage, LogFailure]:
                answer = await super().read(partition, offset, wait_seconds)
                await anyio.sleep(paused)
                return answer

        async def scenario() -> None:
            partial = PartialLedger(PausedClient(self.log), PARTITION, 0)
            await partial.read()
            self.assertGreaterEqual(steady_seconds() - partial.confirmed_at, paused)

        anyio.run(scenario)


class FakeViews:
    """Views that are recent until a test changes that."""

    def __init__(self) -> None:
        self.recent = True

    def may_start(self, _batch: str, _now: float) -> bool:
        return self.recent

    may_send = may_start

    def age(self, _batch: str, _now: float) -> float:
        return 0.0


class WithheldSendTests(testtools.TestCase):
    """A send is withheld if the view becomes too old between the decision and the send."""

    def setUp(self) -> None:
        super().setUp()
        self.views = FakeViews()
        self.client = mock.Mock()
        self.workers = WorkerTable()
        self.workers.announce(announcement("e1", versions={"m": 1}), 0.0)

    def test_an_item_is_not_sent_if_the_view_became_too_old_since_the_decision(self) -> None:
        failure = self.failure_of(StartItem(1, "b", "h", item("x"), "e1", None))
        self.client.stream.assert_not_called()
        self.assertIs(AttemptFault.WITHHELD, failure.fault)

    def test_a_score_call_is_not_sent_if_the_view_became_too_old_since_the_decision(self) -> None:
        call = ScoreCall("c", "h", "/score/x", b"")
        failure = self.failure_of(SendScore(1, "b", "x", call, "e1", 1.0, None))
        self.client.send.assert_not_called()
        self.assertIs(AttemptFault.WITHHELD, failure.fault)

    def failure_of(self, instruction: StartItem | SendScore) -> AttemptFailure:
        """Return the failure of an attempt whose view becomes too old after the decision."""
        scheduler = mock.Mock(batches=set())
        scheduler.handle.return_value = []
        views: BatchViews = self.views  # type: ignore[assignment]
        eligibility = unrestricted(self.workers)
        sends = CheckedSends(self.client, self.workers, eligibility, views, NoCrashes())
        loop = SchedulerLoop(scheduler, mock.Mock(), views, sends)

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                loop.start(tasks)
                loop.execute([instruction])
                self.views.recent = False
                await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        ((failed, _now),) = [args for args, _ in scheduler.handle.call_args_list]
        return failed.failure

    def test_an_item_is_not_sent_if_the_view_became_too_old_while_it_connected(self) -> None:
        """An item whose connection is unusable waits for another one."""
        permit = unrestricted(self.workers).permit(
            self.workers.worker("e1"),
            RequestScope(batch_route(), RequestContent("POST", "h.example", "/run/x", b"")),
            0.0,
            lambda now: None if self.views.may_send("b", now) else Denial.VIEW_TOO_OLD,
        )
        self.assertIsNone(permit.ok.confirm(0.1))
        self.views.recent = False
        self.assertIs(Denial.VIEW_TOO_OLD, permit.ok.confirm(0.2))

    def test_the_view_may_be_older_at_the_send_than_at_the_start(self) -> None:
        for age, start, send in (
            (MAXIMUM_AGE, True, True),
            (MAXIMUM_AGE + 0.5, False, True),
            (2.8, False, False),
        ):
            views = views_of(FakeStore(age, ("b",)))
            self.assertEqual((start, send), (views.may_start("b", 0.0), views.may_send("b", 0.0)))

    def test_a_withheld_send_is_not_a_failure_of_the_worker(self) -> None:
        worker = self.workers.worker("e1")
        withheld = AttemptFailure(AttemptFault.WITHHELD, "")
        with mock.patch.object(type(worker), "record_failure") as blamed:
            record_refusal(worker, "m", withheld, 0.0)
        blamed.assert_not_called()
