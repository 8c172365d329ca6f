"""Port of the platform's duties: calls made by one node at a time, under its fencing token."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class DutyOutcome(StrEnum):
    """Outcome of a duty call."""

    DONE = "done"
    CONFLICT = "conflict"
    """A higher fence was seen, or none of the ordered workers are available now."""
    REFUSED = "refused"
    """Nothing was done: throttled or down."""
    REJECTED = "rejected"
    """The platform does not support the call."""
    UNKNOWN = "unknown"
    """No answer: the call may have been executed, or may still be, seconds later."""


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Identity of the calling process, and the fence of its lease."""

    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The number of requests started by each tenant in a window; windows are numbered from 1970."""

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True, order=True)
class WorkerGroup:
    """Workers that are ordered together.

    Attributes
    ----------
    spot
        Whether they are spot workers: cheaper, but the platform may reclaim them.
    """

    service: str
    zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """An order that sets the number of workers of a group."""

    group: WorkerGroup
    count: int


class DutyClient(Protocol):
    """Calls of the platform by the lease holder."""

    async def report_usage(self, holder: DutyHolder, report: UsageReport) -> DutyOutcome:
        """Report a window's usage; an identical repeat has no effect."""

    async def request_worker_count(self, holder: DutyHolder, order: WorkerOrder) -> DutyOutcome:
        """Set the number of workers of a group."""
