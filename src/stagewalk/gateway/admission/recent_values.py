"""Decaying event counts and sliding maxima, in constant memory. Pure."""

from __future__ import annotations

import math

DECAY_SECONDS = 1.0
"""Time constant of the decay: longer than a short request takes, shorter than a change of load."""

SPAN_SECONDS = 15.0
"""A maximum covers the last one to two spans of this length."""


class RecentCount:
    """An exponentially decaying count of events."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = -math.inf

    def add(self, now: float) -> None:
        """Count an event."""
        self._count = self.value(now) + 1.0
        self._at = now

    def value(self, now: float) -> float:
        """Return the decayed count, about the number of events in the last `DECAY_SECONDS`."""
        return self._count * math.exp(min(0.0, (self._at - now) / DECAY_SECONDS))

    def rate(self, now: float) -> float:
        """Return the events per second."""
        return self.value(now) / DECAY_SECONDS


class SpanMaximum:
    """The largest value of the last one to two spans of `SPAN_SECONDS`."""

    def __init__(self) -> None:
        self._began = -math.inf
        self._current = -math.inf
        self._before = -math.inf

    def observe(self, value: float, now: float) -> None:
        """Record a value."""
        if now - self._began >= SPAN_SECONDS:
            recent = now - self._began < 2.0 * SPAN_SECONDS
            self._before = self._current if recent else -math.inf
            self._current = -math.inf
            self._began = now
        self._current = max(self._current, value)

    @property
    def value(self) -> float:
        """Return the maximum, minus infinity if no value was recorded."""
        return max(self._current, self._before)
