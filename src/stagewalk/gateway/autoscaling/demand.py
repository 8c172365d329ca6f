"""How many items of a service were open at a time lately. Pure.

Owns the peaks of the last `PEAK_RETENTION_SECONDS`; relies on its caller for the counts.
"""

from __future__ import annotations

from collections import deque

PEAK_RETENTION_SECONDS = 120.0
"""How long a peak counts: a worker that is given back is missed for its time to boot when the load
returns, as after a minute in which trainers fell behind. Two minutes of one that isn't needed cost
less than a late step."""


class Demand:
    """The peak of open items over a time."""

    def __init__(self) -> None:
        self._peaks: deque[tuple[float, int]] = deque()
        """Times and counts; the counts fall from left to right."""

    def record(self, open_items: int, now: float) -> None:
        """Record how many items are open now."""
        while self._peaks and self._peaks[-1][1] <= open_items:
            self._peaks.pop()
        self._peaks.append((now, open_items))
        while now - self._peaks[0][0] > PEAK_RETENTION_SECONDS:
            self._peaks.popleft()

    @property
    def peak(self) -> int:
        """Return the most items that were open at a time."""
        return self._peaks[0][1] if self._peaks else 0
