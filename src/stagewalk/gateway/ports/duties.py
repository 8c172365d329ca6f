"""Port of the platform's duties: calls that one node at a time makes, under its fencing token."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class DutyOutcome(StrEnum):
    """Outcome of a call."""

    DONE = "done"
    CONFLICT = "conflict"
    """A higher fence was seen, or none of the ordered workers are available now."""
    REFUSED = "refused"
    """Nothing was done: throttled or down."""
    REJECTED = "rejected"
    """The platform knows no such call."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be, seconds later."""


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Identity of the calling process, and the fence of its lease."""

    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """How many requests of each tenant began to run in a window; windows are numbered from 1970."""

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True, order=True)
class WorkerGroup:
    """Workers that are ordered together.

    Attributes
    ----------
    spot
        Whether they are the cheaper kind, which the platform may take away.
    """

    service: str
    zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """Order how many workers a group holds."""

    group: WorkerGroup
    count: int


class DutyClient(Protocol):
    """Calls of the platform by the holder of a duty."""

    async def report_usage(self, holder: DutyHolder, report: UsageReport) -> DutyOutcome:
        """Report a window's usage; an exact repeat changes nothing."""

    async def request_worker_count(self, holder: DutyHolder, order: WorkerOrder) -> DutyOutcome:
        """Order workers."""
