"""Long items go where they will not stand still; what was seen of an item before counts."""

from __future__ import annotations

import testtools

from stagewalk.batches.item_run import ItemRun
from stagewalk.batches.length_estimate import LengthEstimate
from stagewalk.batches.placement import choose_engine
from stagewalk.core.policy import ALL_ON, Policy
from stagewalk.workers.worker import Worker
from tests.batches.support import item
from tests.workers.support import announcement

PACE = 0.04
NO_RELOAD = Policy(avoid_reload=False)
NO_SIBLINGS = Policy(siblings=False)


def engine(name: str, version: int, running: int = 0) -> Worker:
    worker = Worker(announcement(name, versions={"m": version}), 0.0, versions={"m": version})
    worker.note_success(PACE, 0.0)
    worker.in_flight = running
    return worker


def chosen(engines: list[Worker], events_left: float, policy: Policy = ALL_ON) -> str:
    found = choose_engine(
        engines,
        "m",
        1.0,
        zone="z1",
        siblings=("sibling",),
        avoid="",
        events_left=events_left,
        policy=policy,
    )
    assert found is not None
    return found.announcement.worker


class PlacementTests(testtools.TestCase):
    def test_a_long_item_avoids_an_engine_that_will_load_weights_soon(self) -> None:
        engines = [engine("old", 4), engine("new", 5, running=1)]
        self.assertEqual("new", chosen(engines, events_left=150))
        self.assertEqual("old", chosen(engines, events_left=5))

    def test_engines_on_the_same_weights_are_told_apart_by_room_alone(self) -> None:
        engines = [engine("busy", 5, running=1), engine("idle", 5)]
        self.assertEqual("idle", chosen(engines, events_left=150))

    def test_each_preference_can_be_switched_off(self) -> None:
        slow = engine("slow", 5)
        for _ in range(60):
            slow.note_success(3 * PACE, 0.0)
        failed = engine("failed", 5)
        failed.note_failure(0.9)
        far = Worker(announcement("far", zone="z2", versions={"m": 5}), 0.0, versions={"m": 5})
        cases = (
            ([slow, engine("fast", 5, running=1)], "fast", "slow", Policy(pace=False)),
            ([failed, engine("sound", 5, running=1)], "sound", "failed", Policy(suspicion=False)),
            ([engine("old", 4), engine("new", 5, running=1)], "new", "old", NO_RELOAD),
            ([far, engine("near", 5)], "near", "far", Policy(zone_preference=False)),
            ([engine("first", 5), engine("sibling", 5)], "sibling", "first", NO_SIBLINGS),
        )
        for engines, preferred, without, policy in cases:
            self.assertEqual(preferred, chosen(engines, events_left=150))
            self.assertEqual(without, chosen(engines, events_left=150, policy=policy))

    def test_a_full_new_engine_does_not_make_a_long_item_wait(self) -> None:
        engines = [engine("old", 4), engine("new", 5, running=4)]
        self.assertEqual("old", chosen(engines, events_left=150))


class LengthTests(testtools.TestCase):
    def test_an_item_has_at_least_the_events_that_were_made_of_it_before(self) -> None:
        lengths = LengthEstimate()
        known = ItemRun(item("x", expected=100), least_length=120)
        self.assertEqual(120, lengths.events_left(known))
        known.events = ["d"] * 100
        self.assertEqual(50, lengths.events_left(known))
