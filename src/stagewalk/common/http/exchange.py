"""One HTTP exchange over ASGI: receives the body, sends the response and detects a disconnect.

The body is limited in size and time, and its bytes count against a budget that all exchanges share.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from urllib.parse import parse_qsl

import anyio
from expression import Error, Ok, Result
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.http.body_budget import ByteBudget
from stagewalk.common.http.peer_names import BUSY_RETRY_AFTER_SECONDS, CALLER_PEER, EDGE_PEER
from stagewalk.common.http.problems import (
    BODY_FIELD,
    problem_headers,
    problem_status,
    render_problem,
)
from stagewalk.common.http.server_connection import transport_of
from stagewalk.common.settings.fields import Limits

JSON_CONTENT_TYPE = "application/json"
PROBLEM_CONTENT_TYPE = "application/problem+json"

LINGERING_CLOSE_SECONDS = 2.0
"""How long a caller may continue to send its body after the response was sent."""

WRITE_BUFFER_BYTES = 16_384
"""Limit of this process's write buffer for a connection, in addition to the kernel's buffer."""

RETRY_COUNT_HEADERS = ("x-retry-count", "x-stainless-retry-count")
"""Headers in which callers, and OpenAI's clients, state how often they retried a request."""

Headers = Iterable[tuple[str, str]]


