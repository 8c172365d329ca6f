"""Time of day that does not follow a clock which jumps and returns. Pure.

Owns the offsets between the two clocks; relies on its caller to read both.
"""

from __future__ import annotations

from collections import deque
from statistics import median_low

SAMPLES = 120
"""A minute of samples: a jump counts once it has lasted for more than half of them."""

SAMPLE_SECONDS = 0.5
"""Least time between two samples."""


class WallClock:
    """Time of day by the steady clock, with the median of the offsets seen between the two."""

    def __init__(self, wall: float, steady: float) -> None:
        self._offsets = deque([wall - steady], maxlen=SAMPLES)
        self._offset = wall - steady
        self._sampled_at = steady

    def sample(self, wall: float, steady: float) -> None:
        """Record a reading of both clocks, in seconds, unless it comes within `SAMPLE_SECONDS` of
        the last one."""
        if steady - self._sampled_at < SAMPLE_SECONDS:
            return
        self._sampled_at = steady
        self._offsets.append(wall - steady)
        self._offset = median_low(self._offsets)

    def at(self, steady: float) -> float:
        """Return the time of day, in seconds since 1970, of a time of the steady clock."""
        return steady + self._offset
