"""All processes and servers of a soak: store and workers in this one, gateways in their own."""

from __future__ import annotations

import random
import socket
from collections.abc import Sequence
from pathlib import Path

import anyio
import anyio.abc
import httpx
import msgspec

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.partitioned_log import Partition
from stagewalk_standins.forwarder import ForwarderLinks, LinkForwarder, StreamLink
from stagewalk_standins.forwarder_faults import LinkFaults
from tests.gateway.memory_log import MemoryLog
from tests.soak.asgi import application, serve
from tests.soak.checker import Checker
from tests.soak.crashes import FRAIL_ROUTE, FRAIL_SERVICE
from tests.soak.ended import EndedBatches
from tests.soak.gateway_process import Builds, GatewayProcess
from tests.soak.scorers import SCORE_ATTEMPTS, ScorerServer, ScoreTruth
from tests.soak.senders import Connection, processes_at
from tests.soak.store import StoreServer
from tests.soak.touch import STORE, TouchRecord
from tests.soak.workers import HEARTBEAT_SECONDS, Truth, WorkerServer
from tests.soak.zones import (
    COLD_RATE,
    COLD_SECONDS,
    HOME_REGION,
    HOME_ROUTE,
    REGIONS,
    ZoneRules,
)

HOST = "h.example"
OTHER_HOSTS = ("i.example", "j.example")
"""Of the further trainers of a loaded soak."""

ENGINE_TOKENS = 6_000
"""Memory of an engine of a loaded soak: its slots are not all used by the longest items."""

SOAK_HOST = "127.0.0.77"
OPERATORS = Partition("keyed.op", 0)
START_SECONDS = 30.0
SUPERVISE_SECONDS = 0.5

SETTINGS = """
name = "{name}"
region = "{region}"
zone = "{zone}"
[listen]
front = "{front}"
readiness = "{front}"
directory = "{front}"
peers = "{peers}"
metrics = "{metrics}"
[log]
address = "{store}"
[timing]
lease_quiet = 1.0
stop_grace = 8.0
[zones]
{zones}
"""


class Addresses:
    """Gives out free addresses at a loopback number that only the soak uses."""

    def __init__(self) -> None:
        self.host = SOAK_HOST
        self._given: set[int] = set()

    def give(self) -> Address:
        """Return another address each time.

        Other tests run beside it, and their callers go on asking at ports whose servers have ended.
        The system gives a port out again that nobody listens at yet.
        """
        while True:
            with socket.create_server((self.host, 0)) as probe:
                port = probe.getsockname()[1]
            if port not in self._given:
                self._given.add(port)
                return Address(self.host, port)


_ADDRESSES = Addresses()


def own_address() -> Address:
    """Return a free address at this process's loopback number."""
    return _ADDRESSES.give()


def use_loopback_number(process: int) -> None:
    """Let this process have a loopback number of its own, away from other soaks'."""
    _ADDRESSES.host = f"127.1.{process // 250 % 250 + 1}.{process % 250 + 1}"


