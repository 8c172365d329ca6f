"""Minimal ASGI framework: routing, typed JSON bodies and problem responses."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping, MutableMapping
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import parse_qsl

import anyio
import msgspec

from stagewalk_standins.event_log import log_event

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Body = TypeVar("Body")

JSON = "application/json"
OCTETS = "application/octet-stream"
EVENT_STREAM = "text/event-stream"
PROBLEM = "application/problem+json"
ABOUT_BLANK = "about:blank"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """An RFC 9457 problem; `ran` says whether the request was executed."""

    type: str
    title: str
    status: int
    detail: str
    ran: str | None = None


class BadRequest(Exception):
    """The request's body or parameters are invalid."""


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request; `path_values` holds the values of the route's placeholders."""

    method: str
    path_values: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def decode(self, kind: type[Body]) -> Body:
        """Return the JSON body as a typed value."""
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.MsgspecError as error:
            raise BadRequest(str(error)) from error

    def number(self, name: str, default: float) -> float:
        """Return a numeric query parameter."""
        try:
            return float(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f"{name}: {error}") from error


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int = 200
    body: bytes = b""
    content_type: str = JSON
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamingResponse:
    """A response streamed until `pieces` ends or the client disconnects."""

    pieces: AsyncGenerator[bytes, None]
    content_type: str


Answer = Response | StreamingResponse
Handler = Callable[[Request], Awaitable[Answer]]
Guard = Callable[[Request, Handler], Awaitable[Answer]]


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(status, msgspec.json.encode(value))


def problem_response(
    status: int,
    title: str,
    detail: str,
    ran: str | None = None,
    retry_after_seconds: float | None = None,
) -> Response:
    """Return an error answer."""
    body = msgspec.json.encode(
        Problem(type=ABOUT_BLANK, title=title, status=status, detail=detail, ran=ran)
    )
    headers = {}
    if retry_after_seconds is not None:
        headers["retry-after"] = str(max(1, round(retry_after_seconds)))
    return Response(status, body, PROBLEM, headers)


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    pattern: tuple[str, ...]
    handler: Handler
    guarded: bool


class Application:
    """Routes requests by method and path; a route's `{name}` matches one path segment.

    Attributes
    ----------
    guard
        Called instead of the handler of each guarded route, with the handler.
    """

    def __init__(self) -> None:
        self.guard: Guard | None = None
        self._routes: list[_Route] = []

    def route(self, method: str, path: str, handler: Handler, *, guarded: bool = True) -> None:
        """Add a route."""
        self._routes.append(_Route(method, tuple(path.split("/")), handler, guarded))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        answer = await self._answer(scope, receive)
        if isinstance(answer, Response):
            await _send_whole(answer, send)
        else:
            await _send_pieces(answer, receive, send)

    async def _answer(self, scope: Scope, receive: Receive) -> Answer:
        found = self._find(scope["method"], tuple(scope["path"].split("/")))
        if found is None:
            return problem_response(404, "not_found", f"{scope['method']} {scope['path']}")
        route, path_values = found
        request = Request(
            method=scope["method"],
            path_values=path_values,
            query=dict(parse_qsl(scope["query_string"].decode())),
            headers={name.decode().lower(): value.decode() for name, value in scope["headers"]},
            body=await _read_body(receive),
        )
        try:
            return await self._handle(route, request)
        except BadRequest as error:
            return problem_response(400, "invalid_request", str(error), ran="no")
        except Exception as error:
            log_event("handler_failed", path=scope["path"], error=repr(error))
            return problem_response(500, "internal_error", repr(error), ran="unknown")

    async def _handle(self, route: _Route, request: Request) -> Answer:
        if self.guard is not None and route.guarded:
            return await self.guard(request, route.handler)
        return await route.handler(request)

    def _find(self, method: str, segments: tuple[str, ...]) -> tuple[_Route, dict[str, str]] | None:
        for route in self._routes:
            if route.method == method:
                path_values = _match(route.pattern, segments)
                if path_values is not None:
                    return route, path_values
        return None


def _match(pattern: tuple[str, ...], segments: tuple[str, ...]) -> dict[str, str] | None:
    if len(pattern) != len(segments):
        return None
    values = {}
    for expected, segment in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            values[expected[1:-1]] = segment
        elif expected != segment:
            return None
    return values


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


def _start(status: int, content_type: str, headers: Mapping[str, str]) -> Message:
    encoded = [(name.encode(), value.encode()) for name, value in headers.items()]
    encoded.append((b"content-type", content_type.encode()))
    return {"type": "http.response.start", "status": status, "headers": encoded}


async def _send_whole(answer: Response, send: Send) -> None:
    headers = {**answer.headers, "content-length": str(len(answer.body))}
    await send(_start(answer.status, answer.content_type, headers))
    await send({"type": "http.response.body", "body": answer.body})


async def _send_pieces(answer: StreamingResponse, receive: Receive, send: Send) -> None:
    """Send a stream; close its source as soon as the client disconnects."""
    await send(_start(200, answer.content_type, {"cache-control": "no-store"}))
    async with anyio.create_task_group() as group:

        async def watch_client() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch_client)
        async with aclosing(answer.pieces) as pieces:
            async for piece in pieces:
                await send({"type": "http.response.body", "body": piece, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
        group.cancel_scope.cancel()


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
