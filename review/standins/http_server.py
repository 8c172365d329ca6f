"""A small HTTP/1.1 server on asyncio for the stand-ins; needs no library."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

REASON = "Stand-in"


class ConnectionReset(Exception):
    """The stand-in resets the connection instead of answering."""


@dataclass
class Request:
    """A request as received; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    path: str = field(init=False)
    query: dict[str, str] = field(init=False)

    def __post_init__(self) -> None:
        parts = urlsplit(f"http://any{self.target}")
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))


@dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class ChunkedStream:
    """Writes an answer piece by piece; a stream that is not ended looks broken to its reader."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Write the head."""
        self._writer.write(_head(status, (*headers, ("transfer-encoding", "chunked"))))
        await self._writer.drain()

    async def send(self, piece: bytes) -> None:
        """Write a piece."""
        self._writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        await self._writer.drain()

    async def end(self) -> None:
        """Write the end."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()


Handler = Callable[[Request, ChunkedStream], Awaitable[Answer | None]]
"""Returns a whole answer, or None once it has written a stream to its end."""


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve until the returned server is closed."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                answer = await handler(request, ChunkedStream(writer))
                if answer is not None:
                    length = ("content-length", str(len(answer.body)))
                    writer.write(_head(answer.status, (*answer.headers, length)) + answer.body)
                    await writer.drain()
        except ConnectionReset:
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer is gone, or this stand-in is being stopped.
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, limit=2**20)


def _head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASON}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _version = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)
