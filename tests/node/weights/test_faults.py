"""Tests that a pool reaches its target despite failed swaps, dead holders and lost answers."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.common.identities import EngineName, Epoch, WeightVersion
from stagewalk.node.core.platform import OrderKind
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.targets import assign_targets, pool_targets
from tests.node.weights.world import POOL, Pool, by_name, make_core, tenant

FIRST = EngineName("engine-000")


def pool_on_version_1(size: int = 6) -> Pool:
    pool = Pool(size)
    pool.add_holder(make_core(), 1)
    pool.run(8.0)
    return pool


class FailedSwapTest(testtools.TestCase):
    def test_engine_that_loads_another_version_is_ordered_again(self) -> None:
        pool = pool_on_version_1()
        failures = [1]
        pool.loaded_version = lambda name, version: (
            failures.pop() if name == FIRST and failures else version
        )
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))
        ids = [order.order_id for order in pool.orders_of(OrderKind.ACTIVATE)]
        self.assertEqual(7, len(set(ids)))
        self.assertEqual(7, len(ids))

    def test_engine_that_fails_repeatedly_is_quarantined_and_logged(self) -> None:
        pool = pool_on_version_1()
        pool.loaded_version = lambda name, version: 1 if name == FIRST else version
        pool.published.append(2)
        pool.run(60.0)
        others = [engine.active for name, engine in pool.engines.items() if name != FIRST]
        self.assertEqual([2] * 5, others)
        (quarantined,) = [event for event in pool.log if event.name == "engine_quarantined"]
        fields = quarantined.fields
        self.assertEqual(
            (FIRST, 1, 2), (fields["engine"], fields["active_version"], fields["version"])
        )
        order_count = len([1 for _, item in pool.orders if item.engine == FIRST])
        pool.run(60.0)
        self.assertEqual(order_count, len([1 for _, item in pool.orders if item.engine == FIRST]))

    def test_restarted_engine_is_updated_again(self) -> None:
        pool = pool_on_version_1()
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        engine = pool.engines[FIRST]
        engine.active, engine.staged, engine.incarnation, engine.epoch = 1, set(), 2, 0
        pool.run(120.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))

    def test_dead_engine_does_not_delay_the_others(self) -> None:
        pool = pool_on_version_1(40)
        pool.engines[FIRST].alive = False
        pool.published.append(2)
        pool.run(240.0, lambda: sum(e.active == 2 for e in pool.engines.values()) == 39)
        self.assertEqual(39, sum(engine.active == 2 for engine in pool.engines.values()))

    def test_leaving_engine_gets_no_order(self) -> None:
        pool = pool_on_version_1()
        pool.engines[FIRST].leaving = True
        pool.run(70.0)
        before = len(pool.orders)
        pool.published.append(2)
        pool.run(60.0)
        self.assertNotIn(FIRST, {item.engine for _, item in pool.orders[before:]})

    def test_rollout_completes_despite_lost_answers(self) -> None:
        pool = pool_on_version_1()
        pool.lose_answers = True
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))

    def test_unreported_fetch_failure_is_retried(self) -> None:
        pool = pool_on_version_1()
        pool.published.append(2)
        pool.run(60.0, lambda: pool.engines[FIRST].fetch is not None)
        pool.engines[FIRST].fetch = None
        pool.run(30.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))


class HolderTest(testtools.TestCase):
    @given(st.integers(1, 200), st.integers(0, 50), st.booleans())
    @settings(max_examples=30, deadline=None)
    def test_death_at_any_point_leaves_the_rollout_to_the_next(
        self, lived: int, gap: int, wakes: bool
    ) -> None:
        pool = Pool(6)
        old = pool.add_holder(make_core("old"), 1)
        pool.published.append(2)
        pool.run(lived / 10.0)
        pool.cores.clear()
        pool.run(gap / 10.0)
        pool.add_holder(make_core("new"), 2)
        if wakes:
            pool.cores.append(old)
        pool.run(90.0, lambda: pool.all_on(2))
        self.assertTrue(pool.all_on(2))
        self.assertLessEqual(pool.most_loading, 2)

    def test_resumed_old_holder_stops_at_the_first_newer_epoch(self) -> None:
        pool = Pool(6)
        old = pool.add_holder(make_core("old"), 1)
        pool.run(5.0)
        pool.cores.clear()
        pool.add_holder(make_core("new"), 2)
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        pool.published.append(3)
        pool.cores = [old]
        pool.run(10.0)
        self.assertTrue(pool.all_on(2))
        self.assertIn("rollout_fenced", [event.name for event in pool.log])

    def test_released_lease_ends_all_orders(self) -> None:
        pool = pool_on_version_1()
        pool.cores[0].set_lease(POOL, None)
        pool.published.append(2)
        pool.orders.clear()
        pool.run(30.0)
        self.assertEqual([], pool.orders)
        pool.cores[0].set_lease(POOL, Epoch(2))
        pool.run(60.0, lambda: pool.all_on(2))
        self.assertEqual({2}, {item.order.epoch for _, item in pool.orders})


class TargetTest(testtools.TestCase):
    def test_newer_version_published_during_a_rollout_replaces_it(self) -> None:
        pool = Pool(40)
        pool.add_holder(make_core(), 1)
        pool.run(8.0)
        pool.published.append(2)
        pool.run(6.0)
        pool.published.append(3)
        pool.run(120.0, lambda: pool.all_on(3))
        self.assertTrue(pool.all_on(3))
        activated = {order.version for order in pool.orders_of(OrderKind.ACTIVATE)}
        self.assertEqual({3}, activated)

    def test_lowered_pin_rolls_back(self) -> None:
        pool = pool_on_version_1()
        pool.published.append(2)
        pool.run(60.0, lambda: pool.all_on(2))
        pool.cores[0].set_tenants(by_name(tenant(maximum_version=1)))
        pool.run(60.0, lambda: pool.all_on(1))
        self.assertTrue(pool.all_on(1))

    def test_pins_of_two_tenants_divide_the_pool_by_share(self) -> None:
        pinned = tenant("pinned", maximum_version=1, capacity_share=0.25)
        free = tenant("free", capacity_share=0.75)
        targets = pool_targets(POOL, [pinned, free], [WeightVersion(1), WeightVersion(2)])
        self.assertEqual([1, 2], [target.version for target in targets])
        holdings = {
            EngineName(f"e{i}"): frozenset({WeightVersion(2 if i < 2 else 1)}) for i in range(8)
        }
        assigned = assign_targets(targets, holdings)
        counts = [target.version for target in assigned.values()]
        self.assertEqual((2, 6), (counts.count(WeightVersion(1)), counts.count(WeightVersion(2))))
        self.assertEqual(2, assigned[EngineName("e0")].version)

    def test_settled_pool_is_rarely_polled(self) -> None:
        pool = Pool(60)
        pool.add_holder(make_core(), 1)
        pool.run(10.0)
        before = pool.polls
        pool.run(120.0)
        self.assertLessEqual(pool.polls - before, 2 * 60)

    def test_settings_are_checked(self) -> None:
        for wrong in ({"base_loading_fraction": 0.0}, {"staged_quorum": 1.5}):
            self.assertRaises(ValueError, WeightRolloutConfig, **wrong)
