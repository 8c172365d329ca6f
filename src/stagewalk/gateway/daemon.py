"""The gateway: wires cores, ports and listeners together, and stops in order."""

from __future__ import annotations

import math
import signal
import time
import uuid
from dataclasses import dataclass

import anyio
import anyio.abc

from stagewalk.common.http.server import open_listener, serve_http
from stagewalk.common.identities import Address
from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_services import BatchServices
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.duty_services import DutyServices
from stagewalk.gateway.eligibility_services import EligibilityServices
from stagewalk.gateway.entry.app import GatewayApp
from stagewalk.gateway.entry.caller_gate import CallerGate
from stagewalk.gateway.entry.held_requests import HeldRequests
from stagewalk.gateway.forwarding.forwarder import Forwarder
from stagewalk.gateway.forwarding.stream_forwarder import StreamForwarder
from stagewalk.gateway.log_relay.relayed_log import RELAY_PATH, RelayedLog, RelayPeers
from stagewalk.gateway.log_relay.server import LogRelay
from stagewalk.gateway.metrics import GatewayMetrics, GatewayState
from stagewalk.gateway.nodes.crash_watch import CrashWatch
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.partitioned_log.measured_log import MeasuredLog
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.peer_calls.server import PeerApp
from stagewalk.gateway.ports.duties import DutyClient
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog
from stagewalk.gateway.ports.workers import WorkerClient
from stagewalk.gateway.published_records import PublishedRecords
from stagewalk.gateway.role_keeper import RoleKeeper
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.settings_reload import SettingsLoader, reload_settings
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable

NODES = Partition("keyed.nodes", 0)
RESUME_SECONDS = 0.25
"""How long a node that starts leaves the log to those that go on with batches they ran before."""

RESTART_SECONDS = 5.0
"""The same where all nodes start at once. The log's reads are shared: six replicas took 7 s to read
all of it, and until then no results were shown to trainers. Open batches alone take some 2 s, and
those who look for them have the reads to themselves meanwhile."""

STALL_SECONDS = 0.2
"""A loop that comes this much late was kept from running, or the machine was stopped or asleep."""

STEP_SECONDS = 0.1
LEAVE_SECONDS = 3.5
"""How long callers may still be sent here after a stop was announced: three times what the
directory's answers live, and the time the news takes."""

EXIT_RESERVE_SECONDS = 0.5
"""Left of the grace for the process to end, once it waits no longer for the log."""

