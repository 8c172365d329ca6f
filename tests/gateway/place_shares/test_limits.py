"""Limits at a node: when they hold, for how long, and by how much places may be overfilled."""

from __future__ import annotations

import math
import random

import testtools

from stagewalk.gateway.directory.node_table import FAILURE_TIMEOUT_SECONDS
from stagewalk.gateway.directory.renewals import RENEWAL_INTERVAL_SECONDS
from stagewalk.gateway.place_shares.demand import Claimant
from stagewalk.gateway.place_shares.limits import (
    MINIMUM_PLACES,
    VIEW_SECONDS,
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
FULL = PLACES * OVERCOMMIT_FACTOR
LATER = VIEW_SECONDS + 0.1
HARD: dict[str, Demands] = {"n1": {ALPHA: 400}, "n2": {BETA: 300}, "n3": {GAMMA: 200}}


class LimitsTests(testtools.TestCase):
    def test_without_too_much_demand_there_is_no_limit(self) -> None:
        limits = limits_at("n1", {"n1": {ALPHA: 50}, "n2": {BETA: 60}}, PLACES)
        self.assertTrue(math.isinf(limits.most(ALPHA, SERVICE, 0.0)))

    def test_all_nodes_compute_shares_that_fill_the_places(self) -> None:
        given = [granted(limits_at(node, HARD, PLACES), own) for node, own in HARD.items()]
        self.assertEqual(1, len(set(given)))
        self.assertLessEqual(sum(given), FULL)
        self.assertGreaterEqual(sum(given), PLACES)

    def test_a_claimant_at_two_nodes_has_one_share_by_its_items(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 300}, "n2": {ALPHA: 100}, "n3": {BETA: 400}}
        given = [granted(limits_at(node, seen, PLACES), own) for node, own in seen.items()]
        self.assertEqual([47, 15, 63], given)

    def test_who_asks_for_little_gets_it_and_may_grow_to_the_level(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 6}, "n2": {BETA: 400}}
        self.assertEqual(6, granted(limits_at("n1", seen, PLACES), seen["n1"]))
        self.assertEqual(FULL - 6, granted(limits_at("n2", seen, PLACES), seen["n2"]))

    def test_a_claimant_of_which_no_demand_is_known_yet_has_the_level(self) -> None:
        limits = limits_at("n1", HARD, PLACES)
        self.assertAlmostEqual(FULL / 3, limits.most(Claimant("new", "h/m"), SERVICE, 0.0))

    def test_each_of_more_claimants_than_places_goes_on(self) -> None:
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

    def test_they_begin_once_all_announce_and_end_when_one_does_not(self) -> None:
        known = claims(demand(BETA, 400))
        self.assertTrue(math.isinf(self.update(known, None)))
        self.assertAlmostEqual(FULL / 2, self.update(known, ()))
        self.assertTrue(math.isinf(self.update(known, None)))

    def test_nothing_is_kept_once_nothing_runs_here(self) -> None:
        self.update(claims(demand(BETA, 400)))
        self.limits.clear()
        self.assertTrue(math.isinf(self.limits.most(ALPHA, SERVICE, 0.0)))


