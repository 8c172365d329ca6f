"""The hedge delay follows the worker's usual latency, within bounds."""

from __future__ import annotations

import testtools

from stagewalk.gateway.forwarding.hedging import HEDGE_MINIMUM_SECONDS, hedge_delay
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind

ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, (BackEnd("s", 1.0),), 1.0, 0.2, 2)
LATEST = 0.09
"""0.45 of the route's target of 0.2 s."""


class HedgeDelayTests(testtools.TestCase):
    def test_delay_is_four_usual_latencies(self) -> None:
        self.assertAlmostEqual(0.08, hedge_delay(ROUTE, 0.02))

    def test_delay_has_a_minimum(self) -> None:
        self.assertEqual(HEDGE_MINIMUM_SECONDS, hedge_delay(ROUTE, 0.001))

    def test_delay_is_bounded_by_the_target(self) -> None:
        self.assertAlmostEqual(LATEST, hedge_delay(ROUTE, 5.0))
        self.assertAlmostEqual(LATEST, hedge_delay(ROUTE, None))
