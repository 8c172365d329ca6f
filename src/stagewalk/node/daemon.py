"""The node's process: opens resources, wires the parts around the core, serves until a stop.

Owns identity, signals, exit code and the times of a planned stop. Relies on the core to say when
everything in flight has ended after it.
"""

from __future__ import annotations

import gc
import os
import random
import signal
import time
import traceback
from collections.abc import Callable
from contextlib import AsyncExitStack

import anyio
import anyio.abc

from stagewalk.common.http.calls import open_client, open_transport
from stagewalk.common.http.server import (
    EXIT_LINGER_SECONDS,
    ShutdownTimes,
    open_listener,
    serve_http,
    shutdown_times,
)
from stagewalk.common.identities import Incarnation, NodeName, Placement
from stagewalk.common.logs.lines import configure_logs, log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.common.stop_times import StopTimes
from stagewalk.node.adapters.http_engines import HttpEngineClient
from stagewalk.node.adapters.http_platform import (
    HttpLogService,
    HttpMachineList,
    HttpScorer,
    HttpWeightStore,
)
from stagewalk.node.core.events import StopRequested
from stagewalk.node.core.instructions import Instruction
from stagewalk.node.core_runner import Core, CoreRunner
from stagewalk.node.edge.app import EdgeApp
from stagewalk.node.edge.call_runner import CallRunner
from stagewalk.node.edge.completions import CompletionEndpoints
from stagewalk.node.edge.operators import OperatorEndpoints
from stagewalk.node.edge.rollouts import RolloutEndpoints
from stagewalk.node.engine_tasks import EngineTasks
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.instruction_runner import InstructionRunner
from stagewalk.node.metrics import NodeMetrics
from stagewalk.node.node_core import NodeCore, NodeIdentity
from stagewalk.node.open_calls import OpenCalls
from stagewalk.node.peers.peer_transport import PeerTransport
from stagewalk.node.platform_tasks import PlatformServices, PlatformTasks
from stagewalk.node.settings import NodeSettings

EXIT_CLEAN = 0
EXIT_FAILED = 1

MAXIMUM_STREAM_CONNECTIONS = 1024
MAXIMUM_CONTROL_CONNECTIONS = 128
MAXIMUM_PLATFORM_CONNECTIONS = 64
MAXIMUM_IDLE_CONNECTIONS = 32
"""Limits of the HTTP pools: attempts have one connection each; control and platform calls have
separate pools."""

NO_IDLE_CONNECTIONS = 0
"""Each attempt opens a connection: if the engine is gone, connecting fails, which proves that the
attempt was not sent. A failure on a reused connection would not prove it."""

CoreFactory = Callable[[NodeIdentity, random.Random], Core]


def run_node(settings: NodeSettings, core_factory: CoreFactory = NodeCore) -> int:
    """Run a node until it is asked to stop; return the process's exit code."""
    undo_logs = configure_logs(settings.log_level)
    _exempt_loaded_modules_from_collection()
    above: Incarnation | None = None
    try:
        while True:
            daemon = Daemon(settings, core_factory, above)
            anyio.run(daemon.run, backend="asyncio")
            if daemon.restart_above is None:
                break
            above = daemon.restart_above
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        log_event("node_failed", "error", node=settings.name, cause=_cause(error), trace=trace)
        return EXIT_FAILED
    finally:
        undo_logs()
    return EXIT_CLEAN


