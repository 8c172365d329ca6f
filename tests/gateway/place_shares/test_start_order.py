"""Start order of items while places are scarce, and starts within place limits."""

from __future__ import annotations

import math

import msgspec
import testtools

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    StartItem,
    Tick,
)
from stagewalk.gateway.batches.place_demand import ClaimantPlaces
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.batches.start_order import (
    StepBounds,
    WaitingItem,
    order_ample,
    order_scarce,
)
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from stagewalk.gateway.ports.workers import StreamEvent, StreamHead
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import batch_route, header, item
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.workers.support import announcement

HTTP_OK = 200
DUE_SECONDS = 7.5
EVENT_SECONDS = 0.1


def batch(name: str, model: str, *items: BatchItem, seen_at: float = 0.0, wanted: int = 1) -> Batch:
    head = msgspec.structs.replace(header(name, model=model), wanted_groups=wanted)
    return Batch(head, {i.item: i for i in items}, "n#1", seen_at)


def run_of(found: Batch) -> BatchRun:
    run = BatchRun(found)
    for spec in found.items.values():
        run.items[spec.item] = ItemRun.begin("h.example", spec)
    return run


def trained_lengths() -> LengthEstimate:
    """Return an estimate that has seen one item, as long as was guessed."""
    lengths = LengthEstimate()
    known = ItemRun.begin("h.example", item("known", 10))
    known.adopt(["d"] * 10, [1])
    lengths.learn(known)
    return lengths


class StartOrderTests(testtools.TestCase):
    def scarce(self, *runs: BatchRun, now: float = 0.0, places: float = 4.0) -> list[str]:
        waiting = [WaitingItem(run, i) for run in runs for i in run.items.values()]
        bounds = {run.name: StepBounds(DUE_SECONDS, places, EVENT_SECONDS) for run in runs}
        return [
            pair.item.spec.item for pair in order_scarce(waiting, bounds, trained_lengths(), now)
        ]

    def test_with_ample_places_older_steps_and_longer_items_start_first(self) -> None:
        old = run_of(batch("b1", "m", item("a", 5, "g1"), item("b", 9, "g2")))
        new = run_of(batch("b2", "m", item("c", 50, "g1"), seen_at=1.0))
        waiting = [WaitingItem(run, i) for run in (new, old) for i in run.items.values()]
        order = [pair.item.spec.item for pair in order_ample(waiting, trained_lengths())]
        self.assertEqual(["b", "a", "c"], order)

    def test_groups_that_complete_soonest_start_before_unneeded_ones(
        self,
    ) -> None:
        items = [
            item(f"{group}{n}", size, group)
            for group, size in (("long", 30), ("short", 3), ("mid", 8))
            for n in (1, 2)
        ]
        order = self.scarce(run_of(batch("b1", "m", *items, wanted=2)))
        self.assertEqual(["mid1", "mid2", "short1", "short2", "long1", "long2"], order)

    def test_a_group_with_progress_is_preferred_whatever_its_length(self) -> None:
        run = run_of(batch("b1", "m", item("new", 3, "g1"), item("back", 60, "g2")))
        run.items["back"].known_events = 20
        self.assertEqual(["back", "new"], self.scarce(run))

    def test_a_group_that_cannot_complete_in_time_starts_last(self) -> None:
        many = [item(f"many{n}", 50, "many") for n in range(8)]
        run = run_of(batch("b1", "m", item("endless", 90, "endless"), *many))
        self.assertEqual("endless", self.scarce(run)[-1])

    def test_the_trainer_with_the_least_slack_starts_first(self) -> None:
        old = run_of(batch("b1", "alpha", item("a", 5)))
        large = run_of(batch("b2", "beta", item("b", 60), seen_at=1.0))
        self.assertEqual(["b", "a"], self.scarce(old, large))

    def test_a_step_that_cannot_be_in_time_starts_last_but_is_not_dropped(self) -> None:
        late = run_of(batch("b1", "alpha", item("late", 9)))
        fresh = run_of(batch("b2", "beta", item("fresh", 9), seen_at=8.0))
        self.assertEqual(["fresh", "late"], self.scarce(late, fresh, now=8.0))

    def test_the_steps_of_one_trainer_start_in_order(self) -> None:
        late = run_of(batch("b1", "alpha", item("late", 9)))
        fresh = run_of(batch("b2", "alpha", item("fresh", 9), seen_at=8.0))
        self.assertEqual(["late", "fresh"], self.scarce(late, fresh, now=8.0))


