"""The fold of usage records: what began to run in each window over all processes. Pure.

Owns the sums by window, process and tenant; relies on `usage.records` for what one process counted.
"""

from __future__ import annotations

from collections import Counter

from stagewalk.gateway.usage.records import UsageCounted

KEPT_WINDOWS = 60
"""Windows kept: the log's history of 300 s in windows of 5 s."""


class UsageAccount:
    """Sums by window and tenant."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, dict[str, int]]] = {}
        """By window and process."""

    @property
    def first_window(self) -> int | None:
        """Return the oldest window anything was counted in, None if there is none."""
        return min(self._windows, default=None)

    def apply(self, record: UsageCounted) -> None:
        """Apply a record; of one process and window the record with the largest sum counts."""
        processes = self._windows.setdefault(record.window, {})
        known = processes.get(record.process, {})
        if sum(record.counts.values()) >= sum(known.values()):
            processes[record.process] = record.counts
        for window in sorted(self._windows)[:-KEPT_WINDOWS]:
            del self._windows[window]

    def total(self, window: int) -> dict[str, int]:
        """Return what began in a window, by tenant."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
