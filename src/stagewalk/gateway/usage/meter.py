"""Counts what began to run at this process, by window and tenant. Pure.

Owns this process's counts and which of them no record holds yet; relies on its caller for the time
of day (`usage.wall_clock`).
"""

from __future__ import annotations

from collections import Counter

from stagewalk.gateway.usage.records import UsageCounted

KEPT_WINDOWS = 12
"""Windows whose counts are kept; later counts come after their window's report."""


def window_of(wall: float, window_seconds: float) -> int:
    """Return the number of the window that a time of day, in seconds since 1970, lies in."""
    return int(wall // window_seconds)


class UsageMeter:
    """The counts of one process.

    Records hold the sum so far of a window, so one that comes twice or late changes nothing.

    Parameters
    ----------
    process
        Identity of this start of the process.
    """

    def __init__(self, process: str, window_seconds: float) -> None:
        self._process = process
        self._window_seconds = window_seconds
        self._counts: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()

    @property
    def changed(self) -> bool:
        """Whether there are counts that no record holds."""
        return bool(self._changed)

    def count(self, tenant: str, wall: float) -> None:
        """Count a request that began to run at a time of day."""
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
