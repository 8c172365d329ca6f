"""Decides when a window's usage is summed, stored and sent. Pure.

Only the lease holder decides. The sum of a window is stored once, under the holder's fencing token,
and every holder sends the stored counts. So all reports of a window are equal, also after lost
answers and changes of the holder. The caller stores and sends the reports.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.gateway.ports.duties import DutyOutcome
from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import window_of

SUM_DELAY_SECONDS = 3.5
"""Delay from a window's end until it is summed: counts are in the log within 0.3 s, or within 2 s
if a node has to append them through another node."""

POSTED_SECONDS = 1.5
"""Time after a window's end by which all its counts are in the log: 1.0 s for requests that are
still running and not counted yet, and 0.3 s until counts are appended."""

RESERVE_SECONDS = 2.0
"""This long before the due time, a window is summed from the known counts even if the view is not
current, so that time is left for retries."""

RETRY_SECONDS = 0.4
"""Pause between two attempts to send a report."""

MAXIMUM_WINDOWS_BEHIND = 24
"""Windows older than this number of windows are not reported any more."""


@dataclass(frozen=True, slots=True)
class WriteReport:
    """Store a window's counts under the holder's fencing token."""

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a window's counts exactly as they were stored."""

    window: int
    counts: dict[str, int]


@dataclass(slots=True)
class _Report:
    counts: dict[str, int]
    delivered: bool = False
    under_way: bool = False
    not_before: float = -math.inf


@dataclass(slots=True)
class UsageReporting:
    """This process's view of the reports of the latest windows.

    Attributes
    ----------
    window_seconds
        Length of a window.
    due_seconds
        How long after a window's end its report is due.
    """

    window_seconds: float
    due_seconds: float
    _reports: dict[int, _Report] = field(default_factory=dict)
    _start_window: int | None = None
    """The first window to report if no report is stored."""

    def apply_written_report(self, window: int, counts: dict[str, int]) -> None:
        """Apply a stored report; later ones of the same window are ignored."""
        self._reports.setdefault(window, _Report(counts))
        for old in sorted(self._reports)[:-MAXIMUM_WINDOWS_BEHIND]:
            del self._reports[old]

    def decide(
        self, account: UsageAccount, wall: float, now: float, complete_until: float
    ) -> list[WriteReport | SendReport]:
        """Return the reports to store and to send now.

        Parameters
        ----------
        wall, now
            Times of the wall clock and of the steady clock, in seconds.
        complete_until
            Wall-clock time up to which the view of the counts is complete.
        """
        steps: list[WriteReport | SendReport] = []
        window = self._next_window(account, wall)
        while self._may_sum(window, wall, complete_until):
            steps.append(WriteReport(window, account.total(window)))
            window += 1
        return [*steps, *self._reports_to_send(wall, now)]

    def mark_sending(self, window: int) -> None:
        """Record that a report is being sent."""
        self._reports[window].under_way = True

    def sent(self, window: int, outcome: DutyOutcome, now: float) -> None:
        """Record the outcome of sending a report."""
        report = self._reports.get(window)
        if report is None:
            return
        report.under_way = False
        report.delivered = report.delivered or outcome is DutyOutcome.DONE
        report.not_before = now + RETRY_SECONDS

    def _next_window(self, account: UsageAccount, wall: float) -> int:
        current = window_of(wall, self.window_seconds)
        if self._reports:
            first = max(self._reports) + 1
        else:
            if self._start_window is None:
                self._start_window = current
            counted = account.first_window
            first = self._start_window if counted is None else min(counted, self._start_window)
        return max(first, current - MAXIMUM_WINDOWS_BEHIND)

    def _may_sum(self, window: int, wall: float, complete_until: float) -> bool:
        end = (window + 1) * self.window_seconds
        latest = self.due_seconds - RESERVE_SECONDS
        complete = complete_until >= end + POSTED_SECONDS
        return wall - end >= latest or (complete and wall - end >= min(SUM_DELAY_SECONDS, latest))

    def _reports_to_send(self, wall: float, now: float) -> list[SendReport]:
        oldest = window_of(wall - self.due_seconds, self.window_seconds) - 1
        return [
            SendReport(window, report.counts)
            for window, report in sorted(self._reports.items())
            if window >= oldest
            and not report.delivered
            and not report.under_way
            and now >= report.not_before
        ]
