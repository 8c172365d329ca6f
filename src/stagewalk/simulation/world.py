"""A whole simulated deployment, wired from its layout.

Owns every object of a run and their wiring; relies on the modules of this folder, one for each
kind of process or service.
"""

from __future__ import annotations

import random

from stagewalk.common.identities import Placement
from stagewalk.history.observations import ConfigurationSeen
from stagewalk.simulation.callers import CallerWorld, InteractiveCaller
from stagewalk.simulation.engine_host import EngineHost
from stagewalk.simulation.fault_injector import FaultInjector
from stagewalk.simulation.faults import Fault
from stagewalk.simulation.layout import CallerLoad, Endpoint, Layout, NodeSite, TrainerLoad
from stagewalk.simulation.log_service import LogService
from stagewalk.simulation.machines import MachineManager, PlatformServices
from stagewalk.simulation.network import Network
from stagewalk.simulation.node_host import CoreFactory, CoreFailure, NodeClock, NodeHost
from stagewalk.simulation.operators import Operator, OperatorWorld
from stagewalk.simulation.outbound import OutboundCalls, Services
from stagewalk.simulation.platform_services import (
    MachineListService,
    ScorerService,
    WeightStoreService,
)
from stagewalk.simulation.trainers import FIRST_VERSION, Trainer, TrainerWorld
from stagewalk.simulation.virtual_time import Action, Scheduler, derived_generator
from stagewalk.simulation.witness import Witness

OPERATORS_PER_PARTNER = 2
PROBE_INTERVAL_SECONDS = 2.0
CLOCK_OFFSET_SECONDS = 1000.0
CLOCK_DRIFT = 2e-5
LOAD_STARTS_SECONDS = 5.0
"""Delay before clients start, for nodes to discover each other and read the configuration."""


