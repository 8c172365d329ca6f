"""What admission says of a request: it has its place, it waits, or it is refused.

Owns these types and their reasons, which are on logs and metrics.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.gateway.admission.fair_queue import AdmissionRequest, QueueEntry


class RejectionReason(StrEnum):
    """Why a request is refused before any worker got it."""

    TOO_LATE = "too_late"
    """It would start too late for an answer within its target, or within its deadline."""
    QUEUE_FULL = "queue_full"
    """As many wait as are allowed, whenever they start."""
    NO_WORKER = "no_worker"
    """The service has no worker at present."""
    STOPPING = "stopping"
    """This node stops, and its listeners close."""


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What a request in the queue is judged by. Times are in seconds.

    Attributes
    ----------
    ahead
        Requests that start before it.
    ahead_of_tenant
        Those of its own tenant that wait, in whatever order.
    wait_seconds
        Until it starts.
    allowed_seconds
        How long it may still wait.
    limit
        Bound on what is under way at the service.
    """

    ahead: int
    ahead_of_tenant: int
    wait_seconds: float
    allowed_seconds: float
    in_flight: int
    limit: float

    @property
    def in_time(self) -> bool:
        """Whether it is worth waiting."""
        return self.wait_seconds <= self.allowed_seconds


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may start at once, and keeps a place of its service until it ends."""

    request: AdmissionRequest


@dataclass(frozen=True, slots=True)
class Queued:
    """A request waits."""

    waiting: QueueEntry
    wait_estimate: WaitEstimate


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is refused; no worker got it, and none will."""

    reason: RejectionReason
    retry_after_seconds: float
    wait_estimate: WaitEstimate


Decision = Admitted | Queued | Rejection
