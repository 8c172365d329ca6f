"""Distances of zones, and regions allowed by several parties."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import Placement
from stagewalk.gateway.workers.placement_costs import DISTANCE_COST, distance_cost
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.allowed_regions import allowed_regions, allows
from stagewalk.gateway.zones.distance import Distance, Proximity
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement


class ProximityTests(testtools.TestCase):
    def test_distances_and_their_costs(self) -> None:
        distances = [NEAR_Z1.distance(zone) for zone in ("z1", "z2", "z3")]
        self.assertEqual(
            [Distance.SAME_ZONE, Distance.SAME_REGION, Distance.OTHER_REGION], distances
        )
        workers = [Worker(announcement("w", zone=zone), 0.0) for zone in ("z1", "z2", "z3")]
        costs = [distance_cost(NEAR_Z1, worker) for worker in workers]
        self.assertEqual(sorted(DISTANCE_COST.values()), costs)

    def test_a_zone_missing_from_the_settings(self) -> None:
        alone = Proximity(Placement("r1", "z1"), {})
        self.assertEqual(Distance.SAME_REGION, alone.distance("z7"))
        self.assertIsNone(alone.region_of("z7"))
        self.assertEqual("r1", alone.region_of("z1"))


class SelectionByDistanceTests(testtools.TestCase):
    """Choice between two workers with six slots, one in this region and one in another."""

    def chosen(self, local: int, remote: int) -> str:
        workers = [
            Worker(announcement(name, zone=zone, slots=6), 0.0, in_flight=running)
            for name, zone, running in (("local", "z1", local), ("remote", "z3", remote))
        ]
        chosen = choose_worker(workers, 0.0, NEAR_Z1)
        assert chosen is not None
        return chosen.announcement.worker

    def test_requests_stay_in_the_region_while_it_has_capacity(self) -> None:
        self.assertEqual("local", self.chosen(1, 0))

    def test_requests_leave_the_region_rather_than_queue(self) -> None:
        self.assertEqual("remote", self.chosen(6, 0))
        self.assertEqual("local", self.chosen(6, 6))


class AllowedRegionsTests(testtools.TestCase):
    def test_allowed_regions_are_those_that_all_parties_allow(self) -> None:
        self.assertIsNone(allowed_regions((), frozenset()))
        self.assertEqual({"r1", "r2"}, allowed_regions({"r1", "r2"}, ()))
        self.assertEqual({"r2"}, allowed_regions({"r1", "r2"}, {"r2"}))
        self.assertEqual(frozenset(), allowed_regions({"r1"}, {"r2"}))

    def test_an_unknown_region_is_allowed_only_if_any_region_is(self) -> None:
        self.assertTrue(allows(None, None))
        self.assertFalse(allows(frozenset({"r1"}), None))
        self.assertFalse(allows(frozenset(), "r1"))
