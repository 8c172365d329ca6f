"""Tests that rollouts bring a pool to its target version without going below the capacity floor."""

from __future__ import annotations

import testtools

from stagewalk.node.core.platform import OrderKind
from tests.node.weights.world import Pool, make_core

ACTIVATION_LIMIT_SECONDS = 14.0


class RolloutTest(testtools.TestCase):
    def test_small_pool_swaps_two_of_five_engines_at_a_time(self) -> None:
        pool = Pool(5)
        pool.add_holder(make_core(), 1)
        pool.run(10.0)
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))
        self.assertEqual(2, pool.most_loading)

    def test_large_pool_swaps_in_time_above_its_capacity_floor(self) -> None:
        pool = Pool(600)
        pool.add_holder(make_core(), 1)
        pool.run(10.0)
        pool.published.append(2)
        pool.run(300.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))
        first = min(at for at, item in pool.orders if item.order.kind is OrderKind.ACTIVATE)
        self.assertLessEqual(pool.now - first, ACTIVATION_LIMIT_SECONDS)
        self.assertLessEqual(pool.most_loading, 600 * 0.39)
        self.assertLessEqual(pool.most_fetching, 64)

    def test_without_a_lease_nothing_is_ordered(self) -> None:
        pool = Pool(3)
        core = pool.add_holder(make_core(), 1)
        core.set_lease(next(iter(pool.machines())).service, None)  # type: ignore[arg-type]
        pool.published.append(2)
        pool.run(30.0)
        self.assertEqual([], pool.orders)
