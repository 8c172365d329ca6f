"""The recent peak of a service's open items. Pure.

It is the maximum over a sliding window of `PEAK_RETENTION_SECONDS`.
"""

from __future__ import annotations

from collections import deque

PEAK_RETENTION_SECONDS = 120.0
"""How long a peak counts. If a worker is released too early, a step is delayed by the boot time of
its replacement."""


class Demand:
    """The maximum of open items over the retention time."""

    def __init__(self) -> None:
        self._peaks: deque[tuple[float, int]] = deque()
        """Times and counts, with strictly decreasing counts."""

    def record(self, open_items: int, now: float) -> None:
        """Record how many items are open now."""
        while self._peaks and self._peaks[-1][1] <= open_items:
            self._peaks.pop()
        self._peaks.append((now, open_items))
        while now - self._peaks[0][0] > PEAK_RETENTION_SECONDS:
            self._peaks.popleft()

    @property
    def peak(self) -> int:
        """Return the most items that were open at once."""
        return self._peaks[0][1] if self._peaks else 0
