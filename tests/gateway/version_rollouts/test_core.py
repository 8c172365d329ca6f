"""Engines are brought to named versions, few at a time and not all with each version."""

from __future__ import annotations

import testtools

from stagewalk.gateway.policy import Policy
from stagewalk.gateway.version_rollouts.change_counts import (
    CONCURRENT_LOADS_FRACTION,
    MINIMUM_CONCURRENT_LOADS,
)
from stagewalk.gateway.version_rollouts.core import (
    ORDER_DEADLINE_SECONDS,
    PlannedVersionOrder,
    VersionRollouts,
)
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.workers.support import announcement

ENGINES = 4


class VersionRolloutTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.workers = WorkerTable()
        for number in range(ENGINES):
            self.workers.announce(announcement(f"e{number}", versions={"m": 1}), 0.0)
        self.rollouts = VersionRollouts(self.workers)

    def execute(self, order: PlannedVersionOrder) -> None:
        self.workers.worker(order.worker).versions[order.model] = order.version

    def roll(self, start: float = 0.0) -> int:
        """Carry orders out until none is left; return how many there were."""
        count = 0
        now = start
        while orders := self.rollouts.decide(now):
            self.assertLessEqual(len(orders), max(MINIMUM_CONCURRENT_LOADS, self.most_at_once()))
            for order in orders:
                self.rollouts.order_started(order, now)
                self.execute(order)
            count += len(orders)
            now += 1.0
        return count

    def most_at_once(self) -> int:
        return int(CONCURRENT_LOADS_FRACTION * len(self.workers.all()))

    def held(self) -> list[int]:
        return sorted(worker.versions["m"] for worker in self.workers.all())

    def test_without_a_known_lag_all_engines_get_the_newest(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.roll()
        self.assertEqual([2, 2, 2, 2], self.held())

    def test_with_a_lag_half_of_the_engines_change_with_each_version(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.rollouts.record_minimum_version("m", 1)
        self.assertEqual(2, self.roll())
        self.assertEqual([1, 1, 2, 2], self.held())
        self.rollouts.record_named_version("m", 3)
        self.rollouts.record_minimum_version("m", 2)
        self.assertEqual(2, self.roll(10.0))
        self.assertEqual([2, 2, 3, 3], self.held())

    def test_an_old_batch_read_again_does_not_widen_the_lag(self) -> None:
        self.rollouts.record_named_version("m", 9)
        self.rollouts.record_minimum_version("m", 8)
        self.rollouts.record_minimum_version("m", 1)
        self.roll()
        self.assertGreaterEqual(min(self.held()), 8)

    def test_no_more_orders_while_engines_load(self) -> None:
        self.rollouts.record_named_version("m", 2)
        for order in self.rollouts.decide(0.0):
            self.rollouts.order_started(order, 0.0)
        self.assertEqual([], self.rollouts.decide(0.5))

    def test_an_order_without_effect_is_given_again(self) -> None:
        self.rollouts.record_named_version("m", 2)
        first = self.rollouts.decide(0.0)
        for order in first:
            self.rollouts.order_started(order, 0.0)
        self.assertEqual(first, self.rollouts.decide(ORDER_DEADLINE_SECONDS + 0.1))

    def test_an_engine_that_goes_back_is_ordered_again(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.roll()
        for held in (2, 1):
            self.workers.announce(announcement("e0", versions={"m": held}), 5.0)
        self.assertEqual([PlannedVersionOrder("e0", "m", 2)], self.rollouts.decide(5.0))

    def test_an_older_name_changes_nothing(self) -> None:
        self.rollouts.record_named_version("m", 3)
        self.assertFalse(self.rollouts.record_named_version("m", 2))
        self.assertEqual(3, self.rollouts.named("m"))

    def test_many_engines_load_at_once_where_there_are_many(self) -> None:
        for number in range(ENGINES, 23):
            self.workers.announce(announcement(f"e{number}", versions={"m": 1}), 0.0)
        self.rollouts.record_named_version("m", 2)
        self.assertEqual(9, len(self.rollouts.decide(0.0)))

    def test_with_many_models_each_changes_its_share_and_keeps_as_many_at_the_one_before(
        self,
    ) -> None:
        self.rollouts = VersionRollouts(self.workers, Policy(engine_sets=False))
        models = ("m", "n", "o")
        names = [f"e{number}" for number in range(24)]
        for name in names:
            self.workers.announce(announcement(name, versions=dict.fromkeys(models, 1)), 0.0)
        loads = 0
        for version in range(2, 8):
            for model in models:
                self.rollouts.record_named_version(model, version)
                self.rollouts.record_minimum_version(model, version - 1)
            loads += self.roll(10.0 * version)
            for model in models:
                held = [self.workers.worker(name).versions[model] for name in names]
                self.assertGreaterEqual(held.count(version), 8)
                self.assertGreaterEqual(held.count(version) + held.count(version - 1), 16)
        self.assertLessEqual(loads, 6 * 3 * 8)

    def test_with_many_models_lost_ground_is_made_up_for(self) -> None:
        self.rollouts = VersionRollouts(self.workers, Policy(engine_sets=False))
        models = ("m", "n", "o")
        for number in range(24):
            entry = announcement(f"e{number}", versions=dict.fromkeys(models, 1))
            self.workers.announce(entry, 0.0)
        for model in models:
            self.rollouts.record_named_version(model, 6)
            self.rollouts.record_minimum_version(model, 5)
        self.roll()
        held = [worker.versions["m"] for worker in self.workers.all()]
        self.assertEqual(16, held.count(6))
