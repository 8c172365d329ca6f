"""With several models, each has its own set of engines, which takes fewer loads."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import testtools

from stagewalk.gateway.policy import Policy
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.version_rollouts.engine_sets import (
    ModelDemand,
    SetSizes,
    assign_engines,
    engines_by_models,
)
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.workers.support import announcement

MODELS = ("m", "n", "o")
SETS = Policy()


class EngineSetTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.workers = WorkerTable()
        for number in range(23):
            self.add(f"e{number}", 1)

    def add(self, name: str, version: int) -> None:
        entry = announcement(name, versions=dict.fromkeys(MODELS, version))
        self.workers.announce(entry, 0.0)

    def roll_out_versions(self, policy: Policy, versions: range) -> int:
        """Roll out all models through the versions; return how many loads that took."""
        rollouts = VersionRollouts(self.workers, policy)
        loads = 0
        for version in versions:
            for model in MODELS:
                rollouts.record_named_version(model, version)
                rollouts.record_minimum_version(model, version - 1)
            now = 10.0 * version
            while orders := rollouts.decide(now):
                for order in orders:
                    rollouts.order_started(order, now)
                    self.workers.worker(order.worker).versions[order.model] = order.version
                    loads += 1
                now += 1.0
            for model in MODELS:
                self.assertGreaterEqual(self.usable(model, version - 1), 7, (model, version))
        return loads

    def usable(self, model: str, oldest: int) -> int:
        return sum(w.versions[model] >= oldest for w in self.workers.all())

    def test_sets_are_of_equal_size_and_the_same_for_the_next_lease_holder(self) -> None:
        self.roll_out_versions(SETS, range(2, 8))
        named = dict.fromkeys(MODELS, 7)
        sets = self.assign(named)
        self.assertEqual([7, 8, 8], sorted(Counter(sets.values()).values()))
        for name, model in sets.items():
            held = self.workers.worker(name).versions
            self.assertEqual(max(held.values()), held[model])

    def test_adding_or_removing_an_engine_moves_few_others(self) -> None:
        self.roll_out_versions(SETS, range(2, 8))
        named = dict.fromkeys(MODELS, 7)
        before = self.assign(named)
        self.workers.remove("e3", 100.0, 0.0)
        self.add("e30", 7)
        after = self.assign(named)
        moved = [name for name in before if name in after and before[name] != after[name]]
        self.assertLessEqual(len(moved), 1)

    def test_sets_take_about_half_the_loads_of_updating_all_engines(self) -> None:
        together = self.roll_out_versions(Policy(engine_sets=False), range(2, 10))
        apart = self.roll_out_versions(SETS, range(10, 18))
        self.assertLess(apart, 0.65 * together)

    def test_a_single_model_has_all_engines(self) -> None:
        self.assertEqual({"m"}, set(self.assign({"m": 1}).values()))
        self.assertEqual({}, self.assign({}))

    def test_sets_are_sized_by_their_models_share_of_the_open_items(self) -> None:
        rollouts = VersionRollouts(self.workers, SETS)
        for model in MODELS:
            rollouts.record_named_version(model, 2)
            rollouts.record_minimum_version(model, 1)
        for step in range(100):
            rollouts.record_open_items({"m": 10, "n": 40, "o": 50}, float(step))
        sizes = Counter(rollouts._sets(list(MODELS)).values())
        self.assertEqual([3, 9, 11], [sizes[model] for model in MODELS])
        rollouts.record_open_items({"m": 14, "n": 40, "o": 46}, 103.0)
        self.assertEqual(sizes, Counter(rollouts._sets(list(MODELS)).values()))

    def test_engines_that_hold_other_models_are_assigned_to_those(self) -> None:
        for number in range(4):
            self.workers.announce(announcement(f"other{number}", versions={"p": 1}), 0.0)
        rollouts = VersionRollouts(self.workers, SETS)
        for model in (*MODELS, "p"):
            rollouts.record_named_version(model, 2)
            rollouts.record_minimum_version(model, 1)
        rollouts.record_open_items({"m": 90, "n": 90, "o": 90, "p": 1}, 0.0)
        sets = rollouts._sets([*MODELS, "p"])
        self.assertEqual(27, len(sets))
        self.assertEqual({"p"}, {sets[f"other{n}"] for n in range(4)})

    def test_engines_of_an_evacuated_zone_belong_to_no_set_and_get_no_orders(self) -> None:
        """They are assigned to sets again after the evacuation."""
        away = set(list(self.workers_named())[:8])
        for name in away:
            known = self.workers.worker(name)
            self.workers.announce(replace(known.announcement, zone="z9"), 0.0)
        zones: set[str] = {"z9"}
        rollouts = VersionRollouts(self.workers, SETS, lambda: zones)
        rollouts.record_named_version("m", 9)
        ordered = {order.worker for order in rollouts.decide(1.0)}
        self.assertTrue(ordered)
        self.assertEqual(set(), ordered & away)
        self.assertEqual(set(), set(rollouts._sets(list(MODELS))) & away)
        zones.clear()
        self.assertEqual(len(self.workers_named()), len(rollouts._sets(list(MODELS))))

    def workers_named(self) -> set[str]:
        return {worker.announcement.worker for worker in self.workers.all()}

    def test_a_model_without_open_items_keeps_half_of_an_equal_share(self) -> None:
        demand = ModelDemand()
        demand.record({"m": 0, "n": 90}, 0.0)
        shares = demand.shares(["m", "n"])
        self.assertAlmostEqual(0.2, shares["m"])
        self.assertEqual({"m": 0.5, "n": 0.5}, ModelDemand().shares(["m", "n"]))

    def assign(self, named: dict[str, int]) -> dict[str, str]:
        models = list(named)
        engines = engines_by_models(self.workers.all(), models).get(tuple(models), [])
        sizes = SetSizes().update(len(engines), ModelDemand().shares(models))
        return assign_engines(engines, named, sizes)
