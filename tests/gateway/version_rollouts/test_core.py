"""Engines load named versions a few at a time, and only some of them load each version."""

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

    def roll_out(self, start: float = 0.0) -> int:
        """Execute orders until there are none left; return how many there were."""
        count = 0
        now = start
        while orders := self.rollouts.decide(now):
            self.assertLessEqual(
                len(orders), max(MINIMUM_CONCURRENT_LOADS, self.maximum_concurrent_loads())
            )
            for order in orders:
                self.rollouts.order_started(order, now)
                self.execute(order)
            count += len(orders)
            now += 1.0
        return count

    def maximum_concurrent_loads(self) -> int:
        return int(CONCURRENT_LOADS_FRACTION * len(self.workers.all()))

    def held(self) -> list[int]:
        return sorted(worker.versions["m"] for worker in self.workers.all())

    def test_without_a_known_lag_all_engines_load_the_newest_version(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.roll_out()
        self.assertEqual([2, 2, 2, 2], self.held())

    def test_with_a_lag_half_of_the_engines_change_with_each_version(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.rollouts.record_minimum_version("m", 1)
        self.assertEqual(2, self.roll_out())
        self.assertEqual([1, 1, 2, 2], self.held())
        self.rollouts.record_named_version("m", 3)
        self.rollouts.record_minimum_version("m", 2)
        self.assertEqual(2, self.roll_out(10.0))
        self.assertEqual([2, 2, 3, 3], self.held())

    def test_an_old_batch_read_again_does_not_widen_the_lag(self) -> None:
        self.rollouts.record_named_version("m", 9)
        self.rollouts.record_minimum_version("m", 8)
        self.rollouts.record_minimum_version("m", 1)
        self.roll_out()
        self.assertGreaterEqual(min(self.held()), 8)

    def test_no_more_orders_while_engines_load(self) -> None:
        self.rollouts.record_named_version("m", 2)
        for order in self.rollouts.decide(0.0):
            self.rollouts.order_started(order, 0.0)
        self.assertEqual([], self.rollouts.decide(0.5))

    def test_an_order_without_effect_is_sent_again(self) -> None:
        self.rollouts.record_named_version("m", 2)
        first = self.rollouts.decide(0.0)
        for order in first:
            self.rollouts.order_started(order, 0.0)
        self.assertEqual(first, self.rollouts.decide(ORDER_DEADLINE_SECONDS + 0.1))

    def test_an_engine_that_reverts_to_an_older_version_is_ordered_again(self) -> None:
        self.rollouts.record_named_version("m", 2)
        self.roll_out()
        for held in (2, 1):
            self.workers.announce(announcement("e0", versions={"m": held}), 5.0)
        self.assertEqual([PlannedVersionOrder("e0", "m", 2)], self.rollouts.decide(5.0))

    def test_an_older_named_version_is_ignored(self) -> None:
        self.rollouts.record_named_version("m", 3)
        self.assertFalse(self.rollouts.record_named_version("m", 2))
        self.assertEqual(3, self.rollouts.named("m"))

    def test_concurrent_loads_grow_with_the_number_of_engines(self) -> None:
        for number in range(ENGINES, 23):
            self.workers.announce(announcement(f"e{number}", versions={"m": 1}), 0.0)
        self.rollouts.record_named_version("m", 2)
        self.assertEqual(9, len(self.rollouts.decide(0.0)))

    def test_with_many_models_equal_shares_hold_the_newest_and_the_previous_version(
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
            loads += self.roll_out(10.0 * version)
            for model in models:
                held = [self.workers.worker(name).versions[model] for name in names]
                self.assertGreaterEqual(held.count(version), 8)
                self.assertGreaterEqual(held.count(version) + held.count(version - 1), 16)
        self.assertLessEqual(loads, 6 * 3 * 8)

    def test_with_many_models_engines_too_far_behind_catch_up(self) -> None:
        self.rollouts = VersionRollouts(self.workers, Policy(engine_sets=False))
        models = ("m", "n", "o")
        for number in range(24):
            entry = announcement(f"e{number}", versions=dict.fromkeys(models, 1))
            self.workers.announce(entry, 0.0)
        for model in models:
            self.rollouts.record_named_version(model, 6)
            self.rollouts.record_minimum_version(model, 5)
        self.roll_out()
        held = [worker.versions["m"] for worker in self.workers.all()]
        self.assertEqual(16, held.count(6))
