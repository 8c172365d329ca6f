"""A small deployment: the store, workers of one service and gateways, on loopback addresses."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from client import Reply, call
from gateways import HOST, Gateway, free_address
from http_server import Answer, ChunkedStream, ConnectionReset, Handler, Request, serve
from record import Record
from store import Store

SERVICE = "advice-api"
HOST_NAME = "growers.example"
SLOTS = 6
HEARTBEAT_SECONDS = 1.2
READY_SECONDS = 20.0
POLL_SECONDS = 0.1


class Worker:
    """A worker: writes its entry into the store, and runs requests as `handler` says."""

    def __init__(self, name: str, handler: Handler) -> None:
        self.name = name
        self.address = free_address()
        self._handler = handler
        self._born = time.time_ns() // 1_000_000
        self._writes = 0
        self.down = False

    def crash(self) -> None:
        """Go down: streams and later requests are reset, and nothing is written."""
        self.down = True

    def start_again(self) -> None:
        """Start again under the same id."""
        self._born = time.time_ns() // 1_000_000
        self.down = False

    def entry(self) -> dict[str, object]:
        """Return the next entry."""
        self._writes += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": "hall-north",
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._writes,
            "born": self._born,
        }

    async def handle(self, request: Request, stream: ChunkedStream) -> Answer | None:
        """Run a request that is meant for this worker."""
        if self.down:
            raise ConnectionReset
        if request.headers.get("x-target-instance", self.name) != self.name:
            return Answer(421, headers=(("x-request-id", request.headers["x-request-id"]),))
        return await self._handler(request, stream)


def answer_headers(request: Request, worker: str) -> tuple[tuple[str, str], ...]:
    """Return the headers that a worker adds to the answer to a request that it ran."""
    return (
        ("x-request-id", request.headers["x-request-id"]),
        ("x-response-signature", f"{worker}.{request.headers['x-request-id']}"),
    )


@dataclass
class Deployment:
    """What runs."""

    folder: Path
    record: Record
    store: Store = field(default_factory=Store)
    store_address: str = field(default_factory=free_address)
    workers: list[Worker] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)

    def publish(self, route: dict[str, object]) -> None:
        """Publish a configuration with one route."""
        service = {"name": SERVICE, "health_path": "/health", "max_connections": 96}
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 33_554_432,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        routes = [{"name": "r", "host": HOST_NAME, "service": SERVICE, "priority": 2, **route}]
        configuration = {"version": 7, "routes": routes, "services": [service], "limits": limits}
        self.store.put("keyed.op", "config", configuration)

    async def wait_ready(self, gateway: Gateway) -> bool:
        """Wait until a gateway says that it is ready; return whether it did in time."""
        for _ in range(int(READY_SECONDS / POLL_SECONDS)):
            reply = await call(gateway.front, "GET", "/-/ready", {"Host": "any"}, seconds=1.0)
            if reply.status == 200:
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def send(
        self,
        gateway: Gateway,
        request_id: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> Reply:
        """Send a request as a client does, and record it with its answer."""
        self.record.write(f"client sends {request_id} (POST {target}) to {gateway.name}")
        every = {"Host": HOST_NAME, "X-Request-Id": request_id, **headers}
        reply = await call(gateway.front, "POST", target, every, body)
        how = "complete" if reply.complete else f"not complete ({reply.error})"
        self.record.write(
            f"client got for {request_id}: status {reply.status}, {len(reply.body)} bytes, {how}"
        )
        return reply

    async def heartbeats(self) -> None:
        """Write the workers' entries until cancelled."""
        while True:
            for worker in self.workers:
                if not worker.down:
                    self.store.put("keyed.servers", worker.name, worker.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)


@asynccontextmanager
async def deployed(
    record: Record, route: dict[str, object], workers: list[Worker], gateways: int
) -> AsyncIterator[Deployment]:
    """Run a deployment; everything that it started has ended when the context is left."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        running = Deployment(Path(folder), record, workers=workers)
        running.publish(route)
        servers = [await _serve(running.store.handle, running.store_address)]
        servers += [await _serve(worker.handle, worker.address) for worker in workers]
        heartbeats = asyncio.create_task(running.heartbeats())
        running.gateways = [
            Gateway(f"edge-hall-north-{n}", running.folder, running.store_address)
            for n in range(1, gateways + 1)
        ]
        try:
            for gateway in running.gateways:
                gateway.start()
            for gateway in running.gateways:
                if not await running.wait_ready(gateway):
                    raise NotRunnableError(gateway.log.read_text()[-2000:])
            record.write(f"{gateways} gateways and {len(workers)} workers are ready")
            yield running
        finally:
            for gateway in running.gateways:
                gateway.end()
            heartbeats.cancel()
            for server in servers:
                server.close()


class NotRunnableError(Exception):
    """The deployment did not come up."""


async def _serve(handler: Handler, address: str) -> asyncio.Server:
    return await serve(handler, HOST, int(address.rpartition(":")[2]))
