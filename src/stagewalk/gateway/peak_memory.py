"""Logs new peaks of a process's memory, with its state at that time.

Owns the last logged peak. Relies on the kernel's resource usage of the process.
"""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable, Mapping

from stagewalk.common.logs.lines import log_event

STEP_MEGABYTES = 8.0
"""Minimum increase between two logged peaks, which limits the number of lines."""

KILOBYTES_PER_MEGABYTE = 1_000.0


class PeakMemory:
    """Logs the peak resident memory each time it has grown by `STEP_MEGABYTES`.

    Parameters
    ----------
    peak_kilobytes
        Reads the peak; defaults to that of this process.
    """

    def __init__(self, peak_kilobytes: Callable[[], int] | None = None) -> None:
        self._peak_kilobytes = peak_kilobytes or _own_peak_kilobytes
        self._next_megabytes = 0.0

    def write(self, state: Callable[[], Mapping[str, int]]) -> None:
        """Write a line with the state if there is a new peak."""
        megabytes = self._peak_kilobytes() / KILOBYTES_PER_MEGABYTE
        if megabytes < self._next_megabytes:
            return
        self._next_megabytes = megabytes + STEP_MEGABYTES
        log_event(
            "memory_peaked", "info", megabytes=megabytes, tasks=len(asyncio.all_tasks()), **state()
        )


def _own_peak_kilobytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
