"""When a second worker is tried beside a slow one. Pure.

Owns the delay of hedges, for forwarded requests and for score calls. Inputs, in seconds: the usual
latency of the worker, and the time within which the route's answers have their full worth.
Whether a request may be hedged at all is `ForwardedRequest.may_hedge`.
"""

from __future__ import annotations

from stagewalk.gateway.routes.route import Route

HEDGE_LATENCIES = 4.0
"""A worker this many usual latencies late gets a second one beside it."""

HEDGE_MINIMUM_SECONDS = 0.05
"""Shortest delay, however fast the worker usually is."""

HEDGE_TARGET_SHARE = 0.45
"""The second attempt starts at the latest after this part of the route's target, which leaves the
larger part to it."""


def hedge_delay(route: Route, usual_latency: float | None) -> float:
    """Return after how many seconds without an answer a worker is late.

    Parameters
    ----------
    usual_latency
        Smoothed time of the worker's answers, in seconds; None if it has none.
    """
    latest = HEDGE_TARGET_SHARE * route.target_seconds
    if usual_latency is None:
        return latest
    return min(latest, max(HEDGE_MINIMUM_SECONDS, HEDGE_LATENCIES * usual_latency))
