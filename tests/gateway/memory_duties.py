"""In-memory fake of the platform's duties, which checks fences and returns scripted outcomes.

Owns the reports and orders received; depends only on the port `gateway.ports.duties`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio.lowlevel

from stagewalk.gateway.ports.duties import (
    DutyHolder,
    DutyOutcome,
    UsageReport,
    WorkerGroup,
    WorkerOrder,
)


@dataclass
class MemoryDuties:
    """Fake `DutyClient` that records reports and orders.

    Attributes
    ----------
    outcomes
        Outcomes of the next calls, in order; calls with outcome `UNKNOWN` are carried out.
    reports
        Accepted reports by window; `conflicting` holds windows with two different reports.
    none_left
        Zones without available workers.
    """

    outcomes: list[DutyOutcome] = field(default_factory=list)
    reports: dict[int, dict[str, int]] = field(default_factory=dict)
    conflicting: set[int] = field(default_factory=set)
    ordered: dict[WorkerGroup, int] = field(default_factory=dict)
    none_left: set[str] = field(default_factory=set)
    holders: list[DutyHolder] = field(default_factory=list)

    async def report_usage(self, holder: DutyHolder, report: UsageReport) -> DutyOutcome:
        """Record a window's usage."""
        outcome = await self._begin(holder)
        if outcome in {DutyOutcome.DONE, DutyOutcome.UNKNOWN}:
            known = self.reports.setdefault(report.window, dict(report.counts))
            if known != report.counts:
                self.conflicting.add(report.window)
        return outcome

    async def request_worker_count(self, holder: DutyHolder, order: WorkerOrder) -> DutyOutcome:
        """Record an order."""
        outcome = await self._begin(holder)
        if outcome is DutyOutcome.DONE and order.group.zone in self.none_left:
            return DutyOutcome.CONFLICT
        if outcome in {DutyOutcome.DONE, DutyOutcome.UNKNOWN}:
            self.ordered[order.group] = order.count
        return outcome

    async def _begin(self, holder: DutyHolder) -> DutyOutcome:
        await anyio.lowlevel.checkpoint()
        if self.holders and holder.fence < max(known.fence for known in self.holders):
            return DutyOutcome.CONFLICT
        self.holders.append(holder)
        return self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
