"""A TCP server that answers each request with scripted bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from stagewalk.common.identities import Address

NOWHERE = Address("127.0.0.1", 0)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
RESET_PAUSE_SECONDS = 0.05
"""Lets the peer read what was sent before the reset discards it."""


@dataclass
class Scripted:
    """One response: its bytes, their delay, and how the connection ends."""

    content: bytes
    close: bool = False
    reset: bool = False
    after_seconds: float = 0.0


@dataclass
class ScriptedServer:
    answers: list[Scripted]
    address: Address = NOWHERE
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = self.answers.pop(0)
                self.requests.append(head + await reader.readexactly(_length(head)))
                await asyncio.sleep(answer.after_seconds)
                writer.write(answer.content)
                await writer.drain()
                if answer.reset:
                    await asyncio.sleep(RESET_PAUSE_SECONDS)
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                    writer.transport.abort()
                    return
                if answer.close:
                    break
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        writer.close()


def _length(head: bytes) -> int:
    for line in head.decode().lower().split("\r\n"):
        if line.startswith("content-length:"):
            return int(line.split(":")[1])
    return 0


def respond(
    status: str = "200 OK", body: bytes = b"", framed: bool = True, **headers: str
) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunked(parts: list[bytes], whole: bool = True, **headers: str) -> bytes:
    head = respond("200 OK", b"", framed=False, transfer_encoding="chunked", **headers)
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + chunks + (b"0\r\n\r\n" if whole else b"")


def play(answers: list[Scripted], scenario: Callable[[ScriptedServer], Awaitable[None]]) -> None:
    async def main() -> None:
        script = ScriptedServer(answers)
        server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        script.address = Address(host, port)
        try:
            await scenario(script)
        finally:
            server.close()

    anyio.run(main)