class OverfillTests(testtools.TestCase):
    """Each test states by how much places may be overfilled, and holds it."""

    def test_views_that_differ_overfill_by_the_growth_that_others_have_not_seen(self) -> None:
        """And by `MINIMUM_PLACES` for each claimant at each node."""
        numbers = random.Random(11)
        for _ in range(400):
            names = [f"n{n}" for n in range(numbers.randint(2, 6))]
            claimants = [Claimant(None, f"h/{n}") for n in range(numbers.randint(2, 8))]
            before = {name: self._draw(numbers, claimants) for name in names}
            after = {name: self._draw(numbers, claimants) for name in names}
            places = numbers.uniform(20.0, 300.0)
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
    def _draw(numbers: random.Random, claimants: list[Claimant]) -> Demands:
        return {c: numbers.randint(1, 200) for c in claimants if numbers.random() < 0.5}

    def test_a_new_step_overfills_by_its_own_share_until_the_others_know(self) -> None:
        before: dict[str, Demands] = {"n1": {}, "n2": HARD["n2"], "n3": HARD["n3"]}
        new = granted(limits_at("n1", HARD, PLACES), HARD["n1"])
        rest = sum(granted(limits_at(name, before, PLACES), HARD[name]) for name in ("n2", "n3"))
        self.assertLessEqual(new + rest, FULL + FULL / 3)

    def test_a_runner_that_is_cut_off_keeps_its_share_no_longer_than_others_count_it(self) -> None:
        self.assertLess(VIEW_SECONDS, FAILURE_TIMEOUT_SECONDS - RENEWAL_INTERVAL_SECONDS)

    def test_a_runner_that_is_cut_off_overfills_by_its_floor(self) -> None:
        cut = granted(limits_at("n1", HARD, PLACES), HARD["n1"], LATER)
        self.assertEqual(PLACES / 3, cut)
        without = {name: demands for name, demands in HARD.items() if name != "n1"}
        rest = sum(granted(limits_at(n, without, PLACES), HARD[n]) for n in without)
        self.assertLessEqual(cut + rest, FULL + PLACES / 3)

    def test_a_runner_that_is_cut_off_gives_back_what_it_was_lent(self) -> None:
        seen: dict[str, Demands] = {"n1": {ALPHA: 400}, "n2": {BETA: 5}, "n3": {GAMMA: 5}}
        limits = limits_at("n1", seen, PLACES)
        self.assertEqual(FULL - 10, granted(limits, seen["n1"], VIEW_SECONDS))
        self.assertEqual(PLACES / 3, granted(limits, seen["n1"], LATER))

    def test_while_the_store_is_away_floors_fill_the_places_and_no_more(self) -> None:
        """However long, and however demand changes meanwhile: nobody hears of it."""
        for own in (HARD, {name: dict.fromkeys(of, 2_000) for name, of in HARD.items()}):
            total = sum(
                granted(limits_at(name, {**HARD, name: own[name]}, PLACES), own[name], LATER)
                for name in HARD
            )
            self.assertLessEqual(total, PLACES)

    def test_a_runner_replaced_overfills_nothing_while_both_are_counted(self) -> None:
        """Nodes that know of the loss later count the claimant at both; it still has one share."""
        replaced: dict[str, Demands] = {**HARD, "n4": HARD["n1"]}
        successor = granted(limits_at("n4", replaced, PLACES), HARD["n1"])
        rest = sum(granted(limits_at(n, replaced, PLACES), HARD[n]) for n in ("n2", "n3"))
        self.assertLessEqual(successor + rest, FULL)
        known = {name: demands for name, demands in replaced.items() if name != "n1"}
        self.assertEqual(FULL / 3, granted(limits_at("n4", known, PLACES), HARD["n1"]))


class PlacesTests(testtools.TestCase):
    """Engines taken away a zone at a time, with none to be had in their place."""

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
        """The shares of all nodes fill so many places, and overfill them by the headroom alone."""
        total = sum(granted(limits_at(name, HARD, places), HARD[name]) for name in HARD)
        self.assertLessEqual(total, places * OVERCOMMIT_FACTOR)
        self.assertGreater(total, 0.95 * places)

    def test_with_notice_they_count_no_more_at_once(self) -> None:
        for zone, left in ((0, 80), (1, 40)):
            for number in range(zone, 30, 3):
                self._announce(number, draining=True)
            self.assertEqual(left, self._places())
            self._assert_shared(left)

    def test_in_a_zone_being_evacuated_they_count_no_more(self) -> None:
        self.assertEqual(80, self._places(frozenset({"z1"})))

    def test_without_notice_each_counts_no_more_once_it_failed(self) -> None:
        for number in range(0, 30, 3):
            engine = self.workers.worker(f"e{number}")
            assert engine is not None
            engine.record_failure(0.8)
        self.assertEqual(80, self._places())
        self._assert_shared(80)

    def test_with_no_engine_left_each_claimant_keeps_one_place_to_wait_for(self) -> None:
        limits = limits_at("n1", HARD, 0)
        self.assertEqual(MINIMUM_PLACES, limits.most(ALPHA, SERVICE, 0.0))
