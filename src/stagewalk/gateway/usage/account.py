"""Aggregates usage records of all processes by window and tenant. Pure."""

from __future__ import annotations

from collections import Counter

from stagewalk.gateway.usage.records import UsageCounted

KEPT_WINDOWS = 60
"""Number of windows kept: the log's history of 300 s in windows of 5 s."""


class UsageAccount:
    """Usage sums by window and tenant."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, dict[str, int]]] = {}
        """Counts by tenant, keyed by window and process."""

    @property
    def first_window(self) -> int | None:
        """Return the oldest window with counts, None if there is none."""
        return min(self._windows, default=None)

    def apply(self, record: UsageCounted) -> None:
        """Apply a record; for each process and window, the one with the largest sum is kept."""
        processes = self._windows.setdefault(record.window, {})
        known = processes.get(record.process, {})
        if sum(record.counts.values()) >= sum(known.values()):
            processes[record.process] = record.counts
        for window in sorted(self._windows)[:-KEPT_WINDOWS]:
            del self._windows[window]

    def total(self, window: int) -> dict[str, int]:
        """Return the number of requests started in a window, by tenant."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
