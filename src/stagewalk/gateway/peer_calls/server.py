"""Serves calls from other nodes, with a handler for each path.

Owns the limits on the size of a call and on concurrent calls.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.common.http.lifespan import serve_lifespan

MAXIMUM_CALL_BYTES = 8 * 1024 * 1024
"""Above the maximum size of a call of the log (2 MiB)."""

MAXIMUM_CALLS = 256
"""Maximum number of concurrent calls; further ones are refused."""

PeerHandler = Callable[[bytes], Awaitable[bytes | None]]
"""Handles a call and returns its answer; None if the call can't be decoded."""


class PeerApp:
    """ASGI application that serves other nodes."""

    def __init__(self, handlers: Mapping[str, PeerHandler]) -> None:
        self._handlers = dict(handlers)
        self._calls = 0

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        content = await _read_body(receive)
        handler = self._handlers.get(scope["path"])
        if content is None or handler is None:
            await _respond(send, 400, b"")
            return
        if self._calls >= MAXIMUM_CALLS:
            await _respond(send, 503, b"")
            return
        self._calls += 1
        try:
            answer = await handler(content)
        finally:
            self._calls -= 1
        await _respond(send, 400 if answer is None else 200, answer or b"")


async def _read_body(receive: ASGIReceiveCallable) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        body += message.get("body", b"")
        if len(body) > MAXIMUM_CALL_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _respond(send: ASGISendCallable, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers, "trailers": False}
    )
    await send({"type": "http.response.body", "body": body, "more_body": False})
