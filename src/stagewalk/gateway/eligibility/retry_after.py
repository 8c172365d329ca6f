"""Values of the `Retry-After` header, in seconds, by the reason of a denial. Pure.

Callers make few attempts: a value that is too short uses them up before anything changes, and one
that is too long delays requests that could already run.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from stagewalk.gateway.ports.denials import Denial

DEFAULT_RETRY_AFTER_SECONDS = 0.25
"""Default, for conditions of unknown duration: no worker is free, the log doesn't answer, a view is
too old. Most of these end within a few hundred milliseconds."""

RETRY_AFTER_SECONDS_BY_DENIAL: Mapping[Denial, float] = {
    Denial.ZONE_EVACUATED: 1.0,
    Denial.REGION_NOT_ALLOWED: 1.0,
    Denial.CRASHES_WORKERS: 15.0,
    Denial.CRASH_REPORTS_TOO_OLD: 1.0,
    Denial.COLD_WITHOUT_LEASE: 0.5,
    Denial.COLD_RATE_REACHED: 0.5,
}
"""Seconds by the reason for a denial. An evacuation or the loss of a region lasts for seconds at
least. A quarantined request is tried again after 15 s at the earliest
(`quarantine.hold_rule.FIRST_HOLD_SECONDS`). In 0.5 s, half of a cold worker's rate window passes,
or a lease on it is acquired."""


def retry_after_seconds(
    denials: Collection[Denial], otherwise: float = DEFAULT_RETRY_AFTER_SECONDS
) -> float:
    """Return the shortest retry delay for the reasons why workers were denied.

    Parameters
    ----------
    otherwise
        Delay if there is no denial, and for reasons without an entry of their own.
    """
    return min(
        (RETRY_AFTER_SECONDS_BY_DENIAL.get(denial, otherwise) for denial in denials),
        default=otherwise,
    )