def _cause(error: BaseException) -> str:
    """Return the first error of a group of failed tasks, as one short text."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"


def new_identity(settings: NodeSettings, above: Incarnation | None = None) -> NodeIdentity:
    """Return this process's identity.

    The incarnation is the wall clock in milliseconds, as nodes keep no state across restarts.

    Parameters
    ----------
    above
        Incarnation of an earlier process that is known to be greater; None: none is known.
    """
    incarnation = time.time_ns() // 1_000_000
    if above is not None:
        incarnation = max(incarnation, above + 1)
    return NodeIdentity(
        name=NodeName(settings.name),
        incarnation=Incarnation(incarnation),
        address=settings.peer_address,
        placement=Placement(settings.region, settings.zone),
    )


def _exempt_loaded_modules_from_collection() -> None:
    """Exempt loaded modules, which live as long as the process, from garbage collection."""
    gc.collect()
    gc.freeze()


class Daemon:
    """One node: its core and the tasks that do I/O for it.

    Parameters
    ----------
    above
        See `new_identity`.

    Attributes
    ----------
    restart_above
        Once it has run: see `ExitProcess`.
    """

    def __init__(
        self, settings: NodeSettings, core_factory: CoreFactory, above: Incarnation | None = None
    ) -> None:
        self.restart_above: Incarnation | None = None
        self._settings = settings
        self._identity = new_identity(settings, above)
        self._core = core_factory(self._identity, random.Random())
        self._metrics = NodeMetrics()
        self._events = EventQueue()
        limits = settings.limits
        self._calls = OpenCalls(limits.open_calls, limits.buffered_characters)
        self._peers = PeerTransport(settings.peer_listen, self._events, self._metrics.peers)
        self._exit = anyio.Event()
        self._stopping = False
        self._stop_times: StopTimes | None = None
        """Set once a stop is requested, if the platform limits its time."""
        self._stop_requested = anyio.Event()

    async def run(self) -> None:
        """Serve until the core says that everything in flight has ended after a stop."""
        listener = open_listener(self._settings.listen)
        async with AsyncExitStack() as resources:
            engines = await self._open_engines(resources)
            services = await self._open_platform(resources)
            tasks = await resources.enter_async_context(anyio.create_task_group())
            execute = self._build_instruction_runner(engines, services, tasks)
            runner = CoreRunner(self._core, self._events, execute, self._metrics.core)
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._exit_in_time)
            await tasks.start(self._peers.run)
            tasks.start_soon(runner.run)
            tasks.start_soon(runner.tick)
            self._log("node_started")
            await serve_http(
                self._build_app(runner),
                listener,
                self._exit,
                EXIT_LINGER_SECONDS,
                self._shutdown_times,
            )
            self._log("node_stopped")
            tasks.cancel_scope.cancel()

    async def _open_engines(self, resources: AsyncExitStack) -> HttpEngineClient:
        streams = open_client(MAXIMUM_STREAM_CONNECTIONS, NO_IDLE_CONNECTIONS)
        control = open_transport(MAXIMUM_CONTROL_CONNECTIONS, MAXIMUM_IDLE_CONNECTIONS)
        return HttpEngineClient(
            await resources.enter_async_context(streams),
            await resources.enter_async_context(control),
        )

    async def _open_platform(self, resources: AsyncExitStack) -> PlatformServices:
        pool = open_transport(MAXIMUM_PLATFORM_CONNECTIONS, MAXIMUM_IDLE_CONNECTIONS)
        transport = await resources.enter_async_context(pool)
        urls = self._settings.platform
        return PlatformServices(
            log=HttpLogService(transport, urls.log),
            machines=HttpMachineList(transport, urls.machines),
            weights=HttpWeightStore(transport, urls.weights),
            scorer=HttpScorer(transport, urls.scorer),
        )

    def _build_instruction_runner(
        self, engines: HttpEngineClient, services: PlatformServices, tasks: anyio.abc.TaskGroup
    ) -> Callable[[Instruction], None]:
        metrics = self._metrics
        runner = InstructionRunner(
            self._calls,
            EngineTasks(engines, self._events, metrics.engines, metrics.services, tasks),
            PlatformTasks(services, self._events, metrics.services, self._peers, tasks),
            self._peers,
            self._exit_process,
        )
        return runner.execute

    def _build_app(self, runner: CoreRunner) -> EdgeApp:
        limits = self._settings.limits
        calls = CallRunner(self._calls, self._events, self._metrics.edge)
        operators = OperatorEndpoints(
            runner.status, lambda: self._stopping, self._metrics, self._events.__len__
        )
        return EdgeApp(
            CompletionEndpoints(calls, limits, self._metrics.edge),
            RolloutEndpoints(calls, limits),
            operators,
            limits,
            lambda: self._stopping,
        )

    async def request_stop(self) -> None:
        """Begin a planned stop: the core refuses new requests and ends what is in flight."""
        self._stopping = True
        grace = self._settings.timing.stop_grace
        if grace is not None:
            self._stop_times = StopTimes(steady_seconds(), grace)
        self._stop_requested.set()
        self._log("stop_requested")
        await self._events.put(StopRequested())

    async def _exit_in_time(self) -> None:
        """Exit before the grace period of a stop is over, even if calls are still in flight."""
        await self._stop_requested.wait()
        if self._stop_times is not None:
            ends_at = self._stop_times.requests_end_at - EXIT_LINGER_SECONDS
            await anyio.sleep(max(0.0, ends_at - steady_seconds()))
            self._exit_process()

    def _shutdown_times(self) -> ShutdownTimes:
        """Return how long answers may still take when the listener has closed."""
        stop = self._stop_times
        return ShutdownTimes() if stop is None else shutdown_times(stop, steady_seconds())

    def _exit_process(self, restart_above: Incarnation | None = None) -> None:
        self.restart_above = restart_above
        self._calls.closed = True
        self._exit.set()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                if self._stopping:
                    self._log("stop_forced", "warning")
                    os._exit(EXIT_FAILED)
                await self.request_stop()

    def _log(self, event: str, level: str = "info") -> None:
        log_event(
            event,
            level,
            node=self._identity.name,
            incarnation=self._identity.incarnation,
            listen=str(self._settings.listen),
            peer_listen=str(self._settings.peer_listen),
        )
