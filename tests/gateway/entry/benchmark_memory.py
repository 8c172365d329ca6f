"""Measures the resident memory of a gateway process, idle and with open streams.

    python -m tests.gateway.entry.benchmark_memory

A child process runs a gateway with in-memory engines; this process opens streams to it over
loopback, first with callers that read everything, then with callers that read nothing. With
`traced`, the child also prints its largest allocations.
"""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import tracemalloc
from pathlib import Path

import anyio

from stagewalk.common.identities import Address
from stagewalk.gateway.settings import Memory
from tests.gateway.support import HOST, Site, site

STREAMS = 200
EVENTS, PADDING, EVENT_SECONDS = 2_000, 100, 0.005
NODE = Memory(limit_mb=200.0)
SETTLE_SECONDS = 3.0
LINES = 12
TRACED = "traced"


def resident_megabytes() -> str:
    """Return this process's resident memory, now and at its peak."""
    fields = dict(line.split(":", 1) for line in Path("/proc/self/status").read_text().splitlines())
    now, peak = (int(fields[name].split()[0]) / 1024.0 for name in ("VmRSS", "VmHWM"))
    return f"{now:.1f} MB, peak {peak:.1f}"


async def serve(traced: bool) -> None:
    """Run a gateway; print its memory use for each line of standard input."""
    async with site() as made:
        await _serve(made, traced)


async def _serve(made: Site, traced: bool) -> None:
    node = await made.start("n1", memory=NODE)
    for name in ("e1", "e2"):
        worker = made.workers.workers[name]
        worker.events, worker.event_padding = EVENTS, PADDING
        worker.event_seconds, worker.slots = EVENT_SECONDS, STREAMS
    print(node.address, flush=True)
    readers = node.gateway._parts.readers
    assert readers is not None
    while await asyncio.to_thread(sys.stdin.readline):
        held = f"{readers.budget.held_bytes:,} bytes held for {len(readers)} callers"
        print(f"{resident_megabytes()}; {held}", flush=True)
        if traced:
            for line in tracemalloc.take_snapshot().statistics("lineno")[:LINES]:
                print(line, file=sys.stderr, flush=True)


class Child:
    """The child process that runs the gateway."""

    def __init__(self, traced: bool) -> None:
        command = [sys.executable, "-W", "ignore", "-m", __spec__.name, "serve"]
        self._process = subprocess.Popen(
            [*command, TRACED] if traced else command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        host, port = self._line().rsplit(":", 1)
        self.address = Address(host, int(port))

    def tell(self, when: str) -> None:
        """Print the child's memory use."""
        assert self._process.stdin is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        print(f"{when}: {self._line()}", flush=True)

    def end(self) -> None:
        """Kill the child."""
        self._process.kill()
        self._process.wait()

    def _line(self) -> str:
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()


async def open_stream(address: Address, name: str) -> socket.socket:
    """Open a stream over a new connection."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (address.host, address.port))
    head = f"POST /resume/x HTTP/1.1\r\nhost: {HOST}\r\nstagewalk-request-id: {name}\r\n"
    await loop.sock_sendall(connection, (head + "content-length: 0\r\n\r\n").encode())
    return connection


async def read_all(connection: socket.socket) -> None:
    """Read a stream until it ends."""
    while await asyncio.get_running_loop().sock_recv(connection, 65_536):
        pass


async def measure(child: Child, when: str, reading: bool) -> None:
    """Print the child's memory use with streams open."""
    connections = [await open_stream(child.address, f"{when}{n}") for n in range(STREAMS)]
    async with anyio.create_task_group() as tasks:
        if reading:
            for connection in connections:
                tasks.start_soon(read_all, connection)
        for _ in range(3):
            await anyio.sleep(0.6)
            child.tell(f"{STREAMS} streams {when}")
        tasks.cancel_scope.cancel()
    for connection in connections:
        connection.close()
    await anyio.sleep(SETTLE_SECONDS)


async def main(traced: bool) -> None:
    """Print a gateway's memory use idle and under load."""
    child = Child(traced)
    try:
        child.tell("at rest")
        await measure(child, "read", True)
        child.tell("after them")
        await measure(child, "unread", False)
        child.tell("after them")
    finally:
        child.end()


if __name__ == "__main__":
    with_trace = TRACED in sys.argv
    if "serve" in sys.argv:
        if with_trace:
            tracemalloc.start()
        anyio.run(serve, with_trace)
    else:
        anyio.run(main, with_trace)
