"""The errors a request can end with.

Each function returns one error, with its text and its Retry-After if it has one.
"""

from __future__ import annotations

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import EngineName, NodeName
from stagewalk.node.requests.record import RequestRecord

STOPPING_RETRY_AFTER_SECONDS = 0.0
"""Retry-After of a stopping node: another node can take the request immediately."""

BUSY_RETRY_AFTER_SECONDS = 1.0
"""Minimum Retry-After of a node or engine without free capacity."""


def deadline_passed(record: RequestRecord, node: NodeName, step: ErrorStep) -> StagewalkError:
    """Return the error of a request whose deadline passed."""
    return StagewalkError(
        ErrorKind.DEADLINE, step, str(node), "the deadline passed", ran=record.ran
    )


def outcome_unknown(step: ErrorStep, peer: str, detail: str) -> StagewalkError:
    """Return the error of a request that may have run and must not run again."""
    return StagewalkError(
        ErrorKind.OUTCOME_UNKNOWN, step, peer, detail, ran=ExecutionStatus.UNKNOWN
    )


def duplicate(node: NodeName, ran: ExecutionStatus) -> StagewalkError:
    """Return the error of a submission whose id belongs to another request."""
    return StagewalkError(
        ErrorKind.DUPLICATE,
        ErrorStep.VALIDATION,
        str(node),
        "another request was sent under this id",
        ran=ran,
        field="request_id",
    )


def stopping(node: NodeName, ran: ExecutionStatus) -> StagewalkError:
    """Return the error of a submission to a node that is about to stop."""
    return StagewalkError(
        ErrorKind.STOPPING,
        ErrorStep.ADMISSION,
        str(node),
        "the node is stopping; send the request to another",
        ran=ran,
        retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
    )


def too_many(node: NodeName, ran: ExecutionStatus, detail: str) -> StagewalkError:
    """Return the error of a submission that exceeds the node's limits."""
    return StagewalkError(
        ErrorKind.OVERLOADED,
        ErrorStep.ADMISSION,
        str(node),
        detail,
        ran=ran,
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS,
    )


def attempt_failed(record: RequestRecord, engine: EngineName, detail: str) -> StagewalkError:
    """Return the error of a request whose last attempt failed at an engine."""
    return StagewalkError(
        ErrorKind.ENGINE_FAILED, ErrorStep.EXECUTION, str(engine), detail, ran=record.ran
    )


def attempt_unsent(record: RequestRecord, engine: EngineName, detail: str) -> StagewalkError:
    """Return the error of a request whose last attempt did not reach an engine."""
    return StagewalkError(
        ErrorKind.UNREACHABLE, ErrorStep.DISPATCH, str(engine), detail, ran=record.ran
    )


def attempt_refused(
    record: RequestRecord, engine: EngineName, detail: str, retry_after_seconds: float | None
) -> StagewalkError:
    """Return the error of a request whose last attempt an engine refused."""
    return StagewalkError(
        ErrorKind.OVERLOADED,
        ErrorStep.DISPATCH,
        str(engine),
        detail,
        ran=record.ran,
        retry_after_seconds=retry_after_seconds or BUSY_RETRY_AFTER_SECONDS,
    )


def shed(node: NodeName, ran: ExecutionStatus, wait_seconds: float) -> StagewalkError:
    """Return the error of a waiting request that can no longer meet its deadline."""
    return StagewalkError(
        ErrorKind.OVERLOADED,
        ErrorStep.ADMISSION,
        str(node),
        "the deadline can't be met any more",
        ran=ran,
        retry_after_seconds=max(BUSY_RETRY_AFTER_SECONDS, wait_seconds),
    )
