"""Percentiles of recent first-token delays, which determine the hedge delay."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque


class DelayWindow:
    """A sliding window of delays, also kept sorted so that a percentile is cheap."""

    def __init__(self, size: int) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._size = size

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Add a delay; drop the oldest if the window is full."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > self._size:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def percentile(self, fraction: float) -> float:
        """Return the delay that this fraction does not exceed; 0 if none was measured."""
        if not self._sorted:
            return 0.0
        index = min(len(self._sorted) - 1, int(fraction * len(self._sorted)))
        return self._sorted[index]
