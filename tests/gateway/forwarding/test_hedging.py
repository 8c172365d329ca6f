"""A second worker is tried by the usual latency, within bounds."""

from __future__ import annotations

import testtools

from stagewalk.gateway.forwarding.hedging import HEDGE_MINIMUM_SECONDS, hedge_delay
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind

ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, (BackEnd("s", 1.0),), 1.0, 0.2, 2)
LATEST = 0.09
"""0.45 of the route's target of 0.2 s."""


class HedgeDelayTests(testtools.TestCase):
    def test_four_usual_latencies(self) -> None:
        self.assertAlmostEqual(0.08, hedge_delay(ROUTE, 0.02))

    def test_not_at_once_however_fast_the_worker_is(self) -> None:
        self.assertEqual(HEDGE_MINIMUM_SECONDS, hedge_delay(ROUTE, 0.001))

    def test_early_enough_for_the_target_however_slow_it_is(self) -> None:
        self.assertAlmostEqual(LATEST, hedge_delay(ROUTE, 5.0))
        self.assertAlmostEqual(LATEST, hedge_delay(ROUTE, None))
