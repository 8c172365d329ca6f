"""Error values: each names the step and the peer at which it arose.

Defines the error codes of the public API.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ExecutionStatus(StrEnum):
    """Whether the work behind a failed request may have been executed."""

    NO = "no"
    """Proven: no engine executed any part of it."""
    UNKNOWN = "unknown"
    """An engine may have executed it."""


class ErrorStep(StrEnum):
    """Processing step at which a request, a record or an order failed."""

    VALIDATION = "validation"
    ADMISSION = "admission"
    CLAIM = "claim"
    ROUTING = "routing"
    DISPATCH = "dispatch"
    EXECUTION = "execution"
    DELIVERY = "delivery"
    SCORING = "scoring"
    CONFIGURATION = "configuration"
    LOG_APPEND = "log_append"
    LOG_READ = "log_read"
    ENGINE_ORDER = "engine_order"
    WEIGHTS = "weights"
    PEER = "peer"
    SETTINGS = "settings"


class ErrorKind(StrEnum):
    """Stable error codes, part of the public API."""

    INVALID_REQUEST = "invalid_request"
    UNKNOWN_TENANT = "unknown_tenant"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_LOT = "unknown_lot"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    NO_ENGINE = "no_engine"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENGINE_FAILED = "engine_failed"
    UNREACHABLE = "unreachable"
    STARTING = "starting"
    STOPPING = "stopping"
    REJECTED = "rejected"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class StagewalkError:
    """Error type of every `expression.Result` in this project.

    Attributes
    ----------
    kind
        Stable code.
    step
        Where it arose.
    peer
        The process at which it arose: a node's or engine's name, a service, or `caller`.
    detail
        Description for a person.
    ran
        Whether the request may have been executed.
    field
        Path of the invalid input field, if the input is the cause.
    retry_after_seconds
        Delay after which a retry may succeed, if it is known.
    """

    kind: ErrorKind
    step: ErrorStep
    peer: str
    detail: str
    ran: ExecutionStatus = ExecutionStatus.NO
    field: str | None = None
    retry_after_seconds: float | None = None

    def __str__(self) -> str:
        where = f" field={self.field}" if self.field else ""
        return f"{self.kind} at step={self.step} peer={self.peer}{where}: {self.detail}"
