"""How many log lines may be written: a pure token bucket for each kind of event.

A line about a failure is never dropped before one about a success: lines of level `warning` and
above have a budget of their own, and when it is spent they use the rest of the ordinary one. Owns
the counts of events and of dropped lines, which metrics show.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

LINES_PER_SECOND = 40.0
"""Ordinary lines of one kind of event, in the long run."""

BURST_LINES = 400.0
"""Ordinary lines of one kind at once: a batch of some hundred items opens in one moment."""

FAILURE_LINES_PER_SECOND = 100.0
FAILURE_BURST_LINES = 1_000.0
"""The same for lines of level `warning` and above."""

MAXIMUM_EVENT_KINDS = 256
"""Kinds of events counted separately; any further ones share a budget."""

OTHER_EVENT_KINDS = "other"


@dataclass(slots=True)
class _Bucket:
    per_second: float
    most: float
    level: float
    refilled_at: float

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        gained = max(0.0, now - self.refilled_at) * self.per_second
        self.level = min(self.most, self.level + gained)
        self.refilled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
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
        """Whether a line may be written now; one that may not is counted."""
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
        """Count a line that was allowed but found no room at the writer."""
        self._dropped[event] += 1

    def pop_dropped_counts(self) -> dict[str, int]:
        """Return how many lines of each kind were dropped since this was last asked."""
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
            most = FAILURE_BURST_LINES
            bucket = _Bucket(FAILURE_LINES_PER_SECOND, most, most, now)
            self._failures[kind] = bucket
        return bucket
