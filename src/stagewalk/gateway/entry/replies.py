"""JSON replies made by the gateway itself, and their `retry-after` header."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from stagewalk.common.errors import ErrorKind, StagewalkError
from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.entry.exchange import OpaqueExchange

JSON_CONTENT_TYPE = "application/json"
RETRY_AFTER_HEADER = "retry-after"

BODY_TOO_LARGE = 413
BODY_REFUSED_STATUS = {ErrorKind.TIMEOUT: 408, ErrorKind.OVERLOADED: 503}
"""Statuses of request bodies that were not read whole for another reason than their size. Both mean
that the request was not sent to a worker."""


async def reply_json(exchange: OpaqueExchange, content: bytes, status: int = 200) -> None:
    """Reply with JSON."""
    await exchange.respond(status, JSON_CONTENT_TYPE, content)


async def reply_empty(exchange: OpaqueExchange, status: int) -> None:
    """Reply with an empty JSON object."""
    await exchange.respond(status, JSON_CONTENT_TYPE, b"{}")


async def reply_error(
    exchange: OpaqueExchange,
    status: int,
    detail: str,
    retry_after_seconds: float | None = None,
    headers: Iterable[tuple[str, str]] = (),
) -> None:
    """Reply with an error, and with `retry-after` if a delay is given."""
    headers = list(headers)
    if retry_after_seconds is not None:
        headers.append((RETRY_AFTER_HEADER, f"{retry_after_seconds:g}"))
    content = msgspec.json.encode({"error": detail})
    await exchange.respond(status, JSON_CONTENT_TYPE, content, headers)


async def reply_body_refused(
    exchange: OpaqueExchange, error: StagewalkError, request_id: str
) -> None:
    """Reply to a request whose body was not read whole and that was not sent to a worker."""
    status = BODY_REFUSED_STATUS.get(error.kind, BODY_TOO_LARGE)
    log_event("body_refused", "warning", request=request_id, status=status, detail=error.detail)
    await reply_error(exchange, status, error.detail, error.retry_after_seconds)
