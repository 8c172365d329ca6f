"""When a caller may usefully send a request again that no worker may get now. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from stagewalk.gateway.ports.denials import Denial

COME_BACK_AFTER: Mapping[Denial, float] = {
    Denial.ZONE_EVACUATED: 1.0,
    Denial.REGION_NOT_ALLOWED: 1.0,
    Denial.CRASHES_WORKERS: 15.0,
    Denial.CRASH_NEWS_TOO_OLD: 1.0,
    Denial.COLD_WITHOUT_LEASE: 0.5,
    Denial.COLD_RATE_REACHED: 0.5,
}
"""An evacuation or the loss of a region lasts for seconds at least: a caller that came back four
times a second would use up its tries before anything changes. A request that is held back is run
once more after 15 s at the earliest. Half of a span over which a cold
worker's requests count is over in 0.5 s, and a lease on one is won in 0.3 s."""


def come_back_seconds(denials: Collection[Denial], otherwise: float) -> float:
    """Return when something may have changed, given why each worker was denied.

    Parameters
    ----------
    otherwise
        What counts if nothing was denied, or something that is over sooner.
    """
    return min((COME_BACK_AFTER.get(denial, otherwise) for denial in denials), default=otherwise)
