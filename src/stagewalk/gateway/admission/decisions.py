"""Outcomes of an admission decision: admitted, queued or rejected.

The values of `RejectionReason` appear in logs and metrics.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.gateway.admission.fair_queue import AdmissionRequest, QueueEntry


class RejectionReason(StrEnum):
    """Why a request is rejected before it is sent to any worker."""

    TOO_LATE = "too_late"
    """It would start too late to be answered within its target or its deadline."""
    QUEUE_FULL = "queue_full"
    """The queue holds the maximum number of requests."""
    NO_WORKER = "no_worker"
    """The service currently has no worker."""
    STOPPING = "stopping"
    """This node is shutting down."""


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """The estimate by which a request is queued or rejected. Times are in seconds.

    Attributes
    ----------
    ahead
        Queued requests that start before it.
    ahead_of_tenant
        Queued requests of its own tenant, whether they start before it or not.
    wait_seconds
        Expected time until it starts.
    allowed_seconds
        How long it may still wait.
    in_flight
        Requests of this node in flight at the service.
    limit
        Concurrency limit of this node at the service.
    """

    ahead: int
    ahead_of_tenant: int
    wait_seconds: float
    allowed_seconds: float
    in_flight: int
    limit: float

    @property
    def in_time(self) -> bool:
        """Whether the expected wait is within the allowed one."""
        return self.wait_seconds <= self.allowed_seconds


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may start at once; it counts as in flight at its service until it ends."""

    request: AdmissionRequest


@dataclass(frozen=True, slots=True)
class Queued:
    """A request waits in the queue."""

    waiting: QueueEntry
    wait_estimate: WaitEstimate


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is rejected; it has not been sent to any worker."""

    reason: RejectionReason
    retry_after_seconds: float
    wait_estimate: WaitEstimate


Decision = Admitted | Queued | Rejection
