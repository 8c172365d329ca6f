"""Runs gateways on loopback with an in-memory log and in-memory workers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc
import httpx
import msgspec

from stagewalk.common.identities import Address, Placement
from stagewalk.gateway.assembly import Dependencies
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.daemon import Gateway
from stagewalk.gateway.dialect import NamedVersion
from stagewalk.gateway.held_memory.budget import MemoryBudget
from stagewalk.gateway.routes.route import (
    BackEnd,
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    Service,
)
from stagewalk.gateway.scoring.records import ScoreCall
from stagewalk.gateway.settings import GatewaySettings, LogLimits, Timing
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.memory_duties import MemoryDuties
from tests.gateway.memory_log import MemoryLog, MemoryLogClient
from tests.gateway.memory_workers import MemoryWorker, MemoryWorkers
from tests.gateway.plain_dialect import EVACUATION_PREFIX, PlainDialect, SubmittedBatch
from tests.gateway.workers.support import announcement
from tests.node.running_node import free_address

HOST = "h.example"
PORTS: dict[str, int] = {}
"""Ports of workers by the first part of their names: a restarted worker keeps its address."""

PATIENCE_SECONDS = 20.0


def route(name: str, prefix: str, kind: RouteKind, service: str, attempts: int = 2) -> Route:
    return Route(name, HOST, prefix, kind, (BackEnd(service, 1.0),), 2.0, 0.2, attempts)


ROUTES = (
    route("ask", "/ask/", RouteKind.REPEATABLE, "app"),
    route("once", "/once/", RouteKind.ONCE, "app"),
    route("stream", "/stream/", RouteKind.STREAM, "engines"),
    replace(route("resume", "/resume/", RouteKind.STREAM, "engines"), resumable=True),
    route("score", "/score/", RouteKind.REPEATABLE, "app", attempts=3),
    route("run", "/run/", RouteKind.BATCH, "engines", attempts=3),
)


def gateway_settings(name: str) -> GatewaySettings:
    front = free_address()
    return GatewaySettings(
        name=name,
        placement=Placement("r1", "z1"),
        front=front,
        readiness=front,
        directory=front,
        peers=free_address(),
        metrics=None,
        log=front,
        log_limits=LogLimits(),
        timing=Timing(lease_quiet=0.2),
        log_level="error",
    )


@dataclass
class Running:
    """A running gateway and its addresses."""

    gateway: Gateway
    log: MemoryLogClient
    url: str
    address: str
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    ended: anyio.Event = field(default_factory=anyio.Event)


class Site:
    """The log, the workers and the gateways of a test."""

    def __init__(self, tasks: anyio.abc.TaskGroup, client: httpx.AsyncClient) -> None:
        self.log = MemoryLog()
        self.workers = MemoryWorkers()
        self.dialect = PlainDialect()
        self.duties = MemoryDuties()
        self.services = (Service("app"), Service("engines"))
        self._tasks = tasks
        self._client = client
        for name, service in (("a1", "app"), ("a2", "app"), ("e1", "engines"), ("e2", "engines")):
            self.add_worker(name, service)
        self.publish(1)

    def add_worker(
        self,
        name: str,
        service: str,
        slots: int = 4,
        zone: str = "z1",
        cold_seconds: float = 0.0,
        *,
        born: int | None = None,
        draining: bool = False,
    ) -> None:
        versions = {"m": 1} if service == "engines" else {}
        if not draining:
            self.workers.workers[name] = MemoryWorker(versions=dict(versions), slots=slots)
        entry = announcement(
            name,
            service=service,
            versions=versions,
            slots=slots,
            zone=zone,
            born=born,
            draining=draining,
        )
        port = PORTS.setdefault(name.partition(".")[0], len(PORTS) + 1)
        entry = replace(entry, cold_seconds=cold_seconds, address=Address("10.0.0.1", port))
        self.log.put_key(self.dialect.workers, name, msgspec.json.encode(entry))

    def evacuate(self, zone: str, in_force: bool = True) -> None:
        """Publish the evacuation of a zone, or its end."""
        key = f"{EVACUATION_PREFIX}{zone}"
        self.log.put_key(self.dialect.operators, key, b"{}" if in_force else None)

    def publish(
        self,
        version: int,
        routes: tuple[Route, ...] = ROUTES,
        limits: CallerLimits | None = None,
        tenants: tuple[Tenant, ...] | None = None,
    ) -> None:
        configuration = RouteConfiguration(
            version, routes, self.services, limits or CallerLimits(), tenants
        )
        value = msgspec.json.encode(configuration)
        self.log.put_key(self.dialect.operators, "configuration", value)

    def name_version(self, version: int) -> None:
        value = msgspec.json.encode(NamedVersion("m", version))
        self.log.put_key(self.dialect.operators, "version/m", value)

    async def start(
        self,
        name: str,
        *,
        ready: bool = True,
        log: MemoryLogClient | None = None,
        **changes: object,
    ) -> Running:
        """Start a gateway, by default with a new client of the log."""
        settings = replace(gateway_settings(name), **changes)
        log = log or self.log.client()
        memory = (
            None if settings.memory is None else MemoryBudget.for_node(settings.memory.limit_mb)
        )
        dependencies = Dependencies(log, self.workers, self.dialect, self.duties, memory)
        gateway = Gateway(settings, dependencies)
        running = Running(gateway, log, f"http://{settings.front}", str(settings.front))
        self._tasks.start_soon(self._run, running)
        if ready:
            await until(lambda: self.ready(running))
        return running

    async def _run(self, running: Running) -> None:
        with running.scope:
            await running.gateway.run()
        running.ended.set()

    async def ready(self, running: Running) -> bool:
        return (await self.call(running, "GET", "/readyz")).status_code == httpx.codes.OK

    async def call(
        self, running: Running, method: str, path: str, content: bytes = b"", **headers: str
    ) -> httpx.Response:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("host", HOST)
        try:
            return await self._client.request(
                method, running.url + path, content=content, headers=named
            )
        except httpx.ConnectError:
            return httpx.Response(599)

    async def submit(
        self,
        running: Running,
        batch: str,
        *items: str,
        minimum: int = 0,
        scored_by: str | None = None,
        key: str | None = None,
    ) -> httpx.Response:
        """Submit a batch; `scored_by` is the path that scores its items, None for no scores."""
        specs = tuple(
            BatchItem(
                i,
                f"/run/{i}",
                (),
                b"body " + i.encode(),
                "g",
                "m",
                0,
                None if scored_by is None else ScoreCall(f"{i}-score", HOST, scored_by, b"judge"),
            )
            for i in items
        )
        body = SubmittedBatch(items=specs, model="m", minimum_version=minimum)
        content = msgspec.json.encode(body)
        headers = {"stagewalk_request_id": batch, **key_headers(key)}
        return await self.call(running, "POST", "/run/batch", content, **headers)

    async def results(
        self, running: Running, batch: str, position: int = 0, key: str | None = None
    ) -> list[str]:
        path = f"/v1/batches/{batch}?from_position={position}"
        answer = await self.call(running, "GET", path, **key_headers(key))
        answer.raise_for_status()
        return [result[2] for result in answer.json()["results"]]

    async def until_listed(
        self, running: Running, batch: str, count: int, key: str | None = None
    ) -> list[str]:
        async def listed() -> bool:
            return len(await self.results(running, batch, key=key)) >= count

        await until(listed)
        return await self.results(running, batch, key=key)


def key_headers(key: str | None) -> dict[str, str]:
    return {} if key is None else {"authorization": f"Bearer {key}"}


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    with anyio.fail_after(PATIENCE_SECONDS):
        while not await condition():
            await anyio.sleep(0.02)


@asynccontextmanager
async def site() -> AsyncIterator[Site]:
    limits = httpx.Limits(max_keepalive_connections=0)
    async with (
        httpx.AsyncClient(trust_env=False, timeout=10.0, limits=limits) as client,
        anyio.create_task_group() as tasks,
    ):
        yield Site(tasks, client)
        tasks.cancel_scope.cancel()


def run(scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def main() -> None:
        async with site() as running:
            await scenario(running)

    anyio.run(main)
