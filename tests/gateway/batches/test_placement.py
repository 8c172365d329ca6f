"""Each preference among engines has its effect, and can be disabled by the policy."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.move_choice import faster_engine
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement

PACE = 0.04
NO_SIBLINGS = Policy(siblings=False)
NO_ZONES = Policy(zone_preference=False)


def engine(name: str, running: int = 0, zone: str = "z1") -> Worker:
    versions = {"m": 5}
    worker = Worker(announcement(name, zone=zone, versions=versions), 0.0, versions=versions)
    worker.record_success(PACE, 0.0)
    worker.in_flight = running
    return worker


def chosen(engines: list[Worker], policy: Policy = DEFAULT_POLICY) -> str:
    found = choose_engine(
        engines, "m", 1.0, proximity=NEAR_Z1, siblings=("sibling",), avoid="", policy=policy
    )
    assert found is not None
    return found.announcement.worker


class PlacementTests(testtools.TestCase):
    def test_each_preference_can_be_disabled(self) -> None:
        slow = engine("slow")
        for _ in range(60):
            slow.record_success(3 * PACE, 0.0)
        failed = engine("failed")
        failed.record_failure(0.9)
        cases = (
            ([slow, engine("fast", running=1)], "fast", "slow", Policy(pace=False)),
            ([failed, engine("sound", running=1)], "sound", "failed", Policy(suspicion=False)),
            ([engine("far", zone="z2"), engine("near")], "near", "far", NO_ZONES),
            ([engine("first"), engine("sibling")], "sibling", "first", NO_SIBLINGS),
        )
        for engines, preferred, without, policy in cases:
            self.assertEqual(preferred, chosen(engines))
            self.assertEqual(without, chosen(engines, policy))


class MoveTests(testtools.TestCase):
    def faster(self, others: list[Worker], urgent: bool = True) -> str | None:
        found = faster_engine(self.current, others, "m", 1.0, left=100.0, urgent=urgent)
        return None if found is None else found.announcement.worker

    def setUp(self) -> None:
        super().setUp()
        self.current = self.paced("current", 1.0)

    def paced(self, name: str, factor: float, running: int = 0) -> Worker:
        worker = Worker(announcement(name, slots=8, versions={"m": 5}), 0.0, versions={"m": 5})
        worker.record_success(factor * PACE, 0.0)
        worker.in_flight = running
        return worker

    def test_no_move_between_engines_of_similar_pace(self) -> None:
        self.assertIsNone(self.faster([self.paced("e", 0.9)]))
        self.assertEqual("e", self.faster([self.paced("e", 0.75)]))

    def test_an_urgent_item_moves_to_any_engine_with_a_free_slot(self) -> None:
        nearly_full = self.paced("e", 0.5, running=7)
        self.assertEqual("e", self.faster([nearly_full]))
        self.assertIsNone(self.faster([nearly_full], urgent=False))
        self.assertIsNone(self.faster([self.paced("e", 0.5, running=8)]))
