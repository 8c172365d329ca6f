"""Exponential backoff of one stream's reads or appends."""

from __future__ import annotations

import random

from stagewalk.node.core.backoff import retry_delay


class Backoff:
    """Counts failures in a row and draws the wait after each, in seconds."""

    def __init__(self, generator: random.Random, initial: float, maximum: float) -> None:
        self._generator = generator
        self._initial = initial
        self._maximum = maximum
        self._failures = 0

    def reset(self) -> None:
        """Start again from the initial wait after a success."""
        self._failures = 0

    def draw(self) -> float:
        """Count a failure and return the wait after it."""
        self._failures += 1
        return retry_delay(self._initial, self._maximum, self._failures, self._generator.random())
