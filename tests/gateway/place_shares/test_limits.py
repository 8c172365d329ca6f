"""Place limits at a node: when they apply, for how long, and how far places are overcommitted."""

from __future__ import annotations

import math
import random

import testtools

from stagewalk.gateway.directory.node_table import FAILURE_TIMEOUT_SECONDS
from stagewalk.gateway.directory.renewals import RENEWAL_INTERVAL_SECONDS
from stagewalk.gateway.place_shares.demand import Claimant
from stagewalk.gateway.place_shares.limits import (
    MAXIMUM_VIEW_AGE_SECONDS,
    MINIMUM_PLACES,
    PeerClaims,
    ShareLimits,
)
from stagewalk.gateway.place_shares.places import EnginePlaces
from stagewalk.gateway.place_shares.shares import OVERCOMMIT_FACTOR
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.place_shares.support import (
    ALPHA,
    BETA,
    GAMMA,
    SERVICE,
    Demands,
    claims,
    demand,
    granted,
    limits_at,
)
from tests.gateway.workers.support import announcement

PLACES = 120.0
SHARED_PLACES = PLACES * OVERCOMMIT_FACTOR
AFTER_VIEW_EXPIRY = MAXIMUM_VIEW_AGE_SECONDS + 0.1
CONTENDED_DEMANDS: dict[str, Demands] = {"n1": {ALPHA: 400}, "n2": {BETA: 300}, "n3": {GAMMA: 200}}


class LimitsTests(testtools.TestCase):
    def test_nothing_is_limited_while_all_demands_can_be_met(self) -> None:
        limits = limits_at("n1", {"n1": {ALPHA: 50}, "n2": {BETA: 60}}, PLACES)
        self.assertTrue(math.isinf(limits.most(ALPHA, SERVICE, 0.0)))

    def test_the_limits_of_all_nodes_together_use_all_places(self) -> None:
        given = [
            granted(limits_at(node, CONTENDED_DEMANDS, PLACES), own)
            for node, own in CONTENDED_DEMANDS.items()
        ]
        self.assertEqual(1, len(set(given)))
        self.assertLessEqual(sum(given), SHARED_PLACES)
        self.assertGreaterEqual(sum(given), PLACES)

    def test_the_share_of_a_claimant_at_two_nodes_is_split_by_items(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 300}, "n2": {ALPHA: 100}, "n3": {BETA: 400}}
        given = [granted(limits_at(node, seen, PLACES), own) for node, own in seen.items()]
        self.assertEqual([47, 15, 63], given)

    def test_a_small_demand_is_met_and_the_other_gets_the_rest(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 6}, "n2": {BETA: 400}}
        self.assertEqual(6, granted(limits_at("n1", seen, PLACES), seen["n1"]))
        self.assertEqual(SHARED_PLACES - 6, granted(limits_at("n2", seen, PLACES), seen["n2"]))

    def test_a_claimant_without_known_demand_may_take_the_level(self) -> None:
        limits = limits_at("n1", CONTENDED_DEMANDS, PLACES)
        self.assertAlmostEqual(SHARED_PLACES / 3, limits.most(Claimant("new", "h/m"), SERVICE, 0.0))

    def test_with_more_claimants_than_places_each_has_the_minimum(self) -> None:
        many = [Claimant(f"t{n}", "h/m") for n in range(300)]
        limits = limits_at("n1", {"n1": dict.fromkeys(many, 4), "n2": {BETA: 9}}, PLACES)
        self.assertEqual({MINIMUM_PLACES}, {limits.most(c, SERVICE, 0.0) for c in many})


class MixedBuildsTests(testtools.TestCase):
    def update(self, *others: tuple | None) -> float:
        self.limits.update([demand(ALPHA, 400)], PeerClaims(0.0, others), {SERVICE: PLACES})
        return self.limits.most(ALPHA, SERVICE, 0.0)

    def setUp(self) -> None:
        super().setUp()
        self.limits = ShareLimits()

    def test_limits_apply_only_while_all_nodes_announce_claims(self) -> None:
        known = claims(demand(BETA, 400))
        self.assertTrue(math.isinf(self.update(known, None)))
        self.assertAlmostEqual(SHARED_PLACES / 2, self.update(known, ()))
        self.assertTrue(math.isinf(self.update(known, None)))

    def test_clear_removes_the_limits(self) -> None:
        self.update(claims(demand(BETA, 400)))
        self.limits.clear()
        self.assertTrue(math.isinf(self.limits.most(ALPHA, SERVICE, 0.0)))


