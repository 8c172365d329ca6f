"""Rate of the requests that callers send to this node. Pure.

Owns the smoothing. Nodes announce the rate; the sum of a zone's rates determines how many of its
nodes are listed.
"""

from __future__ import annotations

SMOOTHING = 0.5
"""Weight of the newest interval: after three announcements (2.7 s at a listed node), older
intervals have a weight of an eighth."""


class CallRate:
    """Requests a second, smoothed over the intervals between announcements.

    Parameters
    ----------
    now
        Time from which requests are counted, in seconds of the steady clock.
    """

    def __init__(self, now: float) -> None:
        self._counted_at = now
        self._calls = 0
        self._per_second = 0.0

    def count(self) -> None:
        """Count a request."""
        self._calls += 1

    def end_interval(self, now: float) -> float:
        """End an interval and return the rate."""
        seconds = now - self._counted_at
        if seconds > 0.0:
            rate = self._calls / seconds
            self._per_second += SMOOTHING * (rate - self._per_second)
            self._calls, self._counted_at = 0, now
        return self._per_second