BUFFERED_BODY_BYTES = 96 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Everything outside the product, behind its ports."""

    log: PartitionedLog
    workers: WorkerClient
    dialect: Dialect
    duties: DutyClient | None = None
    """None: the platform has no duties but those at the workers."""


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        dependencies: Dependencies,
        load_again: SettingsLoader | None = None,
        log_budget: LogBudget | None = None,
    ) -> None:
        self.settings = settings
        self._log_budget = log_budget or LogBudget()
        self._load_again = load_again
        self._metrics = GatewayMetrics(self._state, self._log_budget)
        self._straight = MeasuredLog(dependencies.log, self._metrics.log_called)
        peer_client = PeerClient()
        log = self._log_view = RelayedLog(self._straight, self._peers, peer_client)
        self._dialect = dependencies.dialect
        self._identity = ProcessId(settings.name, time.time_ns() // 1_000_000)
        producer = f"{settings.name}-{uuid.uuid4().hex}"
        self._routes = RouteTable(settings.name)
        self._workers = WorkerTable()
        policy = settings.policy
        self._eligibility_services = EligibilityServices(
            settings=settings,
            log=log,
            producer=producer,
            workers=self._workers,
            routes=self._routes,
            view_age=self._view_age,
            replicas=self._replica_names,
            on_denied=self._metrics.send_denied,
        )
        eligibility = self._eligibility_services.eligibility
        evacuations = eligibility.evacuations
        self._rollouts = VersionRollouts(
            self._workers,
            policy,
            lambda: evacuations.zones,
            lambda service: self._routes.service(service) is not None,
        )
        self._nodes = NodeService(
            log=log,
            partition=NODES,
            identity=self._identity,
            front=settings.front,
            peer=settings.peers,
            placement=settings.placement,
            capacity=settings.processor.capacity,
            policy=policy,
            batch_regions=lambda: self._routes.batch_regions,
        )
        self._crashes = CrashWatch(
            log=log,
            partition=NODES,
            node=settings.name,
            suspects=self._eligibility_services.suspects,
            workers=self._workers,
            probe=dependencies.workers.is_listening,
        )
        self._crashes.renew_view = self._nodes.renew
        self._nodes.crashes = self._crashes
        self._batches = BatchServices(
            settings=lambda: self.settings,
            log=log,
            identity=self._identity,
            producer=producer,
            dialect=self._dialect,
            client=dependencies.workers,
            peer_client=peer_client,
            nodes=self._nodes,
            workers=self._workers,
            routes=self._routes,
            eligibility=eligibility,
            crashes=self._crashes,
            rollouts=self._rollouts,
            starting=lambda: self._roles.starting,
            on_item_started=self._metrics.item_view_age.observe,
        )
        self.store = self._batches.store
        self._runner, self._runners = self._batches.runner, self._batches.runners
        self._published = PublishedRecords(
            log,
            self._dialect,
            self._routes,
            self._workers,
            self._rollouts,
            evacuations=evacuations,
            cold=self._eligibility_services.cold,
        )
        self._duties = DutyServices(
            settings=settings,
            log=log,
            identity=self._identity,
            producer=producer,
            client=dependencies.duties,
            engines=dependencies.workers,
            rollouts=self._rollouts,
            routes=self._routes,
            workers=self._workers,
            published=self._published,
            store=self.store,
            evacuations=evacuations,
        )
        self._roles = RoleKeeper(
            self._nodes, self.store, self._runner, self._duties.lease, self._published
        )
        client = dependencies.workers
        begun = self._duties.count_begun
        self._forwarder = Forwarder(
            client, eligibility, self._routes, self._crashes, policy=policy, on_begun=begun
        )
        self._streams = StreamForwarder(client, eligibility, self._routes, self._crashes, begun)
        self._exit = anyio.Event()
        self._stopping = False
        self._stop_by = math.inf

    async def run_until_signal(self) -> None:
        """Serve until the process is asked to stop, and stop in order."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            await self.run()
            tasks.cancel_scope.cancel()

    async def run(self) -> None:
        """Serve until a stop was asked for and everything in flight has ended."""
        listeners = [open_listener(address) for address in self._addresses()]
        app = self._build_app()
        async with anyio.create_task_group() as tasks:
            self._published.start(tasks)
            self._nodes.start(tasks)
            self._batches.start(tasks)
            tasks.start_soon(self._eligibility_services.cold_lease_service.run)
            tasks.start_soon(self._crashes.run)
            self._duties.start(tasks)
            tasks.start_soon(self._housekeep)
            self._log("gateway_started")
            async with anyio.create_task_group() as servers:
                for listener in listeners:
                    servers.start_soon(serve_http, app, listener, self._exit)
                if self.settings.peers is not None:
                    relay = LogRelay(self._straight, lambda: self._log_view.cut_off)
                    handlers = {RELAY_PATH: relay.handle, **self._batches.peer_handlers}
                    app_for_peers = PeerApp(handlers)
                    peers = open_listener(self.settings.peers)
                    servers.start_soon(serve_http, app_for_peers, peers, self._exit)
            await self._finish_appends()
            self._log("gateway_stopped")
            tasks.cancel_scope.cancel()

    async def _finish_appends(self) -> None:
        """Wait until the log has taken what was to be kept, as long as the grace of a stop lets."""
        with anyio.move_on_at(self._stop_by):
            while not (self.store.idle and self._duties.idle):
                await anyio.sleep(STEP_SECONDS)

    def _view_age(self, now: float) -> float:
        return self._published.view_age(now)

    def _replica_names(self) -> list[str]:
        return [node.node for node in self._nodes.replicas()]

    def _peers(self) -> RelayPeers:
        return self._nodes.peers()

    def _addresses(self) -> list[Address]:
        settings = self.settings
        addresses = [settings.front, settings.readiness, settings.directory]
        if settings.metrics is not None:
            addresses.append(settings.metrics)
        return list(dict.fromkeys(addresses))

    def _build_app(self) -> GatewayApp:
        metrics = self.settings.metrics
        return GatewayApp(
            routes=self._routes,
            forwarder=self._forwarder,
            streams=self._streams,
            batches=self._batches.calls,
            nodes=self._nodes,
            dialect=self._dialect,
            buffered_body_bytes=BUFFERED_BODY_BYTES,
            metrics=self._metrics,
            ready=self._ready,
            stopping=lambda: self._stopping,
            refresh=self._refresh_views,
            gate=CallerGate(
                self._routes,
                self._published.renew_configuration,
                self._dialect.callers.request_id,
            ),
            evacuations=self._eligibility_services.evacuations,
            held=HeldRequests(self._crashes, None if metrics is None else metrics.port),
        )

    async def _refresh_views(self) -> None:
        """Count a caller's request, and renew views that are too old to serve it from."""
        self._nodes.note_call()
        await self._published.refresh()
        await self._nodes.refresh()

    def _state(self) -> GatewayState:
        """Return what the gauges show."""
        now = steady_seconds()
        followers = (
            *self._published.freshness,
            *self.store.freshness,
        )
        return GatewayState(
            configuration=self._routes.version,
            serving_nodes=len(self._nodes.serving()),
            workers=len(self._workers.all()),
            holds_replica=self.store.following,
            listed=self._nodes.listed,
            holds_lease=self._duties.lease.held,
            running_batches=self._runner.running_batches,
            running_attempts=self._runner.running_attempts,
            awaited_scores=self._runner.awaited_scores,
            evacuated_zones=len(self._eligibility_services.evacuations.zones),
            cold_leases=self._eligibility_services.cold_leases(now),
            worker_ends=self._crashes.suspects,
            requests_held_back=len(self._crashes.held_contents()),
            view_ages={freshness.name: freshness.age(now) for freshness in followers},
        )

    def _ready(self) -> bool:
        """Whether routes, workers and the other nodes are known."""
        known = self._routes.configuration is not None and self._nodes.settled
        return known and self._published.workers_known

    async def _housekeep(self) -> None:
        await self._nodes.wait_until_known()
        if await self._batches.takeovers.resume_own():
            # Those who ran batches go on first: the whole log is read by all nodes at once.
            alone = self._nodes.alone
            wait_seconds = RESTART_SECONDS if alone else RESUME_SECONDS
            self._roles.follow_from(steady_seconds() + wait_seconds)
        await self._nodes.settle()
        while True:
            self._nodes.set_serving(self._ready() and not self._stopping)
            self._roles.update(self._stopping, steady_seconds())
            due = steady_seconds() + self._roles.pace.housekeeping
            await anyio.sleep(self._roles.pace.housekeeping)
            lag = steady_seconds() - due
            self._metrics.loop_lag.observe(lag)
            if lag > STALL_SECONDS:
                log_event("loop_stalled", "warning", seconds=lag)
            self._workers.expire(steady_seconds())
            self._eligibility_services.expire(steady_seconds())
            self._crashes.step(steady_seconds())
            self._duties.sample_clock()
            for kind, count in self._log_budget.take_dropped().items():
                log_event("log_lines_dropped", "warning", kind=kind, count=count)

    # Stopping.

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            self.reload()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                elif not self._stopping:
                    await self.stop()

    def reload(self) -> None:
        """Read the settings again: timing changes at once, anything else with the next start.

        Settings that can't be read leave those in force as they are. Done on a signal, and once
        when signals are listened to, since one that came before went unheard.
        """
        if self._load_again is None:
            return
        self.settings = reload_settings(self.settings, self._load_again())
        self._duties.lease.set_quiet(self.settings.timing.lease_quiet)

    async def stop(self) -> None:
        """Tell callers and nodes, hand work over, and end once nobody is sent here any more."""
        began = anyio.current_time()
        self._stopping = True
        self._log("stop_requested")
        self._nodes.set_stopping()
        self._duties.lease.stop()
        self._runner.hand_over()
        self._stop_by = began + self.settings.timing.stop_grace - EXIT_RESERVE_SECONDS
        await anyio.sleep_until(began + LEAVE_SECONDS)
        # The listeners need up to four seconds to answer what is under way, so they don't wait for
        # a log that takes nothing; appending goes on beside them.
        self._exit.set()

    def _log(self, event: str) -> None:
        log_event(
            event,
            incarnation=self._identity.incarnation,
            front=str(self.settings.front),
            configuration=self._routes.version,
        )
