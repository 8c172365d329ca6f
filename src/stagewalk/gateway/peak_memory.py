"""Tells the log what a process was doing as its memory reached a new peak.

Owns the peak that was told last. Relies on the kernel's account of the process.
"""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable, Mapping

from stagewalk.common.logs.lines import log_event

STEP_MEGABYTES = 8.0
"""A new peak is told once it is this much higher: a dozen lines at most in a process's life."""

KILOBYTES_PER_MEGABYTE = 1_000.0


class PeakMemory:
    """Writes a line each time that the process's largest resident memory has grown by a step.

    Parameters
    ----------
    peak_kilobytes
        Reads the peak; of this process if none is given.
    """

    def __init__(self, peak_kilobytes: Callable[[], int] | None = None) -> None:
        self._peak_kilobytes = peak_kilobytes or _own_peak_kilobytes
        self._next_megabytes = 0.0

    def write(self, state: Callable[[], Mapping[str, int]]) -> None:
        """Write the line if there is a new peak, with the state at that time."""
        megabytes = self._peak_kilobytes() / KILOBYTES_PER_MEGABYTE
        if megabytes < self._next_megabytes:
            return
        self._next_megabytes = megabytes + STEP_MEGABYTES
        log_event(
            "memory_peaked", "info", megabytes=megabytes, tasks=len(asyncio.all_tasks()), **state()
        )


def _own_peak_kilobytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
