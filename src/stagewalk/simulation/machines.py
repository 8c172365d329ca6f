"""Manages the simulated machines: starts, stops, restarts, and their rows in the machine list.

Owns which machines exist and their planned stops; relies on `node_host` and `engine_host` for the
processes and on `platform_services` for the list.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, ModelName, WeightVersion
from stagewalk.node.core.platform import Machine, MachineKind, MachineState
from stagewalk.simulation.engine_host import EngineHost
from stagewalk.simulation.layout import EngineSite, Layout, NodeSite
from stagewalk.simulation.log_service import LogService
from stagewalk.simulation.node_host import NodeHost
from stagewalk.simulation.platform_services import (
    MachineListService,
    ScorerService,
    WeightStoreService,
)
from stagewalk.simulation.virtual_time import Scheduler
from stagewalk.simulation.witness import Witness

STOP_LIMIT_SECONDS = 150.0
"""A planned stop that takes longer than this is ended by a kill."""

STOP_RETRY_SECONDS = 3.0
"""Interval at which a planned stop is retried while the machine is down."""

DEFAULT_RESTART_SECONDS = 10.0
"""Delay before a machine restarts if its stop set none, or if its core failed."""


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """The platform's services."""

    log: LogService
    machines: MachineListService
    store: WeightStoreService
    scorer: ScorerService


class MachineManager:
    """All machines by name; also finds them by address."""

    def __init__(
        self, scheduler: Scheduler, layout: Layout, services: PlatformServices, witness: Witness
    ) -> None:
        self.layout = layout
        self.services = services
        self.witness = witness
        self.nodes: dict[str, NodeHost] = {}
        self.engines: dict[str, EngineHost] = {}
        self._scheduler = scheduler
        self._nodes_by_address: dict[Address, NodeHost] = {}
        self._engines_by_address: dict[Address, EngineHost] = {}
        self._restart_after: dict[str, float] = {}

    @property
    def service_names(self) -> frozenset[str]:
        """Return the names of the platform's services on the network."""
        services = self.services
        return frozenset(
            service.endpoint.name
            for service in (services.log, services.machines, services.store, services.scorer)
        )

    @property
    def all_names(self) -> frozenset[str]:
        """Return the names of everything on the network."""
        return frozenset({*self.nodes, *self.engines}) | self.service_names

    def add_node(self, node: NodeHost) -> None:
        """Add a node's machine."""
        self.nodes[node.name] = node
        self._nodes_by_address[node.site.address] = node
        self._list(node.site)

    def add_engine(self, engine: EngineHost) -> None:
        """Add an engine's machine."""
        self.engines[engine.name] = engine
        self._engines_by_address[engine.site.address] = engine
        self._list(engine.site)

    def node_at(self, address: Address) -> NodeHost | None:
        """Return the node's machine that listens at an address."""
        return self._nodes_by_address.get(address)

    def engine_at(self, address: Address) -> EngineHost | None:
        """Return the engine's machine that listens at an address."""
        return self._engines_by_address.get(address)

    def start_all(self) -> None:
        """Start every machine."""
        for engine in self.engines.values():
            engine.start(self.first_version(engine.site.model))
        for node in self.nodes.values():
            node.start()

    def first_version(self, model: ModelName) -> WeightVersion:
        """Return the version that a started engine loads: the newest of the store."""
        return self.services.store.latest(model)

    def kill_node(
        self, name: str, restart_after_seconds: float, machine_lost: bool = False
    ) -> None:
        """Kill a node and start it again later under the same name and address."""
        node = self.nodes[name]
        if node.alive:
            node.kill(machine_lost)
            self._scheduler.after(restart_after_seconds, lambda: self._start_node(node))

    def stop_node(self, name: str, restart_after_seconds: float) -> None:
        """Stop a node gracefully, once it runs; it restarts some time after its exit."""
        node = self.nodes[name]
        if node.stopping:
            return
        if not node.alive:
            self._scheduler.after(
                STOP_RETRY_SECONDS, lambda: self.stop_node(name, restart_after_seconds)
            )
            return
        incarnation = node.incarnation
        self._restart_after[name] = restart_after_seconds
        self.services.machines.mark_leaving(name)
        node.stop()

        def enforce() -> None:
            if node.alive and node.incarnation == incarnation:
                self.kill_node(name, restart_after_seconds)

        self._scheduler.after(STOP_LIMIT_SECONDS, enforce)

    def node_exited(self, node: NodeHost) -> None:
        """Record that a planned stop ended."""
        self.services.machines.remove(node.name)
        delay = self._restart_after.pop(node.name, DEFAULT_RESTART_SECONDS)
        self._scheduler.after(delay, lambda: self._start_node(node))

    def node_failed(self, node: NodeHost) -> None:
        """Restart a node whose core failed."""
        self._scheduler.after(DEFAULT_RESTART_SECONDS, lambda: self._start_node(node))

    def crash_engine(
        self, name: str, restart_after_seconds: float, machine_lost: bool = False
    ) -> None:
        """Crash an engine and start it again later."""
        engine = self.engines[name]
        if engine.alive:
            engine.crash(machine_lost)
            self._scheduler.after(restart_after_seconds, lambda: self._start_engine(engine))

    def stop_engine(self, name: str, restart_after_seconds: float) -> None:
        """Stop an engine gracefully, once it runs; the machine list learns of it late."""
        engine = self.engines[name]
        if engine.stopping:
            return
        if not engine.alive:
            self._scheduler.after(
                STOP_RETRY_SECONDS, lambda: self.stop_engine(name, restart_after_seconds)
            )
            return
        self._restart_after[name] = restart_after_seconds
        self.services.machines.mark_leaving(name)
        engine.stop()

    def engine_exited(self, engine: EngineHost) -> None:
        """Record that a planned stop ended."""
        self.services.machines.remove(engine.name)
        delay = self._restart_after.pop(engine.name, DEFAULT_RESTART_SECONDS)
        self._scheduler.after(delay, lambda: self._start_engine(engine))

    def _start_node(self, node: NodeHost) -> None:
        if not node.alive:
            self._list(node.site)
            node.start()

    def _start_engine(self, engine: EngineHost) -> None:
        if not engine.alive:
            self._list(engine.site)
            engine.start(self.first_version(engine.site.model))

    def _list(self, site: NodeSite | EngineSite) -> None:
        kind = MachineKind.NODE if isinstance(site, NodeSite) else MachineKind.ENGINE
        self.services.machines.put(
            Machine(
                site.endpoint.name,
                kind,
                site.address,
                site.endpoint.placement,
                MachineState.LIVE,
                site.service,
            )
        )