class World:
    """Everything a soak runs.

    Parameters
    ----------
    slow_engines
        How many times longer than usual an engine takes for an event. Engines that aren't of the
        usual pace are called without a link between, so that the caller can be told.
    zones
        Whether workers and gateways are spread over zones, some of which are evacuated, workers are
        cold once they come back, and one route has a home. All workers are called without a link.
    loaded
        Whether several trainers ask for more than there is room, at workers that share machines.
    earlier
        A checkout of an earlier commit: each start of a gateway runs either build.
    further_routes, further_services
        Published beside the usual ones; their workers belong to whoever asks for them.
    """

    def __init__(
        self,
        directory: Path,
        seed: int,
        gateways: int,
        slow_engines: float = 1.0,
        *,
        zones: bool = False,
        loaded: bool = False,
        earlier: Path | None = None,
        further_routes: Sequence[dict] = (),
        further_services: Sequence[dict] = (),
    ) -> None:
        self._further_routes, self._further_services = further_routes, further_services
        self._builds = Builds(earlier, seed)
        self._loaded = loaded
        self.hosts = (HOST, *OTHER_HOSTS) if loaded else (HOST,)
        self.chooser = random.Random(seed)
        self.directory = directory
        self.log = MemoryLog()
        self.truth = Truth()
        self.scores = ScoreTruth()
        self.checker = Checker(self.truth, self.scores)
        self.touch = TouchRecord()
        self.ended = EndedBatches(
            self.touch, lambda: [gateway.name for gateway in self.gateways], self._senders_of
        )
        self.truth.on_run = self.ended.arrived
        self.zone_rules = (
            ZoneRules(self.checker.expect, self.touch, self._senders_of) if zones else None
        )
        self._slow_engines = slow_engines
        self.version = 1
        self.configuration = 0
        self.store = StoreServer(self.log, self.chooser)
        self._store_address = own_address()
        self._stop = anyio.Event()
        each = len(REGIONS) if zones else 2
        self.workers = [self._worker(f"engine-{n}", "engines", 1, n) for n in range(3)]
        self.workers += [self._worker(f"app-{n}", "app", None, n) for n in range(each)]
        self.workers += [self._scorer(f"scorer-{n}", n) for n in range(each)]
        self.gateways = [self._gateway(f"gateway-{n}", n) for n in range(gateways)]
        links = [
            StreamLink(g.link, str(self._links[g.link]), str(self._store_address))
            for g in self.gateways
        ]
        links += [
            StreamLink(w.link, str(w.address), str(self._targets[w.link]))
            for w in self.linked_workers
        ]
        self.forwarder = LinkForwarder(ForwarderLinks(tuple(links)), seed)
        self.client = httpx.AsyncClient(
            trust_env=False, timeout=6.0, limits=httpx.Limits(max_keepalive_connections=0)
        )

    def _zone(self, number: int) -> str:
        """Return the zone of the machine of a number."""
        return sorted(REGIONS)[number % len(REGIONS)] if self.zone_rules is not None else "z1"

    def _worker(self, name: str, service: str, version: int | None, number: int) -> WorkerServer:
        # The address that is announced is the link's; the worker listens behind it.
        self._targets = getattr(self, "_targets", {})
        self._targets[name] = own_address()
        direct = version is not None and self._slow_engines != 1.0
        direct = direct or self.zone_rules is not None
        address = self._targets[name] if direct else own_address()
        zone = self._zone(number)
        worker = WorkerServer(
            name, service, address, self.truth, self.chooser, version, zone, self.zone_rules
        )
        worker.shares_machine = self._loaded
        if version is not None:
            worker.slow = worker.usual_slow = self._slow_engines
        return worker

    def _scorer(self, name: str, number: int) -> ScorerServer:
        self._targets[name] = own_address()
        direct = self.zone_rules is not None
        scorer = ScorerServer(
            name,
            "scorers",
            self._targets[name] if direct else own_address(),
            self.truth,
            self.chooser,
            None,
            self._zone(number),
            self.zone_rules,
        )
        scorer.scores = self.scores
        return scorer

    def mark_zone_cold(self, zone: str) -> None:
        """Let all workers of a zone be cold, as after a failure that it comes back from."""
        for worker in self.workers:
            if worker.zone == zone:
                worker.mark_cold()

    def _gateway(self, name: str, number: int) -> GatewayProcess:
        self._links: dict[str, Address] = getattr(self, "_links", {})
        link, front, metrics = f"store-{name}", own_address(), own_address()
        self._links[link] = own_address()
        settings = self.directory / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                region=REGIONS[self._zone(number)],
                zone=self._zone(number),
                zones="\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items()),
                front=front,
                peers=own_address(),
                metrics=metrics,
                store=self._links[link],
            )
        )
        return GatewayProcess(name, front, metrics, settings, link, self.touch, self._builds)

    @property
    def linked_workers(self) -> list[WorkerServer]:
        """Workers behind a link that can fail."""
        return [w for w in self.workers if w.address != self._targets[w.link]]

    def _senders_of(self, connections: list[Connection]) -> dict[Connection, str]:
        running = {
            process.pid: gateway.name
            for gateway in self.gateways
            if (process := gateway.process) is not None
        }
        found = processes_at(connections, running)
        return {connection: running[process] for connection, process in found.items()}

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start everything and wait until all gateways are ready."""
        self.serve(tasks)
        tasks.start_soon(self._supervise)
        tasks.start_soon(self.ended.trace)
        for gateway in self.gateways:
            self.start_gateway(gateway)
        with anyio.fail_after(START_SECONDS):
            for gateway in self.gateways:
                await self.wait_ready(gateway)

    def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start what gateways need."""
        self.publish()
        tasks.start_soon(serve, application(self.store.handle), self._store_address, self._stop)
        for worker in self.workers:
            target = self._targets[worker.link]
            tasks.start_soon(serve, application(worker.handle), target, self._stop)
        tasks.start_soon(self.forwarder.run)
        tasks.start_soon(self.store.write_late)
        tasks.start_soon(self._heartbeats)

    def start_gateway(self, gateway: GatewayProcess) -> None:
        gateway.start(self.directory / f"{gateway.name}.log")

    async def wait_ready(self, gateway: GatewayProcess) -> None:
        while True:
            try:
                answer = await self.client.get(f"http://{gateway.front}/-/ready")
                if answer.status_code == httpx.codes.OK:
                    return
            except httpx.HTTPError:
                pass
            await anyio.sleep(0.1)

    async def close(self) -> None:
        """End what still runs, each process by its own id."""
        self._stop.set()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.reap()
        await self.client.aclose()

    def set_link(self, name: str, faults: LinkFaults) -> None:
        for gateway in self.gateways:
            if gateway.link == name:
                self.touch.set(gateway.name, "link trouble", faults != LinkFaults())
        self.forwarder.link(name).set(faults)

    def set_store(
        self,
        *,
        down: bool | None = None,
        lost_share: float | None = None,
        late_share: float | None = None,
        delay_seconds: float | None = None,
    ) -> None:
        """Change the store's faults; those not given stay as they are."""
        store = self.store
        store.down = store.down if down is None else down
        store.lost_share = store.lost_share if lost_share is None else lost_share
        store.late_share = store.late_share if late_share is None else late_share
        store.delay_seconds = store.delay_seconds if delay_seconds is None else delay_seconds
        self.touch.set(STORE, "faults", store.troubled)

    async def _heartbeats(self) -> None:
        while True:
            for worker in self.workers:
                worker.announce(self.log)
            await anyio.sleep(HEARTBEAT_SECONDS)

    async def _supervise(self) -> None:
        """Start a gateway again that ended by itself, as the platform would; it never should."""
        while True:
            for gateway in self.gateways:
                code = None if gateway.process is None else gateway.process.poll()
                if code is not None and not gateway.frozen:
                    detail = f"{gateway.name}: exit code {code}"
                    self.checker.expect("no gateway ends by itself", False, detail)
                    gateway.reap()
                    self.start_gateway(gateway)
            await anyio.sleep(SUPERVISE_SECONDS)

    def name_version(self) -> None:
        self.version += 1
        value = msgspec.json.encode({"model": "m", "version": self.version})
        self.log.put_key(OPERATORS, "version/m", value)

    def _engine(self) -> dict:
        memory = {"kv_capacity_tokens": ENGINE_TOKENS, "stride": 8} if self._loaded else {}
        return {"slots": 8, **memory}

    def publish(self) -> None:
        """Publish the next configuration: it has one route more than the one before."""
        self.configuration += 1
        routes = [
            _route("ask", "/ask/", "safe", "app"),
            _route("once", "/once/", "unsafe", "app"),
            _route("score", "/score/", "safe", "scorers"),
            *(_route("run", "/run/", "rollout", "engines", host=host) for host in self.hosts),
            _route(FRAIL_ROUTE, f"/{FRAIL_ROUTE}/", "safe", FRAIL_SERVICE),
            *(
                _route(f"new-{n}", f"/new-{n}/", "safe", "app")
                for n in range(2, self.configuration + 1)
            ),
        ]
        services: list[dict] = [
            {"name": "engines", "max_connections": 200, "engine": self._engine()},
            {"name": "app", "max_connections": 200},
            {"name": "scorers", "max_connections": 200},
            {"name": FRAIL_SERVICE, "max_connections": 200},
            *self._further_services,
        ]
        routes += self._further_routes
        if self.zone_rules is not None:
            routes.append(_route(HOME_ROUTE, f"/{HOME_ROUTE}/", "safe", "app", [HOME_REGION]))
            for service in services:
                service |= {"cold_start_s": COLD_SECONDS, "cold_per_s": COLD_RATE}
        value = {"version": self.configuration, "routes": routes, "services": services}
        self.log.put_key(OPERATORS, "config", msgspec.json.encode(value))


def _route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    regions: list[str] | None = None,
    host: str = HOST,
) -> dict:
    return {
        "allowed_regions": regions or [],
        "name": name if host == HOST else f"{name}-{host}",
        "host": host,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 200,
        "service": service,
        "max_attempts": SCORE_ATTEMPTS,
        "max_wait_s": 120.0,
        "due_ms": 7_500,
    }
