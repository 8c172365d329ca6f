"""Processor time of one unit of work: the slope over runs of several lengths.

`slopes` fits the line.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable

from stagewalk.bench.slopes import fit

MICROSECONDS = 1e6


class CpuSlope:
    """Collects runs and computes their slope in microseconds per unit."""

    def __init__(self) -> None:
        self._counts: list[float] = []
        self._seconds: list[float] = []

    def run(self, count: int, work: Callable[[int], None]) -> None:
        """Collect garbage, run `work(count)` and add its processor time."""
        gc.collect()
        began = time.process_time()
        work(count)
        self.add(count, time.process_time() - began)

    def add(self, count: int, seconds: float) -> None:
        """Add a run that was timed elsewhere."""
        self._counts.append(count)
        self._seconds.append(seconds)

    @property
    def microseconds(self) -> float:
        """Return the slope."""
        return fit(self._counts, self._seconds).slope * MICROSECONDS

    @property
    def error(self) -> float:
        """Return the slope's standard error, in microseconds."""
        return fit(self._counts, self._seconds).slope_error * MICROSECONDS
