"""The longest recent duration of each route's requests."""

from __future__ import annotations

from stagewalk.gateway.admission.recent_values import SpanMaximum

MAXIMUM_ROUTES = 1_024
"""Operators add and remove routes: those without recent requests are dropped beyond this number."""


class RouteDurations:
    """Durations of requests that a worker answered, by route."""

    def __init__(self) -> None:
        self._longest: dict[str, SpanMaximum] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record how long a request took, from its arrival to the end of its answer."""
        # Inserted anew, so that the first route is the one without requests for longest.
        longest = self._longest.pop(route, None) or SpanMaximum()
        longest.observe(seconds, now)
        self._longest[route] = longest
        if len(self._longest) > MAXIMUM_ROUTES:
            del self._longest[next(iter(self._longest))]

    def longest(self, route: str) -> float | None:
        """Return the longest recent duration in seconds; None if no request was answered."""
        recorded = self._longest.get(route)
        return None if recorded is None else recorded.value
