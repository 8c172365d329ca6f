"""A client of the gateways: one call on a fresh connection, answered as it arrives."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Reply:
    """What a client got.

    Attributes
    ----------
    status
        0 if the connection ended before a status came.
    complete
        Whether the answer is whole by its framing: its length, or its last chunk.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    seconds: float = 15.0,
) -> Reply:
    """Make a call and read its answer to the end."""
    reply = Reply()
    try:
        async with asyncio.timeout(seconds):
            lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
            lines += [f"Content-Length: {len(body)}", "", ""]
            await _exchange(reply, address, "\r\n".join(lines).encode() + body)
    except (OSError, EOFError, TimeoutError) as error:
        reply.error = f"{type(error).__name__}: {error}"
    return reply


async def _exchange(reply: Reply, address: str, request: bytes) -> None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        await writer.drain()
        await _read_answer(reply, reader)
    finally:
        writer.close()


async def _read_answer(reply: Reply, reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    reply.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        reply.headers[name.strip().lower()] = value.strip()
    if "content-length" in reply.headers:
        reply.body = await reader.readexactly(int(reply.headers["content-length"]))
        reply.complete = True
        return
    while size := int(await reader.readline() or b"-1", 16):
        if size < 0:
            raise EOFError("the connection closed before the last chunk")
        reply.body += await reader.readexactly(size)
        await reader.readexactly(2)
    reply.complete = True
