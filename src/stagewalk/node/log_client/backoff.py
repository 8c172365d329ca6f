"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Waits that double with each failure up to a bound, drawn from the upper half of each."""

    def __init__(self, generator: random.Random, initial: float, maximum: float) -> None:
        self._generator = generator
        self._initial = initial
        self._maximum = maximum
        self._next = initial

    def reset(self) -> None:
        """Start again from the initial wait after a success."""
        self._next = self._initial

    def draw(self) -> float:
        """Return the next wait in seconds."""
        wait = self._next
        self._next = min(self._maximum, 2.0 * wait)
        return self._generator.uniform(0.5, 1.0) * wait
