"""How current a follower's view of its partition is, and when the log last failed.

Owns when the log counts as lost and as regained for one partition; logs both.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds

LOST_AFTER_FAILURES = 3
"""Number of consecutive failed calls after which the log counts as lost."""

OUTAGE_GAP_SECONDS = 3.0
"""A longer time without an answer counts as an outage, even if no call failed."""


class Freshness:
    """Age of one view. Times are of the steady clock, in seconds.

    Parameters
    ----------
    on_confirm
        Called at each confirmation with the time as of which the view is complete.

    Attributes
    ----------
    confirmed_at
        When the view was last known to be complete.
    disturbed_at
        When a call last failed, or an outage last ended.
    """

    def __init__(
        self, name: str, on_confirm: Callable[[float], None] = lambda _confirmed_at: None
    ) -> None:
        self._name = name
        self._failures = 0
        self.confirmed_at = -math.inf
        self.disturbed_at = -math.inf
        self._on_confirm = on_confirm

    @property
    def name(self) -> str:
        """Return the name of the partition."""
        return self._name

    @property
    def ever_confirmed(self) -> bool:
        """Whether the view was ever complete."""
        return self.confirmed_at > -math.inf

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def age(self, now: float) -> float:
        """Return how long ago the view was complete."""
        return now - self.confirmed_at

    def confirm(self, at: float) -> None:
        """Record that the view was complete at a time."""
        if self._failures >= LOST_AFTER_FAILURES:
            log_event("dependency_regained", dependency=self._name, failures=self._failures)
        if self.ever_confirmed and at - self.confirmed_at > OUTAGE_GAP_SECONDS:
            self.disturbed_at = at
        self._failures = 0
        self.confirmed_at = max(self.confirmed_at, at)
        self._on_confirm(self.confirmed_at)

    def fail(self, detail: str) -> None:
        """Record that a call failed."""
        self._failures += 1
        self.disturbed_at = steady_seconds()
        if self._failures == 1:
            log_event("log_read_failed", partition=self._name, detail=detail)
        if self._failures == LOST_AFTER_FAILURES:
            log_event("dependency_lost", "warning", dependency=self._name, detail=detail)