class OvercommitTests(testtools.TestCase):
    """Bounds on the overcommitment of places in cases where nodes' views differ."""

    def test_overcommitment_is_bounded_by_growth_that_others_have_not_seen(self) -> None:
        """The bound includes `MINIMUM_PLACES` for each claimant at each node."""
        rng = random.Random(11)
        for _ in range(400):
            names = [f"n{n}" for n in range(rng.randint(2, 6))]
            claimants = [Claimant(None, f"h/{n}") for n in range(rng.randint(2, 8))]
            before = {name: self._draw(rng, claimants) for name in names}
            after = {name: self._draw(rng, claimants) for name in names}
            places = rng.uniform(20.0, 300.0)
            total = sum(
                granted(limits_at(name, {**before, name: after[name]}, places), after[name])
                for name in names
            )
            growth = sum(
                max(0, items - before[name].get(claimant, 0))
                for name in names
                for claimant, items in after[name].items()
            )
            pairs = sum(len(after[name]) for name in names)
            self.assertLessEqual(
                total, places * OVERCOMMIT_FACTOR + growth + MINIMUM_PLACES * pairs
            )

    @staticmethod
    def _draw(rng: random.Random, claimants: list[Claimant]) -> Demands:
        return {c: rng.randint(1, 200) for c in claimants if rng.random() < 0.5}

    def test_a_new_step_overcommits_by_its_own_share_until_the_others_know(self) -> None:
        before: dict[str, Demands] = {
            "n1": {},
            "n2": CONTENDED_DEMANDS["n2"],
            "n3": CONTENDED_DEMANDS["n3"],
        }
        new = granted(limits_at("n1", CONTENDED_DEMANDS, PLACES), CONTENDED_DEMANDS["n1"])
        rest = sum(
            granted(limits_at(name, before, PLACES), CONTENDED_DEMANDS[name])
            for name in ("n2", "n3")
        )
        self.assertLessEqual(new + rest, SHARED_PLACES + SHARED_PLACES / 3)

    def test_a_view_expires_before_others_drop_a_disconnected_node(self) -> None:
        self.assertLess(
            MAXIMUM_VIEW_AGE_SECONDS, FAILURE_TIMEOUT_SECONDS - RENEWAL_INTERVAL_SECONDS
        )

    def test_a_disconnected_runner_overcommits_by_its_floor(self) -> None:
        cut = granted(
            limits_at("n1", CONTENDED_DEMANDS, PLACES), CONTENDED_DEMANDS["n1"], AFTER_VIEW_EXPIRY
        )
        self.assertEqual(PLACES / 3, cut)
        without = {name: demands for name, demands in CONTENDED_DEMANDS.items() if name != "n1"}
        rest = sum(granted(limits_at(n, without, PLACES), CONTENDED_DEMANDS[n]) for n in without)
        self.assertLessEqual(cut + rest, SHARED_PLACES + PLACES / 3)

    def test_a_disconnected_runner_returns_the_places_above_its_floor(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 400}, "n2": {BETA: 5}, "n3": {GAMMA: 5}}
        limits = limits_at("n1", seen, PLACES)
        self.assertEqual(SHARED_PLACES - 10, granted(limits, seen["n1"], MAXIMUM_VIEW_AGE_SECONDS))
        self.assertEqual(PLACES / 3, granted(limits, seen["n1"], AFTER_VIEW_EXPIRY))

    def test_while_the_store_is_unreachable_the_floors_fit_the_places(self) -> None:
        """This holds however the demand changes, since no node learns of it."""
        for own in (
            CONTENDED_DEMANDS,
            {name: dict.fromkeys(of, 2_000) for name, of in CONTENDED_DEMANDS.items()},
        ):
            total = sum(
                granted(
                    limits_at(name, {**CONTENDED_DEMANDS, name: own[name]}, PLACES),
                    own[name],
                    AFTER_VIEW_EXPIRY,
                )
                for name in CONTENDED_DEMANDS
            )
            self.assertLessEqual(total, PLACES)

    def test_a_replaced_runner_does_not_overcommit_while_both_are_counted(self) -> None:
        """Nodes that learn of the loss later count the claimant at both nodes, with one share."""
        replaced: dict[str, Demands] = {**CONTENDED_DEMANDS, "n4": CONTENDED_DEMANDS["n1"]}
        successor = granted(limits_at("n4", replaced, PLACES), CONTENDED_DEMANDS["n1"])
        rest = sum(
            granted(limits_at(n, replaced, PLACES), CONTENDED_DEMANDS[n]) for n in ("n2", "n3")
        )
        self.assertLessEqual(successor + rest, SHARED_PLACES)
        known = {name: demands for name, demands in replaced.items() if name != "n1"}
        self.assertEqual(
            SHARED_PLACES / 3, granted(limits_at("n4", known, PLACES), CONTENDED_DEMANDS["n1"])
        )


class PlacesTests(testtools.TestCase):
    """Engines are removed zone by zone and not replaced."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = WorkerTable()
        for number in range(30):
            self._announce(number)

    def _announce(self, number: int, draining: bool = False) -> None:
        entry = announcement(
            f"e{number}", service=SERVICE, zone=f"z{number % 3}", draining=draining
        )
        self.workers.announce(entry, 0.0)

    def _places(self, evacuated: frozenset[str] = frozenset()) -> int:
        return EnginePlaces(self.workers.usable(SERVICE), 1.0).total(evacuated)

    def _assert_shared(self, places: int) -> None:
        """Check that all nodes together use the places, up to the overcommit factor."""
        total = sum(
            granted(limits_at(name, CONTENDED_DEMANDS, places), CONTENDED_DEMANDS[name])
            for name in CONTENDED_DEMANDS
        )
        self.assertLessEqual(total, places * OVERCOMMIT_FACTOR)
        self.assertGreater(total, 0.95 * places)

    def test_draining_engines_stop_counting_at_once(self) -> None:
        for zone, left in ((0, 80), (1, 40)):
            for number in range(zone, 30, 3):
                self._announce(number, draining=True)
            self.assertEqual(left, self._places())
            self._assert_shared(left)

    def test_engines_of_an_evacuated_zone_do_not_count(self) -> None:
        self.assertEqual(80, self._places(frozenset({"z1"})))

    def test_engines_lost_without_notice_stop_counting_after_a_failure(self) -> None:
        for number in range(0, 30, 3):
            engine = self.workers.worker(f"e{number}")
            assert engine is not None
            engine.record_failure(0.8)
        self.assertEqual(80, self._places())
        self._assert_shared(80)

    def test_without_engines_each_claimant_keeps_the_minimum(self) -> None:
        limits = limits_at("n1", CONTENDED_DEMANDS, 0)
        self.assertEqual(MINIMUM_PLACES, limits.most(ALPHA, SERVICE, 0.0))
