"""Rate limit for log lines: a token bucket for each kind of event.

Lines of level `warning` and above have buckets of their own and, when these are empty, use the
ordinary ones, so that failures are not dropped in favour of successes. Counts events and dropped
lines for metrics.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

LINES_PER_SECOND = 40.0
"""Sustained rate of lines below `warning`, for one kind of event."""

BURST_LINES = 400.0
"""Burst of such lines: a batch starts several hundred items at once."""

FAILURE_LINES_PER_SECOND = 100.0
FAILURE_BURST_LINES = 1_000.0
"""The same for lines of level `warning` and above."""

MAXIMUM_EVENT_KINDS = 256
"""Kinds of events with buckets of their own; any further ones share one."""

OTHER_EVENT_KINDS = "other"


@dataclass(slots=True)
class _Bucket:
    per_second: float
    capacity: float
    tokens: float
    refilled_at: float

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        gained = max(0.0, now - self.refilled_at) * self.per_second
        self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LogBudget:
    """Decides which lines are written. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._ordinary: dict[str, _Bucket] = {}
        self._failures: dict[str, _Bucket] = {}
        self._dropped: Counter[str] = Counter()
        self._events: Counter[tuple[str, bool]] = Counter()

    @property
    def events(self) -> dict[tuple[str, bool], int]:
        """Return the number of events by kind and by whether they were failures.

        Events whose lines were dropped are included.
        """
        return dict(self._events)

    def allows(self, event: str, failure: bool, now: float) -> bool:
        """Count an event; return whether its line may be written now."""
        kind = event
        if event not in self._ordinary and len(self._ordinary) >= MAXIMUM_EVENT_KINDS:
            kind = OTHER_EVENT_KINDS
        self._events[(kind, failure)] += 1
        if failure and self._failure_bucket(kind, now).take(now):
            return True
        if self._ordinary_bucket(kind, now).take(now):
            return True
        self._dropped[kind] += 1
        return False

    def record_lost(self, event: str) -> None:
        """Count a line that was allowed, but dropped by the writer."""
        self._dropped[event] += 1

    def pop_dropped_counts(self) -> dict[str, int]:
        """Return how many lines of each kind were dropped since the last call."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped

    def _ordinary_bucket(self, kind: str, now: float) -> _Bucket:
        bucket = self._ordinary.get(kind)
        if bucket is None:
            bucket = _Bucket(LINES_PER_SECOND, BURST_LINES, BURST_LINES, now)
            self._ordinary[kind] = bucket
        return bucket

    def _failure_bucket(self, kind: str, now: float) -> _Bucket:
        bucket = self._failures.get(kind)
        if bucket is None:
            capacity = FAILURE_BURST_LINES
            bucket = _Bucket(FAILURE_LINES_PER_SECOND, capacity, capacity, now)
            self._failures[kind] = bucket
        return bucket
