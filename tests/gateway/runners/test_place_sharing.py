"""Shares are computed from this node's demand and other nodes' claims, and changes are logged."""

from __future__ import annotations

import math
from unittest import mock

import testtools

from stagewalk.gateway.batches.place_demand import ClaimantPlaces, ShareLimitedBatch
from stagewalk.gateway.place_shares.claims import ServiceClaims
from stagewalk.gateway.place_shares.limits import PeerClaims, ShareLimits
from stagewalk.gateway.place_shares.shares import OVERCOMMIT_FACTOR
from stagewalk.gateway.runners.place_sharing import LOG_INTERVAL_SECONDS, PlaceSharing
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.place_shares.support import ALPHA, BETA, SERVICE, claims, demand
from tests.gateway.workers.support import announcement

MODULE = "stagewalk.gateway.runners.place_sharing"
ENGINES, SLOTS = 10, 4
PLACES = ENGINES * SLOTS


class PlaceSharingTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.events: list[tuple[str, dict[str, object]]] = []
        for name, replacement in (
            ("steady_seconds", lambda: self.now),
            ("log_event", lambda event, **fields: self.events.append((event, fields))),
        ):
            patched = mock.patch(f"{MODULE}.{name}", replacement)
            patched.start()
            self.addCleanup(patched.stop)
        self.workers = WorkerTable()
        for n in range(ENGINES):
            self.announce(n)
        self.evacuations = mock.Mock(zones=frozenset())
        self.announced: list[tuple[ServiceClaims, ...]] = []
        self.others: list[tuple[ServiceClaims, ...] | None] = [claims(demand(BETA, 300))]
        self.scheduler = mock.Mock(place_demands=[demand(ALPHA, 200)])
        self.scheduler.withheld.return_value = []
        self.limits = ShareLimits()
        self.sharing = PlaceSharing(
            self.limits,
            nodes=mock.Mock(
                set_claims=self.announced.append,
                claims_of_others=lambda: PeerClaims(self.now, self.others),
            ),
            scheduler=self.scheduler,
            workers=self.workers,
            evacuations=self.evacuations,
        )

    def announce(self, number: int, *, draining: bool = False) -> None:
        entry = announcement(
            f"e{number}", service=SERVICE, zone=f"z{number % 2}", slots=SLOTS, draining=draining
        )
        self.workers.announce(entry, 0.0)

    def maximum_places(self) -> float:
        self.sharing.update()
        return self.limits.most(ALPHA, SERVICE, self.now)

    def logged(self, event: str) -> list[dict[str, object]]:
        return [fields for name, fields in self.events if name == event]

    def test_own_demand_is_announced_and_its_share_applied(self) -> None:
        self.assertAlmostEqual(PLACES * OVERCOMMIT_FACTOR / 2, self.maximum_places())
        self.assertEqual([claims(demand(ALPHA, 200))], self.announced)

    def test_a_node_that_runs_nothing_announces_no_claims(self) -> None:
        self.scheduler.place_demands = []
        self.assertTrue(math.isinf(self.maximum_places()))
        self.assertEqual([()], self.announced)

    def test_removed_engines_reduce_the_shares_at_the_next_update(self) -> None:
        self.maximum_places()
        for n in range(0, ENGINES, 2):
            self.announce(n, draining=True)
        self.assertAlmostEqual(PLACES / 2 * OVERCOMMIT_FACTOR / 2, self.maximum_places())
        self.evacuations.zones = frozenset({"z1"})
        self.assertEqual(1.0, self.maximum_places())

    def test_a_node_of_an_earlier_build_lifts_all_limits(self) -> None:
        self.maximum_places()
        self.others.append(None)
        self.assertTrue(math.isinf(self.maximum_places()))
        self.others.pop()
        self.assertTrue(math.isfinite(self.maximum_places()))

    def test_changes_are_logged_at_a_bounded_rate(self) -> None:
        self.maximum_places()
        self.assertEqual(
            [(True, PLACES, 2, 500)],
            [
                (line["in_force"], line["places"], line["claimants"], line["items"])
                for line in self.logged("place_shares_changed")
            ],
        )
        for n in range(0, ENGINES, 2):
            self.announce(n, draining=True)
        self.maximum_places()
        self.assertEqual(1, len(self.logged("place_shares_changed")))
        self.now += LOG_INTERVAL_SECONDS
        self.maximum_places()
        self.maximum_places()
        self.assertEqual(2, len(self.logged("place_shares_changed")))

    def test_the_end_of_the_shares_is_logged_once(self) -> None:
        self.maximum_places()
        self.now += LOG_INTERVAL_SECONDS
        self.scheduler.place_demands = []
        self.maximum_places()
        self.maximum_places()
        in_force = [line["in_force"] for line in self.logged("place_shares_changed")]
        self.assertEqual([True, False], in_force)

    def test_a_batch_whose_items_wait_for_the_share_is_logged_once_per_interval(self) -> None:
        places = ClaimantPlaces(ALPHA, SERVICE, 21, 179, 21.0)
        self.scheduler.withheld.return_value = [ShareLimitedBatch("b1", 179, places)]
        for _ in range(4):
            self.sharing.update()
            self.now += LOG_INTERVAL_SECONDS / 2
        lines = self.logged("starts_withheld")
        self.assertEqual(2, len(lines))
        self.assertEqual(
            ("b1", ALPHA.trainer, 179, 21, 21.0),
            tuple(
                lines[0][name]
                for name in ("batch", "trainer", "waiting", "taken_places", "most_places")
            ),
        )
