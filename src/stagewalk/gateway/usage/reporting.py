"""Decides when a window's usage is summed, stored and sent. Pure.

Only the holder of the lease on duties decides. A window is summed once: what was stored under the
holder's fencing token is sent, by the holder of that time, and never summed again. So two reports
of one window are always equal, whatever the outcome of a call or the fate of a holder.

Owns the reports of this process's view and their retries; relies on `usage.account` for the sums
and on its caller for storing and sending.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.gateway.ports.duties import DutyOutcome
from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import window_of

SUM_DELAY_SECONDS = 3.5
"""How long after a window's end it is summed: counts are in the log 0.3 s after a request began,
and a node that is cut off reaches it through another node within 2 s."""

POSTED_SECONDS = 1.5
"""How long after a window's end all its counts are in the log: 1.0 s of requests still under way,
and 0.3 s until they are appended."""

RESERVE_SECONDS = 2.0
"""How long before its due time a report is made from the counts at hand, even if the view of them
is not current: time for a few tries of the call."""

RETRY_SECONDS = 0.4
"""Between two tries at a report: three fit into the reserve."""

MAXIMUM_RECORDS_BEHIND = 24
"""Windows that are further behind are not reported any more."""


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
    """The reports of the latest windows, as this process knows them.

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
    _begins: int | None = None
    """The first window to report where none was stored."""

    def apply_written_report(self, window: int, counts: dict[str, int]) -> None:
        """Apply a stored report; the first one of a window stands."""
        self._reports.setdefault(window, _Report(counts))
        for old in sorted(self._reports)[:-MAXIMUM_RECORDS_BEHIND]:
            del self._reports[old]

    def decide(
        self, account: UsageAccount, wall: float, now: float, seen_to: float
    ) -> list[WriteReport | SendReport]:
        """Return the reports to store and to send now.

        Parameters
        ----------
        wall, now
            The time of day and of the steady clock, in seconds.
        seen_to
            The time of day as of which the view of the counts is complete.
        """
        steps: list[WriteReport | SendReport] = []
        window = self._next_window(account, wall)
        while self._may_sum(window, wall, seen_to):
            steps.append(WriteReport(window, account.total(window)))
            window += 1
        return [*steps, *self._sends(wall, now)]

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
            if self._begins is None:
                self._begins = current
            counted = account.first_window
            first = self._begins if counted is None else min(counted, self._begins)
        return max(first, current - MAXIMUM_RECORDS_BEHIND)

    def _may_sum(self, window: int, wall: float, seen_to: float) -> bool:
        end = (window + 1) * self.window_seconds
        latest = self.due_seconds - RESERVE_SECONDS
        whole = seen_to >= end + POSTED_SECONDS
        return wall - end >= latest or (whole and wall - end >= min(SUM_DELAY_SECONDS, latest))

    def _sends(self, wall: float, now: float) -> list[SendReport]:
        oldest = window_of(wall - self.due_seconds, self.window_seconds) - 1
        return [
            SendReport(window, report.counts)
            for window, report in sorted(self._reports.items())
            if window >= oldest
            and not report.delivered
            and not report.under_way
            and now >= report.not_before
        ]
