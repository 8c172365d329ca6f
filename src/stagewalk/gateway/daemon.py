"""Runs one gateway: starts its parts, serves its listeners, does periodic work and shuts down.

Owns the process's life cycle and the timing of start and stop. Relies on `assembly` for the parts
and on `entry` for what listeners serve.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable
from dataclasses import replace

import anyio
import anyio.abc
from hypercorn.typing import ASGIFramework

from stagewalk.common.http.server import (
    EXIT_LINGER_SECONDS,
    GRACEFUL_TIMEOUT_SECONDS,
    ShutdownTimes,
    open_listener,
    serve_http,
    shutdown_times,
)
from stagewalk.common.identities import Address
from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.common.stop_times import StopTimes
from stagewalk.gateway.assembly import Dependencies, GatewayAssembly
from stagewalk.gateway.connections_log import ConnectionsLog
from stagewalk.gateway.entry.app import Endpoints, GatewayApp
from stagewalk.gateway.entry.caller_authentication import CallerAuthenticator
from stagewalk.gateway.entry.directory_calls import DirectoryEndpoint
from stagewalk.gateway.entry.forwarded_calls import ForwardingEndpoints
from stagewalk.gateway.entry.quarantine_calls import QuarantineEndpoints
from stagewalk.gateway.log_relay.relayed_log import RELAY_PATH
from stagewalk.gateway.log_relay.server import LogRelay
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.peak_memory import PeakMemory
from stagewalk.gateway.peer_calls.server import PeerApp
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.settings_reload import LiveSettings, SettingsLoader
from stagewalk.gateway.state_metrics import GatewayState
from stagewalk.gateway.stop_schedule import StopSchedule

RESUME_LOG_RESERVE_SECONDS = 0.25
"""How long a starting node delays reading the whole batch ledger if any batch is open. The log's
throughput is shared: such reads by all starting nodes would delay runners that resume batches."""

RESTART_LOG_RESERVE_SECONDS = 5.0
"""The same delay where no replica of the ledger was alive, as when all nodes start at once. Open
batches are looked up in this time without competition from reads of the whole log. The lookups take
some 2 s; six replicas that read the whole log at once take 7 s."""

STALL_SECONDS = 0.2
"""Event loop lag that is logged as a stall: the loop was blocked or the machine was suspended."""

POLL_INTERVAL_SECONDS = 0.1
"""Interval of checks for pending appends during shutdown."""

DRAIN_DELAY_SECONDS = 3.5
"""How long cached directory answers may still point here after a stop was announced: three times
their time to live (1 s), and the time until other nodes read the announcement."""


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        dependencies: Dependencies,
        load_again: SettingsLoader | None = None,
        log_budget: LogBudget | None = None,
    ) -> None:
        self._live_settings = LiveSettings(settings, load_again)
        self._dialect = dependencies.dialect
        self._opened_connections = dependencies.opened_connections
        self._peak_memory = PeakMemory()
        self._connections_log = ConnectionsLog(dependencies.opened_connections)
        self._log_budget = log_budget or LogBudget()
        self._metrics = GatewayMetrics(self._state, self._log_budget)
        parts = GatewayAssembly(self._live_settings, dependencies, self._metrics).build()
        self._parts = parts
        self._identity = parts.identity
        self._routes, self._workers = parts.cluster.routes, parts.cluster.workers
        self._eligibility_services = parts.cluster.eligibility_services
        self._nodes, self._crashes = parts.cluster.nodes, parts.cluster.crashes
        self._batches, self._runner = parts.batches, parts.batches.runner
        self.store = parts.batches.store
        self._published, self._duties, self._roles = parts.published, parts.duties, parts.roles
        self._exit = anyio.Event()
        self._stop_schedule: StopSchedule | None = None
        """Set once a stop is requested."""

    @property
    def settings(self) -> GatewaySettings:
        """Return the current settings."""
        return self._live_settings.current

    async def run_until_signal(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            await self.run()
            tasks.cancel_scope.cancel()

    async def run(self) -> None:
        """Serve until a stop is requested and all requests in flight have ended."""
        listeners = [open_listener(address) for address in self._addresses()]
        app = self._build_app()
        async with anyio.create_task_group() as tasks:
            self._start_parts(tasks)
            log_event(
                "gateway_started",
                front=str(self.settings.front),
                configuration=self._routes.version,
            )
            async with anyio.create_task_group() as servers:
                for listener in listeners:
                    self._serve(servers, app, listener, self._caller_shutdown_times)
                if self.settings.peers is not None:
                    peers = open_listener(self.settings.peers)
                    self._serve(servers, self._build_peer_app(), peers, self._peer_shutdown_times)
            await self._finish_appends()
            self._log("gateway_stopped")
            tasks.cancel_scope.cancel()

    def _start_parts(self, tasks: anyio.abc.TaskGroup) -> None:
        self._published.start(tasks)
        self._nodes.start(tasks)
        self._batches.start(tasks)
        tasks.start_soon(self._eligibility_services.cold_lease_service.run)
        tasks.start_soon(self._crashes.run)
        self._duties.start(tasks)
        tasks.start_soon(self._run_housekeeping)
        tasks.start_soon(self._end_requests)
        tasks.start_soon(self._stop_if_superseded)

    async def _finish_appends(self) -> None:
        """Wait until pending records are appended, as long as the stop allows."""
        stop = self._stop_schedule
        with anyio.move_on_after(None if stop is None else _left(stop.times.cleanup_ends_at)):
            while not (self.store.idle and self._duties.idle):
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    # Serving.

    def _serve(
        self,
        servers: anyio.abc.TaskGroup,
        app: ASGIFramework,
        listener: socket.socket,
        times: Callable[[], ShutdownTimes],
    ) -> None:
        servers.start_soon(serve_http, app, listener, self._exit, EXIT_LINGER_SECONDS, times)

    def _caller_shutdown_times(self) -> ShutdownTimes:
        """Return how long callers' requests may still take when the listeners have closed."""
        stop = self._stop_schedule
        return ShutdownTimes() if stop is None else shutdown_times(stop.times, steady_seconds())

    def _peer_shutdown_times(self) -> ShutdownTimes:
        """Return the same for calls of other nodes, which may be reads that wait for records."""
        times = self._caller_shutdown_times()
        return replace(
            times, graceful_seconds=min(GRACEFUL_TIMEOUT_SECONDS, times.graceful_seconds)
        )

    def _addresses(self) -> list[Address]:
        settings = self.settings
        addresses = [settings.front, settings.readiness, settings.directory]
        if settings.metrics is not None:
            addresses.append(settings.metrics)
        return list(dict.fromkeys(addresses))

    def _build_app(self) -> GatewayApp:
        caller_interface = self._dialect.callers
        return GatewayApp(
            routes=self._routes,
            endpoints=self._build_endpoints(),
            authenticator=CallerAuthenticator(
                self._routes, self._published.renew_configuration, caller_interface.request_id
            ),
            metrics=self._metrics,
            caller_interface=caller_interface,
            ready=self._ready,
            stopping=self._is_stopping,
            refresh=self._refresh_views,
            readers=self._parts.readers,
        )

    def _build_endpoints(self) -> Endpoints:
        forwarders, metrics_address = self._parts.forwarders, self.settings.metrics
        evacuations = self._eligibility_services.evacuations
        return Endpoints(
            forwarded=ForwardingEndpoints(
                self._routes,
                forwarders.whole,
                forwarders.streams,
                self._metrics,
                self._dialect.callers,
                stop=lambda: self._stop_schedule,
            ),
            batches=self._batches.calls,
            directory=DirectoryEndpoint(self._nodes, self._routes, evacuations, self._dialect),
            quarantine=QuarantineEndpoints(
                self._crashes, None if metrics_address is None else metrics_address.port
            ),
        )

    def _build_peer_app(self) -> PeerApp:
        log = self._parts.log
        relay = LogRelay(log.direct, lambda: log.relayed.direct_path_failing)
        return PeerApp({RELAY_PATH: relay.handle, **self._batches.peer_handlers})

    async def _refresh_views(self) -> None:
        """Count a caller's request, and refresh views that are too old to serve it from."""
        self._nodes.count_call()
        await self._published.refresh()
        await self._nodes.refresh()

    def _ready(self) -> bool:
        """Whether routes, workers and the other nodes are known."""
        known = self._routes.configuration is not None and self._nodes.settled
        return known and self._published.workers_known

    def _state(self) -> GatewayState:
        """Return the values of the gauges."""
        now = steady_seconds()
        budget = None if self._parts.readers is None else self._parts.readers.budget
        followers = (*self._published.freshness, *self.store.freshness)
        return GatewayState(
            configuration=self._routes.version,
            serving_nodes=len(self._nodes.serving()),
            workers=len(self._workers.all()),
            load_reports=self._workers.report_kinds(now),
            holds_replica=self.store.following,
            listed=self._nodes.listed,
            holds_lease=self._duties.lease.held,
            running_batches=self._runner.running_batches,
            running_attempts=self._runner.running_attempts,
            awaited_scores=self._runner.awaited_scores,
            engine_tokens=self._runner.engine_tokens,
            evacuated_zones=len(self._eligibility_services.evacuations.zones),
            cold_leases=self._eligibility_services.cold_leases(now),
            worker_ends=self._crashes.suspects,
            requests_held_back=len(self._crashes.quarantined_contents()),
            held_bytes=0 if budget is None else budget.held_bytes,
            peak_held_bytes=0 if budget is None else budget.peak_bytes,
            opened_connections=self._opened_connections(),
            requests_waiting=self._parts.forwarders.gate.waiting,
            view_ages={freshness.name: freshness.age(now) for freshness in followers},
            claimant_places=self._batches.place_sharing.claimants(),
        )

    def _memory_counts(self) -> dict[str, int]:
        """Return counts of the objects that use most memory."""
        readers = self._parts.readers
        return {
            "held_bytes": 0 if readers is None else readers.budget.held_bytes,
            "batches": len(self.store.ledger.names),
            "running_batches": self._runner.running_batches,
            "running_attempts": self._runner.running_attempts,
            "connections_opened": self._opened_connections().total(),
        }

    # Periodic work.

    async def _run_housekeeping(self) -> None:
        await self._nodes.wait_until_known()
        await self._resume_batches()
        await self._nodes.wait_until_settled()
        while True:
            self._nodes.set_serving(self._ready() and not self._is_stopping())
            self._roles.update(self._is_stopping(), steady_seconds())
            await self._sleep_and_measure_lag(self._roles.pace.housekeeping_interval_seconds)
            self._workers.expire(steady_seconds())
            self._eligibility_services.expire(steady_seconds())
            self._crashes.step(steady_seconds())
            self._duties.sample_clock()
            self._log_dropped_lines()
            self._connections_log.write(steady_seconds())
            self._peak_memory.write(self._memory_counts)

    async def _resume_batches(self) -> None:
        """Resume batches that this node ran before it was restarted.

        If any batch is open on any node, reading the whole ledger is delayed.
        """
        if await self._batches.takeovers.resume_own_batches():
            wait_seconds = (
                RESTART_LOG_RESERVE_SECONDS
                if self._nodes.started_without_replicas
                else RESUME_LOG_RESERVE_SECONDS
            )
            self._parts.log_reserve.hold_until(steady_seconds() + wait_seconds)

    async def _sleep_and_measure_lag(self, seconds: float) -> None:
        due = steady_seconds() + seconds
        await anyio.sleep(seconds)
        lag = steady_seconds() - due
        self._metrics.loop_woke_late(lag)
        if lag > STALL_SECONDS:
            log_event("loop_stalled", "warning", seconds=lag)

    def _log_dropped_lines(self) -> None:
        for kind, count in self._log_budget.pop_dropped_counts().items():
            log_event("log_lines_dropped", "warning", kind=kind, count=count)

    # Shutdown.

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            self.reload()
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self.reload()
                elif not self._is_stopping():
                    await self.stop()

    def reload(self) -> None:
        """Reload the settings: timing applies at once, other changes after a restart.

        Invalid settings change nothing. Called on SIGHUP, and once when the signal handlers are
        installed, since a signal sent before that is lost.
        """
        self._live_settings.reload()
        self._duties.lease.set_quiet_seconds(self.settings.timing.lease_quiet)

    def _is_stopping(self) -> bool:
        return self._stop_schedule is not None

    async def stop(self) -> None:
        """Announce the stop, hand over batches, and exit after the drain delay."""
        times = StopTimes(steady_seconds(), self.settings.timing.stop_grace)
        stop = self._stop_schedule = StopSchedule(times, DRAIN_DELAY_SECONDS, EXIT_LINGER_SECONDS)
        self._log("stop_requested")
        self._nodes.set_stopping()
        self._duties.lease.stop()
        self._runner.hand_over()
        await anyio.sleep(_left(stop.listeners_close_at))
        self._parts.forwarders.gate.stop()
        # Listeners may take seconds to finish requests, so they are stopped without waiting for
        # pending appends, which continue meanwhile.
        self._exit.set()

    async def _stop_if_superseded(self) -> None:
        """Stop once another process of this node's name goes on in place of this one."""
        await self._nodes.wait_until_superseded()
        if not self._is_stopping():
            await self.stop()

    async def _end_requests(self) -> None:
        """End requests that are still in flight when a stop's time for them is up."""
        await self._exit.wait()
        if self._stop_schedule is not None:
            await anyio.sleep(_left(self._stop_schedule.times.requests_end_at))
            self._parts.forwarders.open_requests.end_all()

    def _log(self, event: str) -> None:
        log_event(
            event,
            incarnation=self._identity.incarnation,
            front=str(self.settings.front),
            configuration=self._routes.version,
        )


def _left(at: float) -> float:
    """Return the seconds until a steady time, at least 0."""
    return max(0.0, at - steady_seconds())
