"""Decides when a window's usage is summed, written down and sent. Pure.

Inputs: counts read so far, written reports, the time of day and of the steady clock, in seconds.
Rule: only the holder of the lease on duties decides. A window is summed once: what was written down
under the holder's fence is sent, by the holder at that time, and never summed again. So two reports
of one window are always the same, whatever the outcome of a call or the fate of a holder.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.gateway.ports.duties import DutyOutcome
from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import window_of

GATHER_SECONDS = 3.5
"""How long after a window's end it is summed: counts are in the log 0.3 s after a request began,
and a node that is cut off finds another way to it within 2 s."""

POSTED_SECONDS = 1.5
"""How long after a window's end all its counts are in the log: 1.0 s of requests still under way,
and 0.3 s until they are appended."""

RESERVE_SECONDS = 2.0
"""So long before a report is due it is made from the counts that are known, even if the view of
them is not current: time for a few tries of the call."""

RETRY_SECONDS = 0.4
"""Between two tries at a report: three fit into the reserve."""

MOST_BEHIND = 24
"""Windows that are further behind are left out: their reports are long overdue. Chosen, not
measured."""


@dataclass(frozen=True, slots=True)
class WriteReport:
    """Write a window's counts down under the holder's fence."""

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a window's counts exactly as they were written down."""

    window: int
    counts: dict[str, int]


@dataclass(slots=True)
class _Written:
    counts: dict[str, int]
    delivered: bool = False
    under_way: bool = False
    not_before: float = -math.inf


@dataclass(slots=True)
class UsageReporting:
    """State of the reports, as this process knows them.

    Attributes
    ----------
    window_seconds
        Length of a window.
    due_seconds
        How long after a window's end its report is due.
    """

    window_seconds: float
    due_seconds: float
    _reports: dict[int, _Written] = field(default_factory=dict)
    _begins: int | None = None
    """The first window to report where none was written down."""

    def written(self, window: int, counts: dict[str, int]) -> None:
        """Record a report that was written down; the first one of a window stands."""
        self._reports.setdefault(window, _Written(counts))
        for old in sorted(self._reports)[:-MOST_BEHIND]:
            del self._reports[old]

    def decide(
        self, account: UsageAccount, wall: float, now: float, seen_to: float
    ) -> list[WriteReport | SendReport]:
        """Return what to do now.

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

    def sending(self, window: int) -> None:
        """Record that a report is being sent."""
        self._reports[window].under_way = True

    def sent(self, window: int, outcome: DutyOutcome, now: float) -> None:
        """Record the outcome of a report."""
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
        return max(first, current - MOST_BEHIND)

    def _may_sum(self, window: int, wall: float, seen_to: float) -> bool:
        end = (window + 1) * self.window_seconds
        latest = self.due_seconds - RESERVE_SECONDS
        whole = seen_to >= end + POSTED_SECONDS
        return wall - end >= latest or (whole and wall - end >= min(GATHER_SECONDS, latest))

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
