"""What the soak's servers share: reading a call, answering it, serving on a port of their own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

import anyio
import msgspec

from stagewalk.common.http.lifespan import serve_lifespan
from stagewalk.common.http.server import open_listener, serve_http
from stagewalk.common.identities import Address


@dataclass(frozen=True)
class Call:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    ports: tuple[int, int]
    """Of the connection: at the server and at the client."""


class LostAnswer(Exception):
    """The call was carried out, and its connection breaks before the answer."""


@dataclass(frozen=True)
class Reply:
    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @staticmethod
    def json(value: object, status: int = 200) -> Reply:
        return Reply(status, msgspec.json.encode(value), (("content-type", "application/json"),))


Send = Callable[[dict], Awaitable[None]]
Handler = Callable[[Call, Send], Awaitable[Reply | None]]
"""Answers a call; None if it sent the answer itself."""


def application(handler: Handler):
    async def app(scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            call = await _read(scope, receive)
            reply = None if call is None else await handler(call, send)
            if reply is not None:
                await _answer(reply, send)

    return app


async def _read(scope, receive) -> Call | None:
    """Return a whole call; None if its connection broke on the way, so that nothing is done."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    headers = {name.decode().lower(): value.decode("latin-1") for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode()))
    ports = scope["server"][1], scope["client"][1]
    return Call(scope["method"], scope["path"], query, headers, bytes(body), ports)


async def start_answer(send: Send, status: int, headers: tuple[tuple[str, str], ...]) -> None:
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


async def _answer(reply: Reply, send: Send) -> None:
    length = ("content-length", str(len(reply.body)))
    await start_answer(send, reply.status, (*reply.headers, length))
    await send({"type": "http.response.body", "body": reply.body, "more_body": False})


async def serve(app, address: Address, stop: anyio.Event) -> None:
    await serve_http(app, open_listener(address), stop, linger_seconds=0.0)
