"""Counts the requests started by this process, by window and tenant. Pure.

The caller provides the wall-clock time (`usage.wall_clock`).
"""

from __future__ import annotations

from collections import Counter

from stagewalk.gateway.usage.records import UsageCounted

KEPT_WINDOWS = 12
"""Number of windows kept; counts of older windows would miss their report."""


def window_of(wall: float, window_seconds: float) -> int:
    """Return the number of the window that contains a wall-clock time in seconds since 1970."""
    return int(wall // window_seconds)


class UsageMeter:
    """The usage counts of one process.

    Records hold cumulative counts of a window, so that duplicates and old records have no effect.

    Parameters
    ----------
    process
        Identity of the process, different after each restart.
    """

    def __init__(self, process: str, window_seconds: float) -> None:
        self._process = process
        self._window_seconds = window_seconds
        self._counts: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()

    @property
    def changed(self) -> bool:
        """Whether there are counts that are in no record yet."""
        return bool(self._changed)

    def count(self, tenant: str, wall: float) -> None:
        """Count a request that started at a wall-clock time."""
        window = window_of(wall, self._window_seconds)
        self._counts.setdefault(window, Counter())[tenant] += 1
        self._changed.add(window)

    def take_records(self) -> list[UsageCounted]:
        """Return records of the windows whose counts changed since the last call."""
        records = [
            UsageCounted(self._process, window, dict(self._counts[window]))
            for window in sorted(self._changed)
        ]
        self._changed.clear()
        for window in sorted(self._counts)[:-KEPT_WINDOWS]:
            del self._counts[window]
        return records
