"""Max-min fair shares of places."""

from __future__ import annotations

import math
import random

import testtools

from stagewalk.gateway.place_shares.claims import claimant_key
from stagewalk.gateway.place_shares.demand import Claimant
from stagewalk.gateway.place_shares.shares import OVERCOMMIT_FACTOR, fair_level, share_places
from tests.gateway.place_shares.support import ALPHA, BETA, GAMMA, demand, service_claims


class FairLevelTests(testtools.TestCase):
    def test_the_level_is_infinite_while_all_demands_can_be_met(self) -> None:
        self.assertTrue(math.isinf(fair_level(10.0, [(1, 4.0), (1, 6.0)])))

    def test_unused_places_go_to_the_others(self) -> None:
        self.assertEqual(5.0, fair_level(12.0, [(1, 2.0), (1, 50.0), (1, 7.0)]))

    def test_aggregated_claimants_count_like_individual_ones(self) -> None:
        self.assertEqual(
            fair_level(12.0, [(1, 9.0), (1, 3.0), (1, 3.0), (1, 3.0)]),
            fair_level(12.0, [(1, 9.0), (3, 3.0)]),
        )

    def test_the_level_uses_all_places(self) -> None:
        random_numbers = random.Random(3)
        for _ in range(500):
            asked = [random_numbers.randint(1, 200) for _ in range(random_numbers.randint(2, 12))]
            places = random_numbers.uniform(1.0, 400.0)
            level = fair_level(places, [(1, float(items)) for items in asked])
            given = sum(min(items, level) for items in asked)
            self.assertAlmostEqual(min(places, sum(asked)), given, places=6)


class ServiceSharesTests(testtools.TestCase):
    def test_a_single_claimant_is_not_limited(self) -> None:
        shares = share_places(10.0, service_claims(demand(ALPHA, 500)), [])
        self.assertFalse(shares.in_force)

    def test_shares_are_in_force_only_if_demand_exceeds_the_places(self) -> None:
        others = [service_claims(demand(BETA, 50))]
        for items, in_force in ((50, False), (70, True)):
            shares = share_places(100.0, service_claims(demand(ALPHA, items)), others)
            self.assertEqual(in_force, shares.in_force)

    def test_a_claimant_at_several_nodes_has_one_share(self) -> None:
        others = [service_claims(demand(ALPHA, 90)), service_claims(demand(BETA, 100))]
        shares = share_places(100.0, service_claims(demand(ALPHA, 30)), others)
        self.assertEqual(120, shares.totals[claimant_key(ALPHA)])
        self.assertAlmostEqual(100.0 * OVERCOMMIT_FACTOR / 2, shares.level)

    def test_the_floor_does_not_depend_on_the_demand_of_others(self) -> None:
        for items in (10, 1_000, 100_000):
            others = [service_claims(demand(BETA, items)), service_claims(demand(GAMMA, items))]
            shares = share_places(90.0, service_claims(demand(ALPHA, 40)), others)
            self.assertGreaterEqual(shares.level, shares.floor)
            self.assertEqual(30.0, shares.floor)

    def test_aggregated_claims_do_not_overcommit(self) -> None:
        random_numbers = random.Random(5)
        tenants = [Claimant(f"t{n}", "h/m") for n in range(1_000)]
        asked = {tenant: random_numbers.randint(1, 40) for tenant in tenants}
        nodes = [tenants[n::6] for n in range(6)]
        announced = [service_claims(*(demand(t, asked[t]) for t in node)) for node in nodes]
        shares = share_places(4_800.0, announced[0], announced[1:])
        exact = fair_level(
            4_800.0 * OVERCOMMIT_FACTOR, [(1, float(items)) for items in asked.values()]
        )
        self.assertEqual(1_000, shares.claimants)
        self.assertEqual(sum(asked.values()), shares.items)
        given = sum(min(items, shares.level) for items in asked.values())
        self.assertLessEqual(given, 4_800.0 * OVERCOMMIT_FACTOR)
        self.assertLess(shares.level, exact)
