"""Processor time of one unit of work: the slope over runs of several lengths.

Owns the runs of one unit; relies on `slopes` for the line through them.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable

from stagewalk.bench.slopes import fit

MICROSECONDS = 1e6


class CpuSlope:
    """Collects runs and gives their slope in microseconds a unit."""

    def __init__(self) -> None:
        self._counts: list[float] = []
        self._seconds: list[float] = []

    def run(self, count: int, work: Callable[[int], None]) -> None:
        """Run `work(count)` with the collector quiet and add its processor time."""
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
