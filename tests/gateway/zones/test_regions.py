"""Distances between zones, and regions that several parties allow."""

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
    def test_zone_region_beyond(self) -> None:
        distances = [NEAR_Z1.distance(zone) for zone in ("z1", "z2", "z3")]
        self.assertEqual(
            [Distance.SAME_ZONE, Distance.SAME_REGION, Distance.OTHER_REGION], distances
        )
        workers = [Worker(announcement("w", zone=zone), 0.0) for zone in ("z1", "z2", "z3")]
        costs = [distance_cost(NEAR_Z1, worker) for worker in workers]
        self.assertEqual(sorted(DISTANCE_COST.values()), costs)

    def test_a_zone_that_the_settings_do_not_name(self) -> None:
        alone = Proximity(Placement("r1", "z1"), {})
        self.assertEqual(Distance.SAME_REGION, alone.distance("z7"))
        self.assertIsNone(alone.region_of("z7"))
        self.assertEqual("r1", alone.region_of("z1"))


class SpillTests(testtools.TestCase):
    """Two workers of six slots: one here, one beyond."""

    def chosen(self, here: int, beyond: int) -> str:
        workers = [
            Worker(announcement(name, zone=zone, slots=6), 0.0, in_flight=running)
            for name, zone, running in (("here", "z1", here), ("beyond", "z3", beyond))
        ]
        chosen = choose_worker(workers, 0.0, NEAR_Z1)
        assert chosen is not None
        return chosen.announcement.worker

    def test_requests_stay_in_the_region_while_there_is_room(self) -> None:
        self.assertEqual("here", self.chosen(1, 0))

    def test_requests_leave_the_region_rather_than_wait(self) -> None:
        self.assertEqual("beyond", self.chosen(6, 0))
        self.assertEqual("here", self.chosen(6, 6))


class HomeTests(testtools.TestCase):
    def test_what_all_parties_allow(self) -> None:
        self.assertIsNone(allowed_regions((), frozenset()))
        self.assertEqual({"r1", "r2"}, allowed_regions({"r1", "r2"}, ()))
        self.assertEqual({"r2"}, allowed_regions({"r1", "r2"}, {"r2"}))
        self.assertEqual(frozenset(), allowed_regions({"r1"}, {"r2"}))

    def test_an_unknown_region_is_allowed_only_where_any_is(self) -> None:
        self.assertTrue(allows(None, None))
        self.assertFalse(allows(frozenset({"r1"}), None))
        self.assertFalse(allows(frozenset(), "r1"))
