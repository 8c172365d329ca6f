"""When callers that were refused a place are asked to return. Pure.

Answers refused callers that would all come back at the same moment and be refused again. Each is
told a random time within the span in which those refused lately can start, the more urgent ones in
an earlier span. Nothing remembers who was refused: a caller's next try has an id of its own, and
nobody can be told from another caller by it. So the next try is a draw like the first, which each
tenant wins in its turn; no one is refused for ever.
Owns the times, in seconds; relies on `admission.recent_values` and a random generator.
"""

from __future__ import annotations

import random

from stagewalk.gateway.admission.recent_values import RecentCount

MINIMUM_RETURN_SECONDS = 0.05
"""Shortest time: a new connection of the caller takes some of it."""

MAXIMUM_SHARE_OF_TIME_LEFT = 0.33
"""Most of its time left that a caller is asked to spend: it needs the rest to wait and be served,
and may try again twice."""

LATEST_SPREAD = 0.5
"""Where that bound is in the way, the times are spread over this last part of it."""


class ReturnTimes:
    """Chooses the times of one service, by who was refused there of late."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refused: dict[int, RecentCount] = {}
        """By urgency."""

    def choose(
        self,
        urgency: int,
        *,
        too_long_seconds: float,
        seconds_per_start: float,
        left_seconds: float,
        now: float,
    ) -> float:
        """Count a refusal, and return after how many seconds its caller may return.

        Parameters
        ----------
        too_long_seconds
            By how much the queue was too long for it.
        seconds_per_start
            Expected time between two starts.
        left_seconds
            Until the caller's deadline.
        """
        count = self._refused.setdefault(urgency, RecentCount())
        count.add(now)
        before = sum(c.value(now) for u, c in self._refused.items() if u < urgency)
        earliest = max(MINIMUM_RETURN_SECONDS, too_long_seconds, before * seconds_per_start)
        span = max(MINIMUM_RETURN_SECONDS, count.value(now) * seconds_per_start)
        seconds = earliest + span * self._rng.random()
        most = MAXIMUM_SHARE_OF_TIME_LEFT * max(0.0, left_seconds)
        if seconds <= most:
            return seconds
        return max(MINIMUM_RETURN_SECONDS, most * (1.0 - LATEST_SPREAD * self._rng.random()))
