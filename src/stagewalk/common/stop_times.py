"""Times of a planned stop, which both programs derive from the platform's grace period. Pure.

The platform kills a process at the end of its grace period. Each part of a shutdown gets its time
from here, so that all of them end before that. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

EXIT_RESERVE_SECONDS = 1.0
EXIT_RESERVE_SHARE = 0.125
"""Part of the grace period reserved for last answers, cleaning up and the exit of the process: the
smaller of a time and a share of the grace period."""

LAST_ANSWERS_SHARE = 0.25
CLEANUP_SHARE = 0.5
"""Shares of that reserve in which last answers are written, and after which nothing is waited for
any longer. The rest is for the exit."""


@dataclass(frozen=True, slots=True)
class StopTimes:
    """The times of one planned stop.

    Attributes
    ----------
    requested_at
        When the stop was requested.
    grace_seconds
        Time from the request to stop until the process is killed.
    """

    requested_at: float
    grace_seconds: float

    @property
    def requests_end_at(self) -> float:
        """Return when requests that are still in flight are ended."""
        return self.requested_at + self.grace_seconds - self._reserve_seconds

    @property
    def connections_close_at(self) -> float:
        """Return when connections are closed, with the last answers written."""
        return self.requests_end_at + LAST_ANSWERS_SHARE * self._reserve_seconds

    @property
    def cleanup_ends_at(self) -> float:
        """Return when unread answers and pending records are given up."""
        return self.requests_end_at + CLEANUP_SHARE * self._reserve_seconds

    @property
    def _reserve_seconds(self) -> float:
        return min(EXIT_RESERVE_SECONDS, EXIT_RESERVE_SHARE * self.grace_seconds)
