"""Exponential backoff for the reads or the appends of one stream."""

from __future__ import annotations

import random

from stagewalk.node.core.backoff import retry_delay


class Backoff:
    """Counts consecutive failures and computes the delay after each, in seconds."""

    def __init__(self, generator: random.Random, initial: float, maximum: float) -> None:
        self._generator = generator
        self._initial = initial
        self._maximum = maximum
        self._failures = 0

    def reset(self) -> None:
        """Reset to the initial delay after a success."""
        self._failures = 0

    def next_delay(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        self._failures += 1
        return retry_delay(self._initial, self._maximum, self._failures, self._generator.random())