class Exchange:
    """One request and its response.

    `watch` runs concurrently with the handler for the whole exchange. It keeps receiving the
    body, and discards it beyond the limit, so that the server's queue never fills up and a
    disconnect is always detected.

    Parameters
    ----------
    last
        Whether to close the connection after this response, since the process is stopping.
    """

    def __init__(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        limits: Limits,
        budget: ByteBudget,
        *,
        last: Callable[[], bool],
    ) -> None:
        self._scope = scope
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: dict[str, str] = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        self._persistent = scope["http_version"].startswith("1")
        self.started = False
        """Whether the response's status has been sent."""
        self.disconnected = False
        self._headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.resent = self._is_resent()
        """Whether the request is a retry, according to its headers."""
        self._receive = receive
        self._send = send
        self._limits = limits
        self._last = last
        self._budget = budget
        self._body = bytearray()
        self._fault = self._content_length_fault()
        self._body_settled = anyio.Event()
        self._body_ended = anyio.Event()
        self._on_disconnect: Callable[[], None] | None = None

    def header(self, name: str) -> str | None:
        """Return a request header by its lower-case name."""
        return self._headers.get(name)

    def on_disconnect(self, action: Callable[[], None]) -> None:
        """Set the callback for the caller's disconnect; runs at once if it has disconnected."""
        self._on_disconnect = action
        if self.disconnected:
            action()

    async def watch(self) -> None:
        """Receive the caller's messages until it disconnects."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                break
            if message["type"] == "http.request":
                self._add_part(message.get("body", b""), message.get("more_body", False))
        self.disconnected = True
        self._body_settled.set()
        self._body_ended.set()
        if self._on_disconnect is not None:
            self._on_disconnect()

    @property
    def received_whole(self) -> bool:
        """Whether the whole request was received."""
        return self._body_ended.is_set() and not self.disconnected

    async def body(self) -> Result[bytes, StagewalkError]:
        """Wait for the whole body, within the limits of size and time, and return it."""
        if self._fault is None:
            with anyio.move_on_after(self._limits.body_seconds) as waiting:
                await self._body_settled.wait()
            if waiting.cancelled_caught:
                self._fault = _too_slow(self._limits)
        if self._fault is not None:
            return Error(self._fault)
        content = bytes(self._body)
        self.release_body()
        return Ok(content)

    def release_body(self) -> None:
        """Discard the received part of the body and release its bytes."""
        self._budget.release_bytes(len(self._body))
        self._body = bytearray()

    async def respond(
        self, status: int, content_type: str, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a whole response, even while the caller is still sending its body.

        Closing the connection while the body arrives would reset it before the response is read,
        so the rest of the body is received and discarded, for at most `LINGERING_CLOSE_SECONDS`.
        """
        length = ("content-length", str(len(body)))
        await self.start(status, content_type, (length, *headers))
        await self.write(body)
        with anyio.move_on_after(LINGERING_CLOSE_SECONDS):
            await self._body_ended.wait()
        await self.write(b"", last=True)

    async def fail(self, error: StagewalkError) -> None:
        """Send an error as the whole response."""
        error = self.adjust_for_resend(error)
        await self.respond(
            problem_status(error),
            PROBLEM_CONTENT_TYPE,
            render_problem(error),
            problem_headers(error),
        )

    def adjust_for_resend(self, error: StagewalkError) -> StagewalkError:
        """Return the error; its execution status is "unknown" if the request is a retry.

        This node did not run it, but an earlier attempt may have.
        """
        return dataclasses.replace(error, ran=ExecutionStatus.UNKNOWN) if self.resent else error

    async def start(self, status: int, content_type: str, headers: Headers = ()) -> None:
        """Send the response's status and headers."""
        await self.start_response(status, (("content-type", content_type), *headers))

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the response's status and headers, without adding a content type."""
        self.started = True
        closing = (("connection", "close"),) if self._last() and self._persistent else ()
        all_headers = (*headers, *closing)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.encode(), value.encode()) for name, value in all_headers],
                "trailers": False,
            }
        )

    async def write(self, part: bytes, *, last: bool = False) -> None:
        """Send a part of the response's body, waiting while the write buffer is full."""
        await self._send({"type": "http.response.body", "body": part, "more_body": not last})

    def bound_write_buffer(self) -> None:
        """Limit the write buffer, so that `write` waits for a caller that reads slowly."""
        transport = transport_of(self._send)
        if transport is not None:
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def abort(self) -> None:
        """Close the connection and discard unsent data, which a normal close would wait for."""
        transport = transport_of(self._send)
        if transport is not None:
            transport.abort()

    def _is_resent(self) -> bool:
        return any(self._headers.get(name, "0") != "0" for name in RETRY_COUNT_HEADERS)

    def _content_length_fault(self) -> StagewalkError | None:
        """Return why the announced length of the body is refused, None if it is accepted."""
        length = self._headers.get("content-length", "")
        if not length.isdecimal():
            return None
        if int(length) > self._limits.body_bytes:
            return _too_large(self._limits)
        return None if self._budget.admits(int(length)) else _too_many_bodies()

    def _add_part(self, part: bytes, more: bool) -> None:
        if self._fault is None:
            self._fault = self._store_part(part)
        if self._fault is not None:
            self.release_body()
        if not more:
            self._body_ended.set()
        if self._fault is not None or not more:
            self._body_settled.set()

    def _store_part(self, part: bytes) -> StagewalkError | None:
        if len(self._body) + len(part) > self._limits.body_bytes:
            return _too_large(self._limits)
        if not self._budget.reserve_bytes(len(part)):
            return _too_many_bodies()
        self._body += part
        return None


def _too_large(limits: Limits) -> StagewalkError:
    detail = f"the body is larger than {limits.body_bytes} bytes"
    return _body_error(ErrorKind.INVALID_REQUEST, detail)


def _too_slow(limits: Limits) -> StagewalkError:
    detail = f"the body did not arrive within {limits.body_seconds} s"
    return _body_error(ErrorKind.TIMEOUT, detail)


def _too_many_bodies() -> StagewalkError:
    return StagewalkError(
        kind=ErrorKind.OVERLOADED,
        step=ErrorStep.ADMISSION,
        peer=EDGE_PEER,
        detail="too many bodies are arriving at once",
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS,
    )


def _body_error(kind: ErrorKind, detail: str) -> StagewalkError:
    return StagewalkError(kind, ErrorStep.VALIDATION, CALLER_PEER, detail, field=BODY_FIELD)
