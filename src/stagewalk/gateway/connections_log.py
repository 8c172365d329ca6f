"""Tells the log from time to time what connections to workers were opened for, and why.

Owns what was told before. Relies on the client's counts since the process's start.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose

LOG_SECONDS = 10.0
"""Between two lines, so that a busy node's connections cost it no line each."""


class ConnectionsLog:
    """Writes a line with the connections that were opened since the last one, if there are any."""

    def __init__(self, opened: Callable[[], Counter[tuple[SendPurpose, ConnectionReason]]]) -> None:
        self._opened = opened
        self._told: Counter[tuple[SendPurpose, ConnectionReason]] = Counter()
        self._next_at = 0.0

    def write(self, now: float) -> None:
        """Write the line if it is time to."""
        if now < self._next_at:
            return
        self._next_at = now + LOG_SECONDS
        opened = self._opened()
        news = opened - self._told
        if not news:
            return
        self._told = opened
        counts = (f"{use}/{reason}:{n}" for (use, reason), n in sorted(news.items()))
        log_event("connections_opened", count=news.total(), by=",".join(counts))
