"""When a caller may usefully send a request again: what its answer's `Retry-After` says. Pure.

Owns every such time, in seconds. A refused request has spent one of its caller's few attempts, so a
time that is too short uses them up before anything changes, and one that is too long wastes time
in which it could run.
Relies on `ports.denials` for the reasons why a request went to no worker.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from stagewalk.gateway.ports.denials import Denial

DEFAULT_RETRY_AFTER_SECONDS = 0.25
"""For refusals that say nothing about their end: no worker is free, the log does not answer, a view
is too old. Most of these are over within a few hundred milliseconds."""

RETRY_AFTER_SECONDS_BY_DENIAL: Mapping[Denial, float] = {
    Denial.ZONE_EVACUATED: 1.0,
    Denial.REGION_NOT_ALLOWED: 1.0,
    Denial.CRASHES_WORKERS: 15.0,
    Denial.CRASH_REPORTS_TOO_OLD: 1.0,
    Denial.COLD_WITHOUT_LEASE: 0.5,
    Denial.COLD_RATE_REACHED: 0.5,
}
"""Seconds by the reason why no worker might get the request. An evacuation or the loss of a region
lasts for seconds at least: a caller that retried four times a second would use up its attempts
before anything changes. A request that is held back is run once more after 15 s at the earliest
(`quarantine.hold_rule.FIRST_HOLD_SECONDS`). Half of the span over which a cold worker's requests
count is over in 0.5 s, and a lease on one is won in 0.3 s."""


def retry_after_seconds(
    denials: Collection[Denial], otherwise: float = DEFAULT_RETRY_AFTER_SECONDS
) -> float:
    """Return after how many seconds something may have changed, given why each worker was denied.

    Parameters
    ----------
    otherwise
        Seconds if nothing was denied, or for something that is over sooner.
    """
    return min(
        (RETRY_AFTER_SECONDS_BY_DENIAL.get(denial, otherwise) for denial in denials),
        default=otherwise,
    )
