"""Logs periodically how many connections to workers were opened, by purpose and reason.

Owns the counts logged so far. Relies on the worker client's counts since the process's start.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose

LOG_INTERVAL_SECONDS = 10.0
"""Minimum interval between two lines; limits the log volume of a busy node."""


class ConnectionsLog:
    """Logs the connections opened since the previous line, if there are any."""

    def __init__(self, opened: Callable[[], Counter[tuple[SendPurpose, ConnectionReason]]]) -> None:
        self._opened = opened
        self._logged: Counter[tuple[SendPurpose, ConnectionReason]] = Counter()
        self._next_at = 0.0

    def write(self, now: float) -> None:
        """Write a line if the interval is over and new connections were opened."""
        if now < self._next_at:
            return
        self._next_at = now + LOG_INTERVAL_SECONDS
        opened = self._opened()
        added = opened - self._logged
        if not added:
            return
        self._logged = opened
        counts = (f"{use}/{reason}:{n}" for (use, reason), n in sorted(added.items()))
        log_event("connections_opened", count=added.total(), by=",".join(counts))
