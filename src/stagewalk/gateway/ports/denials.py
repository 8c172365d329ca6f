"""Reasons for which a request may not be sent to a worker; their values are on metrics and logs."""

from __future__ import annotations

from enum import StrEnum


class Denial(StrEnum):
    """Why a request may not be sent to a worker."""

    NO_ROUTE = "no_route"
    """The configuration in force has no route for it."""
    DEADLINE_EXCEEDED = "out_of_time"
    """Its caller's time was over before its first byte could go."""
    VIEW_TOO_OLD = "view_too_old"
    """Its batch may have ended: the view that showed it as open is too old by now."""
    WORKER_LEAVING = "worker_leaving"
    """It drains, or its entry is gone."""
    ZONE_EVACUATED = "zone_evacuated"
    """Operators asked that nothing be sent to the workers of its zone."""
    REGION_NOT_ALLOWED = "region_not_allowed"
    """The route's requests, or the tenant's, may not be served in its region."""
    COLD_WITHOUT_LEASE = "cold_without_lease"
    """It is cold, or may be, and another node has the right to send to it, or none yet."""
    CRASHES_WORKERS = "crashes_workers"
    """Workers ended one after the other as they ran it."""
    CRASH_REPORTS_TOO_OLD = "crash_news_too_old"
    """Workers ended under it, and whether it is held back by now could not be read."""
    COLD_RATE_REACHED = "cold_rate_reached"
    """It is cold, and gets as many requests a second as it withstands."""
