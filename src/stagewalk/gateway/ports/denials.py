"""Reasons not to send a request to a worker; their values appear in metrics and logs."""

from __future__ import annotations

from enum import StrEnum


class Denial(StrEnum):
    """Why a request may not be sent to a worker."""

    NO_ROUTE = "no_route"
    """The configuration in force has no route for it."""
    DEADLINE_EXCEEDED = "out_of_time"
    """Its deadline passed before its first byte could be sent."""
    VIEW_TOO_OLD = "view_too_old"
    """Its batch may have ended: the view in which it is open is too old."""
    WORKER_LEAVING = "worker_leaving"
    """The worker is draining, or is no longer listed."""
    ZONE_EVACUATED = "zone_evacuated"
    """Operators evacuated the worker's zone."""
    REGION_NOT_ALLOWED = "region_not_allowed"
    """The route or the tenant does not allow the worker's region."""
    COLD_WITHOUT_LEASE = "cold_without_lease"
    """The worker is or may be cold, and this node does not hold its lease."""
    CRASHES_WORKERS = "crashes_workers"
    """Several workers in a row crashed while they ran the request."""
    CRASH_REPORTS_TOO_OLD = "crash_news_too_old"
    """Workers crashed under the request, and whether it is quarantined could not be read."""
    COLD_RATE_REACHED = "cold_rate_reached"
    """The worker is cold, and its request rate is at the limit."""
