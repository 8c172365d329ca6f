"""Retry delays for rejected requests. Pure.

If all rejected callers retried at the same moment, most would be rejected again. So each gets a
random delay within the time that the recently rejected requests need to start, and more urgent ones
get shorter delays. Rejections aren't stored per caller: a retry has a new request id, so it can't
be matched to the earlier request and is judged like any other.
"""

from __future__ import annotations

import random

from stagewalk.gateway.admission.recent_values import RecentCount

MINIMUM_RETURN_SECONDS = 0.05
"""Shortest delay; connecting again takes the caller some of it."""

MAXIMUM_SHARE_OF_TIME_LEFT = 0.33
"""Maximum delay as a share of the time left until the deadline: the rest is for queueing, the
answer and up to two further retries."""

CAPPED_SPREAD_SHARE = 0.5
"""Delays that would exceed that maximum are spread over this last part of it."""


class ReturnTimes:
    """Chooses the retry delays for one service, by its recent rejections."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refused: dict[int, RecentCount] = {}
        """By urgency."""

    def choose(
        self,
        urgency: int,
        *,
        excess_wait_seconds: float,
        seconds_per_start: float,
        remaining_seconds: float,
        now: float,
    ) -> float:
        """Record a rejection, and return the seconds after which its caller may retry.

        Parameters
        ----------
        excess_wait_seconds
            By how much the expected wait exceeded the allowed one.
        seconds_per_start
            Expected time between two starts.
        remaining_seconds
            Time until the caller's deadline.
        """
        count = self._refused.setdefault(urgency, RecentCount())
        count.add(now)
        before = sum(c.value(now) for u, c in self._refused.items() if u < urgency)
        earliest = max(MINIMUM_RETURN_SECONDS, excess_wait_seconds, before * seconds_per_start)
        span = max(MINIMUM_RETURN_SECONDS, count.value(now) * seconds_per_start)
        seconds = earliest + span * self._rng.random()
        most = MAXIMUM_SHARE_OF_TIME_LEFT * max(0.0, remaining_seconds)
        if seconds <= most:
            return seconds
        return max(MINIMUM_RETURN_SECONDS, most * (1.0 - CAPPED_SPREAD_SHARE * self._rng.random()))
