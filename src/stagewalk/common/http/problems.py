"""Renders errors as `application/problem+json`: HTTP status, headers and body."""

from __future__ import annotations

import math

import msgspec

from stagewalk.common.errors import ErrorKind, ExecutionStatus, StagewalkError

BODY_FIELD = "body"
PROBLEM_TYPE_PREFIX = "urn:stagewalk:error:"

_STATUS = {
    ErrorKind.INVALID_REQUEST: 400,
    ErrorKind.UNKNOWN_TENANT: 404,
    ErrorKind.UNKNOWN_MODEL: 404,
    ErrorKind.UNKNOWN_LOT: 404,
    ErrorKind.OVER_LIMIT: 429,
    ErrorKind.OVERLOADED: 503,
    ErrorKind.NO_ENGINE: 503,
    ErrorKind.DEADLINE: 504,
    ErrorKind.DUPLICATE: 409,
    ErrorKind.OUTCOME_UNKNOWN: 502,
    ErrorKind.ENGINE_FAILED: 502,
    ErrorKind.UNREACHABLE: 503,
    ErrorKind.STARTING: 503,
    ErrorKind.STOPPING: 503,
    ErrorKind.REJECTED: 409,
    ErrorKind.TIMEOUT: 504,
}
_BODY_TOO_LARGE_STATUS = 413
_BODY_TOO_SLOW_STATUS = 408


class Problem(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    step: str
    peer: str
    field: str | None = None
    retry_after_seconds: float | None = None


class _ErrorEvent(msgspec.Struct):
    error: Problem


def problem_status(error: StagewalkError) -> int:
    """Return the HTTP status of an error."""
    if error.field == BODY_FIELD and error.kind is ErrorKind.INVALID_REQUEST:
        return _BODY_TOO_LARGE_STATUS
    if error.field == BODY_FIELD and error.kind is ErrorKind.TIMEOUT:
        return _BODY_TOO_SLOW_STATUS
    return _STATUS[error.kind]


def problem_headers(error: StagewalkError) -> tuple[tuple[str, str], ...]:
    """Return the headers of an error response.

    `X-Should-Retry` keeps OpenAI's client from retrying, under a new id, a request that may have
    run.
    """
    headers = []
    if error.retry_after_seconds is not None:
        headers.append(("retry-after", str(math.ceil(error.retry_after_seconds))))
    if error.ran is ExecutionStatus.UNKNOWN:
        headers.append(("x-should-retry", "false"))
    return tuple(headers)


def render_problem(error: StagewalkError, status: int | None = None) -> bytes:
    """Return the body of an error response; `status` overrides that of the error's kind."""
    return msgspec.json.encode(_problem(error, status))


def render_stream_error(error: StagewalkError) -> bytes:
    """Return the body of an error event in a started stream, in the format of OpenAI's clients."""
    return msgspec.json.encode(_ErrorEvent(_problem(error)))


def _problem(error: StagewalkError, status: int | None = None) -> Problem:
    return Problem(
        type=PROBLEM_TYPE_PREFIX + error.kind.value,
        title=error.kind.value,
        status=problem_status(error) if status is None else status,
        detail=error.detail,
        ran=error.ran.value,
        step=error.step.value,
        peer=error.peer,
        field=error.field,
        retry_after_seconds=error.retry_after_seconds,
    )
