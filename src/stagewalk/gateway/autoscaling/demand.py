"""The recent peak of a service's open items. Pure.

Owns how long a peak counts.
"""

from __future__ import annotations

from collections import deque

HOLD_SECONDS = 120.0
"""A peak counts for so long: a worker that is given back is missed for its time to boot when the
load is back, as after a minute in which trainers fell behind. Two minutes of one that isn't
needed cost less than a step that is late."""


class Demand:
    """The peak of open items over the last `HOLD_SECONDS`."""

    def __init__(self) -> None:
        self._peaks: deque[tuple[float, int]] = deque()
        """Times and counts; the counts fall from left to right."""

    def add(self, open_items: int, now: float) -> None:
        """Add the number of items that are open now."""
        while self._peaks and self._peaks[-1][1] <= open_items:
            self._peaks.pop()
        self._peaks.append((now, open_items))
        while now - self._peaks[0][0] > HOLD_SECONDS:
            self._peaks.popleft()

    @property
    def peak(self) -> int:
        """Return the most items that were open at once."""
        return self._peaks[0][1] if self._peaks else 0