class FakeLimits:
    """Place limits set by the test, by the trainer's model."""

    def __init__(self, **most: float) -> None:
        self.places = most

    def most(self, claimant: Claimant, _service: str, _now: float) -> float:
        return self.places.get(claimant.trainer.rpartition("/")[2], math.inf)


class LimitedScheduler:
    """A scheduler over two engines of four slots."""

    def __init__(self, **most: float) -> None:
        self.limits = FakeLimits(**most)
        workers = WorkerTable()
        for name in ("e1", "e2"):
            workers.announce(announcement(name, versions={"m": 1}), 0.0)
        route = batch_route()
        self.scheduler = BatchScheduler(
            workers,
            lambda _host, _path: route,
            lambda _route: "scorers",
            unrestricted(workers, route),
            limits=self.limits,
        )
        self.started: list[StartItem] = []

    def open(self, found: Batch) -> None:
        self.scheduler.open(found, lambda _spec: None, 0.0)

    def tick(self, now: float = 0.0) -> list[str]:
        return self._take(self.scheduler.handle(Tick(), now))

    def end(self, name: str, now: float = 0.1) -> list[str]:
        attempt = next(start.attempt for start in self.started if start.item.item == name)
        self.scheduler.handle(AttemptHead(attempt, StreamHead(HTTP_OK, (), (1,), None)), now)
        self.scheduler.handle(AttemptEvent(attempt, StreamEvent(1, "d", None, b"")), now)
        self.scheduler.handle(AttemptEnded(attempt, HTTP_OK), now)
        return self.tick(now)

    def _take(self, instructions) -> list[str]:
        starts = [made for made in instructions if isinstance(made, StartItem)]
        self.started += starts
        return [start.item.item for start in starts]


def step(name: str, model: str, count: int, seen_at: float = 0.0) -> Batch:
    items = (item(f"{name}-{n}", group=f"g{n}") for n in range(count))
    return batch(name, model, *items, seen_at=seen_at)


class StartsWithinSharesTests(testtools.TestCase):
    def test_a_claimant_takes_no_more_than_its_places(self) -> None:
        bench = LimitedScheduler(alpha=3.0)
        bench.open(step("b1", "alpha", 6))
        bench.open(step("b2", "beta", 2))
        self.assertEqual(5, len(bench.tick()))
        self.assertEqual([], bench.tick())
        self.assertEqual(["b1-3"], bench.end("b1-0"))

    def test_a_claimants_limit_covers_all_its_steps(self) -> None:
        bench = LimitedScheduler(alpha=3.0)
        bench.open(step("b1", "alpha", 2, seen_at=-1.0))
        bench.open(step("b2", "alpha", 2))
        self.assertEqual(["b1-0", "b1-1", "b2-0"], bench.tick())

    def test_fractions_of_a_place_start_nothing(self) -> None:
        bench = LimitedScheduler(alpha=2.9)
        bench.open(step("b1", "alpha", 6))
        self.assertEqual(2, len(bench.tick()))

    def test_a_lowered_limit_stops_no_item_and_starts_none_until_enough_ended(self) -> None:
        """Running items may exceed the new limit, but no further item starts."""
        bench = LimitedScheduler(alpha=4.0)
        bench.open(step("b1", "alpha", 8))
        self.assertEqual(4, len(bench.tick()))
        bench.limits.places["alpha"] = 2.0
        self.assertEqual([], bench.tick(0.05))
        self.assertEqual([], bench.end("b1-0"))
        self.assertEqual([], bench.end("b1-1"))
        self.assertEqual(["b1-4"], bench.end("b1-2"))

    def test_all_items_start_once_the_limit_is_removed(self) -> None:
        bench = LimitedScheduler(alpha=1.0)
        bench.open(step("b1", "alpha", 5))
        bench.tick()
        del bench.limits.places["alpha"]
        self.assertEqual(4, len(bench.tick()))

    def test_demand_places_and_withheld_starts_are_reported(self) -> None:
        bench = LimitedScheduler(alpha=2.0)
        bench.open(step("b1", "alpha", 5))
        bench.open(step("b2", "beta", 1))
        bench.tick()
        alpha, beta = (Claimant(None, f"h.example/{name}") for name in ("alpha", "beta"))
        self.assertEqual(
            [PlaceDemand(alpha, "s", 2, 3), PlaceDemand(beta, "s", 1, 0)],
            bench.scheduler.place_demands,
        )
        places = ClaimantPlaces(alpha, "s", 2, 3, 2.0)
        self.assertIn(places, bench.scheduler.claimant_places(0.0))
        (withheld,) = bench.scheduler.withheld(0.0)
        self.assertEqual(("b1", 3, places), (withheld.batch, withheld.waiting, withheld.places))
