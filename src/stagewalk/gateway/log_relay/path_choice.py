"""Decides whether a call of the log is sent directly or relayed by another node. Pure.

Inputs: outcomes of earlier calls by either path, and the time. Rule: calls are sent directly unless
the last direct call failed and a relayed call succeeded since; then calls are relayed, and the
direct path is probed at intervals.
"""

from __future__ import annotations

import math

from stagewalk.gateway.ports.partitioned_log import LogFailure, LogFault

PROBE_INTERVAL_SECONDS = 1.0
"""Interval between probes of the direct path while calls are relayed."""

CONCLUSIVE_FAULTS = frozenset(
    {LogFault.CONFLICT, LogFault.OUT_OF_SEQUENCE, LogFault.DROPPED, LogFault.REJECTED}
)
"""Failures reported by the log itself, so that the other path would give the same result."""


class PathChoice:
    """Remembers which path last worked. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._direct_failed_at = -math.inf
        self._relay_worked_at = -math.inf
        self._probed_at = -math.inf

    @property
    def direct_fails(self) -> bool:
        """Whether the last call by the direct path failed."""
        return self._direct_failed_at > -math.inf

    @property
    def relaying(self) -> bool:
        """Whether the relay works and the direct path doesn't."""
        return self._relay_worked_at > self._direct_failed_at > -math.inf

    def direct_first(self, now: float) -> bool:
        """Whether to try the direct path first.

        While calls are relayed, that is once every `PROBE_INTERVAL_SECONDS`.
        """
        if not self.relaying:
            return True
        if now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at = now
        return True

    def record_direct(self, failure: LogFailure | None, now: float) -> bool:
        """Record the outcome of a direct call; return whether it is final."""
        if failure is None or failure.fault in CONCLUSIVE_FAULTS:
            self._direct_failed_at = -math.inf
            return True
        if not self.relaying:
            self._direct_failed_at = now
        return False

    def record_relay(self, worked: bool, now: float) -> None:
        """Record the outcome of a relayed call."""
        self._relay_worked_at = now if worked else -math.inf
