"""Wall-clock time that ignores temporary jumps of the system clock. Pure.

The caller reads the system clock and the steady clock.
"""

from __future__ import annotations

from collections import deque
from statistics import median_low

SAMPLES = 120
"""Samples kept, one minute: a jump is followed once it lasts for more than half of them."""

SAMPLE_SECONDS = 0.5
"""Minimum time between two samples."""


class WallClock:
    """The steady clock plus the median of its recent offsets to the system clock."""

    def __init__(self, wall: float, steady: float) -> None:
        self._offsets = deque([wall - steady], maxlen=SAMPLES)
        self._offset = wall - steady
        self._sampled_at = steady

    def sample(self, wall: float, steady: float) -> None:
        """Record a reading of both clocks, in seconds, once per `SAMPLE_SECONDS` at most."""
        if steady - self._sampled_at < SAMPLE_SECONDS:
            return
        self._sampled_at = steady
        self._offsets.append(wall - steady)
        self._offset = median_low(self._offsets)

    def at(self, steady: float) -> float:
        """Convert a time of the steady clock to seconds since 1970."""
        return steady + self._offset
