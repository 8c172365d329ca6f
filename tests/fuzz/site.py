"""One real gateway process with a store and workers, for blocking callers on raw sockets."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import h11
from anyio.from_thread import BlockingPortal, start_blocking_portal

from tests.soak.asgi import Call, Reply, Send
from tests.soak.workers import WorkerServer
from tests.soak.world import HOST, World

START_SECONDS = 30.0
ANSWER_SECONDS = 8.0


@dataclass
class Answer:
    """What a caller got: no status if the connection ended before one came."""

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Received:
    """The last request of each id, as its worker got it."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}

    def watch(self, worker: WorkerServer) -> None:
        """Keep the requests of a worker."""
        handle = worker.handle

        async def record(call: Call, send: Send) -> Reply | None:
            self.calls[call.headers.get("x-request-id", "")] = call
            return await handle(call, send)

        worker.handle = record  # type: ignore[method-assign]


class FuzzSite:
    """The running processes, as a blocking caller sees them."""

    def __init__(self, portal: BlockingPortal, world: World, received: Received) -> None:
        self._portal = portal
        self._world = world
        self.received = received
        (self._gateway,) = world.gateways
        assert self._gateway.process is not None
        self._pid = self._gateway.process.pid

    @property
    def is_alive(self) -> bool:
        """Whether the process that was started first still runs."""
        process = self._gateway.process
        return process is not None and process.pid == self._pid and process.poll() is None

    def exchange(self, sent: bytes, *, half_close: bool = False) -> Answer:
        """Send bytes on a connection of their own, and read the answer to its end."""
        answer = Answer()
        front = self._gateway.front
        with socket.create_connection((front.host, front.port), ANSWER_SECONDS) as connection:
            try:
                connection.sendall(sent)
                if half_close:
                    connection.shutdown(socket.SHUT_WR)
                _read(connection, answer)
            except OSError:
                pass
        return answer

    def request(self, method: str, target: str, body: bytes = b"", **headers: str) -> Answer:
        """Send a request that is well formed."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {target} HTTP/1.1", f"host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in named.items()]
        lines += [f"content-length: {len(body)}", "", ""]
        return self.exchange("\r\n".join(lines).encode("latin-1") + body)


def _read(connection: socket.socket, answer: Answer) -> None:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("host", "h")]))
    parser.send(h11.EndOfMessage())
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = connection.recv(65_536)
            if not data and parser.their_state is h11.SEND_RESPONSE:
                return
            parser.receive_data(data)
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                name.decode(): value.decode("latin-1") for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.complete = True
            return
        elif not isinstance(event, h11.InformationalResponse):
            return


@contextmanager
def running_site(directory: Path, seed: int) -> Iterator[FuzzSite]:
    """Run a gateway process, its store and its workers."""
    with start_blocking_portal("asyncio") as portal:
        world = World(directory, seed, gateways=1)
        received = Received()
        for worker in world.workers:
            received.watch(worker)
            worker.refused_share = 0.0
        ready, stop = anyio.Event(), anyio.Event()

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await world.start(tasks)
                ready.set()
                await stop.wait()
                await world.close()
                tasks.cancel_scope.cancel()

        async def wait_ready() -> None:
            with anyio.fail_after(START_SECONDS):
                await ready.wait()

        running = portal.start_task_soon(run)
        try:
            portal.call(wait_ready)
            yield FuzzSite(portal, world, received)
        finally:
            portal.call(stop.set)
            running.result(START_SECONDS)
