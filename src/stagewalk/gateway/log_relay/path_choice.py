"""Decides whether a call of the log goes straight or through another node. Pure."""

from __future__ import annotations

import math

from stagewalk.gateway.ports.partitioned_log import LogFailure, LogFault

PROBE_SECONDS = 1.0
"""How often the straight way is tried while calls go through another node."""

SETTLED = frozenset(
    {LogFault.CONFLICT, LogFault.OUT_OF_SEQUENCE, LogFault.DROPPED, LogFault.REJECTED}
)
"""Failures that are the log's own answer: another way would bring the same."""


class PathChoice:
    """Remembers which way last worked. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._straight_failed_at = -math.inf
        self._relay_worked_at = -math.inf
        self._probed_at = -math.inf

    @property
    def straight_fails(self) -> bool:
        """Whether the straight way did not work when it was last tried."""
        return self._straight_failed_at > -math.inf

    @property
    def relaying(self) -> bool:
        """Whether another node's way works and the straight one doesn't."""
        return self._relay_worked_at > self._straight_failed_at > -math.inf

    def straight_first(self, now: float) -> bool:
        """Whether to begin with the straight way; now and then it is tried again."""
        if not self.relaying:
            return True
        if now - self._probed_at < PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    def note_straight(self, failure: LogFailure | None, now: float) -> bool:
        """Take the outcome of a straight call; return whether it settles the call."""
        if failure is None or failure.fault in SETTLED:
            self._straight_failed_at = -math.inf
            return True
        if not self.relaying:
            self._straight_failed_at = now
        return False

    def note_relay(self, worked: bool, now: float) -> None:
        """Take the outcome of a call through another node."""
        self._relay_worked_at = now if worked else -math.inf