class World:
    """Everything that runs in one simulation.

    Attributes
    ----------
    failures
        Exceptions raised by cores.
    """

    def __init__(self, layout: Layout, seed: int, factory: CoreFactory) -> None:
        self.layout = layout
        self.scheduler = Scheduler()
        self.witness = Witness()
        self.failures: list[CoreFailure] = []
        self._seed = seed
        self._factory = factory
        self.network = Network(self.scheduler, layout.latencies, self._generator("network"))
        self.services = self._make_services()
        self.keeper = MachineManager(self.scheduler, layout, self.services, self.witness)
        for model in layout.models:
            self.services.store.publish(model, FIRST_VERSION)
        for site in layout.engines:
            self.keeper.add_engine(self._make_engine(site.endpoint.name))
        for node_site in layout.nodes:
            self.keeper.add_node(self._make_node(node_site))
        self.trainers = {load.trainer: self._make_trainer(load) for load in layout.trainers}
        self.callers = [caller for load in layout.callers for caller in self._make_callers(load)]

    def run(self, duration_seconds: float, schedule: tuple[Fault, ...]) -> None:
        """Start everything and run the simulation to its end."""
        self.start(schedule)
        self.scheduler.run_until(duration_seconds)

    def start(self, schedule: tuple[Fault, ...]) -> None:
        """Start machines, clients, operators, probes and faults."""
        self.keeper.start_all()
        self._start_operators()
        self._start_probes()
        for trainer in self.trainers.values():
            self.scheduler.after(LOAD_STARTS_SECONDS, trainer.start)
        for caller in self.callers:
            self.scheduler.after(LOAD_STARTS_SECONDS, self._starter(caller))
        FaultInjector(self.keeper, self.network, self.trainers).plan(schedule)

    def _starter(self, caller: InteractiveCaller) -> Action:
        return lambda: self.scheduler.start(caller.run())

    def _generator(self, *purpose: str | int) -> random.Random:
        return derived_generator(self._seed, *purpose)

    def _make_services(self) -> PlatformServices:
        place = Placement(min(self.layout.latencies), "platform")
        log = LogService(self.network, Endpoint("log", place), self.witness, self._generator("log"))
        machines = MachineListService(self.network, Endpoint("machine-list", place))
        store = WeightStoreService(
            self.network,
            Endpoint("weight-store", place),
            self.witness,
            self.layout.version_bytes,
        )
        scorer = ScorerService(self.network, Endpoint("scorer", place), self._generator("scorer"))
        return PlatformServices(log, machines, store, scorer)

    def _make_engine(self, name: str) -> EngineHost:
        site = next(site for site in self.layout.engines if site.endpoint.name == name)
        return EngineHost(
            site,
            self.layout.engine_settings,
            network=self.network,
            store=self.services.store,
            witness=self.witness,
            generator=self._generator("engine", name),
            on_exit=self.keeper.engine_exited,
        )

    def _make_node(self, site: NodeSite) -> NodeHost:
        generator = self._generator("clock", site.endpoint.name)
        clock = NodeClock(
            CLOCK_OFFSET_SECONDS * generator.random(),
            1.0 + CLOCK_DRIFT * generator.uniform(-1.0, 1.0),
        )
        return NodeHost(
            site,
            self.network,
            directory=self.keeper,
            witness=self.witness,
            clock=clock,
            factory=self._factory,
            outbound_factory=self._make_outbound,
            generators=lambda name, incarnation: self._generator("node", name, incarnation),
            on_exit=self.keeper.node_exited,
            on_failure=self._node_failed,
        )

    def _make_outbound(self, node: NodeHost) -> OutboundCalls:
        incarnation = node.incarnation
        services = Services(
            self.services.log,
            self.services.machines,
            self.services.store,
            self.services.scorer,
            self.keeper,
        )
        return OutboundCalls(
            node.endpoint,
            self.network,
            services,
            lambda event: node.deliver_to_incarnation(incarnation, event),
        )

    def _node_failed(self, failure: CoreFailure) -> None:
        self.failures.append(failure)
        self.keeper.node_failed(self.keeper.nodes[failure.node])

    def _homes(self, service: str) -> list[NodeHost]:
        return [node for node in self.keeper.nodes.values() if node.site.service == service]

    def _make_trainer(self, load: TrainerLoad) -> Trainer:
        homes = self._homes(load.service)
        position = [each.trainer for each in self.layout.trainers].index(load.trainer)
        world = TrainerWorld(
            self._seed,
            self.scheduler,
            self.witness,
            tuple(self.keeper.nodes.values()),
            self.services.store,
            self.layout.engine_settings,
        )
        generator = self._generator("trainer", load.trainer)
        return Trainer(world, load, homes[position % len(homes)], generator)

    def _make_callers(self, load: CallerLoad) -> list[InteractiveCaller]:
        homes = self._homes(load.service)
        world = CallerWorld(
            self.scheduler,
            self.witness,
            tuple(self.keeper.nodes.values()),
            self.layout.engine_settings,
        )
        rate = load.requests_per_second / len(homes)
        return [
            InteractiveCaller(
                world, load, home, rate, self._generator("caller", load.tenant, home.name)
            )
            for home in homes
        ]

    def _start_operators(self) -> None:
        place = Placement(min(self.layout.latencies), "operators")
        world = OperatorWorld(self.scheduler, self.services.log, self.witness, self.layout)
        for partner in sorted({site.partner for site in self.layout.tenants}):
            for index in range(OPERATORS_PER_PARTNER):
                name = f"{partner}-operator-{index + 1}"
                generator = self._generator("operator", name)
                operator = Operator(world, name, partner, Endpoint(name, place), generator)
                self.scheduler.start(operator.run(creates_tenants=index == 0))

    def _start_probes(self) -> None:
        for index, node in enumerate(self.keeper.nodes.values()):
            first = PROBE_INTERVAL_SECONDS * index / len(self.keeper.nodes)
            self.scheduler.every(PROBE_INTERVAL_SECONDS, first, self._probe(node))

    def _probe(self, node: NodeHost) -> Action:
        def probe() -> None:
            status = node.status()
            if status is None:
                return
            self.witness.observe(
                ConfigurationSeen(
                    at=self.scheduler.now,
                    node=node.name,
                    incarnation=status.incarnation,
                    offset=status.configuration_offset,
                    digest=status.configuration_digest,
                    revisions=status.revisions,
                )
            )

        return probe
