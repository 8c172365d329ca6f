"""Delay after which a slow request is hedged: sent to a second worker as well. Pure.

Used for forwarded requests and score calls. Whether a request may be hedged at all is decided by
`ForwardedRequest.may_hedge`.
"""

from __future__ import annotations

from stagewalk.gateway.routes.route import Route

HEDGE_LATENCIES = 4.0
"""Multiple of a worker's usual latency after which a request is hedged."""

HEDGE_MINIMUM_SECONDS = 0.05
"""Minimum delay, however fast the worker usually is."""

HEDGE_TARGET_SHARE = 0.45
"""Maximum delay, as a share of the route's target latency; leaves the larger share to the hedged
attempt."""


def hedge_delay(route: Route, usual_latency: float | None) -> float:
    """Return after how many seconds without an answer a request is hedged.

    Parameters
    ----------
    usual_latency
        Smoothed latency of the worker, in seconds; None if unknown.
    """
    latest = HEDGE_TARGET_SHARE * route.target_seconds
    if usual_latency is None:
        return latest
    return min(latest, max(HEDGE_MINIMUM_SECONDS, HEDGE_LATENCIES * usual_latency))
