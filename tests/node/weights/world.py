"""A simulated pool of engines with delayed orders, lagging reports and configurable failures."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stagewalk.common.identities import (
    Address,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    NodeName,
    Placement,
    TenantName,
    WeightVersion,
)
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.core.instructions import (
    Instruction,
    PollEngine,
    ReadVersions,
    SendEngineOrder,
    WriteLogLine,
)
from stagewalk.node.core.platform import (
    EngineOrder,
    EngineOrderOutcome,
    EngineReport,
    EngineState,
    Machine,
    MachineKind,
    MachineState,
    OrderKind,
    PublishedVersion,
)
from stagewalk.node.node_core import NodeIdentity
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.core import WeightRolloutCore

POOL = ModelName("rollout-lm")
PLACEMENT = Placement("r", "z")
TICK = 0.1
REPORT_LAG_SECONDS = 1.0


def tenant(name: str = "t", **parameters: object) -> Tenant:
    values = TenantParameters(models=(POOL,), **parameters)  # type: ignore[arg-type]
    return Tenant(name=TenantName(name), partner="p", template="x", revision=1, parameters=values)


def by_name(*tenants: Tenant) -> dict[TenantName, Tenant]:
    return {item.name: item for item in tenants}


def make_core(name: str = "holder", config: WeightRolloutConfig | None = None) -> WeightRolloutCore:
    identity = NodeIdentity(NodeName(name), Incarnation(1), Address("127.0.0.1", 1), PLACEMENT)
    core = WeightRolloutCore(identity, config or WeightRolloutConfig())
    core.set_tenants(by_name(tenant()))
    return core


@dataclass
class Engine:
    """A simulated engine; `reports` holds its reports over time, which simulates their lag."""

    name: EngineName
    active: int = 1
    incarnation: int = 1
    epoch: int = 0
    staged: set[int] = field(default_factory=set)
    activation: tuple[float, int] | None = None
    fetch: tuple[float, int] | None = None
    leaving: bool = False
    alive: bool = True
    reports: list[EngineReport] = field(default_factory=list)

    def report(self, now: float) -> EngineReport:
        state = EngineState.LOADING if self.activation else EngineState.SERVING
        return EngineReport(
            engine=self.name,
            incarnation=Incarnation(self.incarnation),
            model=POOL,
            state=EngineState.LEAVING if self.leaving else state,
            active_version=WeightVersion(self.active),
            staged_versions=tuple(WeightVersion(version) for version in sorted(self.staged)),
            epoch=Epoch(self.epoch),
            running=0,
            waiting=0,
            pending_tokens=0,
            tokens_per_second=0.0,
            batch_limit=8,
            kv_used_tokens=0,
            kv_capacity_tokens=100,
            generated_at=now,
        )


class Pool:
    """Engines managed by one or more lease holders, simulated in virtual time."""

    def __init__(self, size: int, fetch_seconds: float = 3.0, load_seconds: float = 2.5) -> None:
        names = [EngineName(f"engine-{number:03d}") for number in range(size)]
        self.engines = {name: Engine(name) for name in names}
        self.now = 0.0
        self.fetch_seconds = fetch_seconds
        self.load_seconds = load_seconds
        self.published: list[int] = [1]
        self.cores: list[WeightRolloutCore] = []
        self.orders: list[tuple[float, SendEngineOrder]] = []
        self.log: list[WriteLogLine] = []
        self.polls = 0
        self.most_fetching = 0
        self.most_loading = 0
        self.loaded_version: Callable[[EngineName, int], int] = lambda _, version: version
        self.lose_answers = False

    def machines(self) -> tuple[Machine, ...]:
        return tuple(
            Machine(
                name,
                MachineKind.ENGINE,
                Address("127.0.0.1", 9),
                PLACEMENT,
                MachineState.LIVE,
                POOL,
            )
            for name in self.engines
        )

    def add_holder(self, core: WeightRolloutCore, epoch: int) -> WeightRolloutCore:
        core.handle_machines(self.machines(), self.now)
        core.set_lease(POOL, Epoch(epoch))
        self.cores.append(core)
        return core

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Step until a condition holds or the time is over; return the elapsed time."""
        began = self.now
        while self.now - began < seconds and not (until is not None and until()):
            self.now = round(self.now + TICK, 6)
            self._step_engines()
            for core in self.cores:
                self._execute(core, core.tick(self.now))
        return self.now - began

    def all_on(self, version: int) -> bool:
        return all(engine.active == version for engine in self.engines.values())

    def orders_of(self, kind: OrderKind) -> list[EngineOrder]:
        return [item.order for _, item in self.orders if item.order.kind is kind]

    def _step_engines(self) -> None:
        for engine in self.engines.values():
            if engine.fetch is not None and engine.fetch[0] <= self.now:
                engine.staged.add(engine.fetch[1])
                engine.fetch = None
            if engine.activation is not None and engine.activation[0] <= self.now:
                engine.active = self.loaded_version(engine.name, engine.activation[1])
                engine.activation = None
            self._record_report(engine)
        engines = self.engines.values()
        self.most_fetching = max(self.most_fetching, sum(1 for e in engines if e.fetch))
        self.most_loading = max(self.most_loading, sum(1 for e in engines if e.activation))

    def _record_report(self, engine: Engine) -> None:
        """Update an engine's visible report once per reporting lag."""
        reports = engine.reports
        if not reports or self.now - reports[-1].generated_at >= REPORT_LAG_SECONDS - TICK / 2:
            reports.append(engine.report(self.now))

    def _execute(self, core: WeightRolloutCore, instructions: Iterable[Instruction]) -> None:
        for item in instructions:
            match item:
                case PollEngine(engine=name):
                    self._poll(core, self.engines[name])
                case ReadVersions(model=model):
                    published = tuple(
                        PublishedVersion(model, WeightVersion(version), 1, 0.0)
                        for version in self.published
                    )
                    core.handle_versions(model, published)
                case SendEngineOrder():
                    self.orders.append((self.now, item))
                    outcome = self._execute_order(self.engines[item.engine], item.order)
                    answered = core.handle_order_answer(
                        item.engine,
                        item.order.order_id,
                        EngineOrderOutcome.UNKNOWN if self.lose_answers else outcome,
                        self.now,
                    )
                    self._execute(core, answered)
                case WriteLogLine():
                    self.log.append(item)

    def _poll(self, core: WeightRolloutCore, engine: Engine) -> None:
        self.polls += 1
        if not engine.alive:
            return
        self._execute(core, core.handle_report(engine.reports[-1], self.now))

    def _execute_order(self, engine: Engine, order: EngineOrder) -> EngineOrderOutcome:
        if not engine.alive:
            return EngineOrderOutcome.UNKNOWN
        if order.epoch < engine.epoch:
            return EngineOrderOutcome.STALE_EPOCH
        engine.epoch = order.epoch
        if order.kind is OrderKind.STAGE:
            if order.version == engine.active or order.version in engine.staged:
                return EngineOrderOutcome.ACCEPTED
            engine.fetch = (self.now + self.fetch_seconds, order.version)
            return EngineOrderOutcome.ACCEPTED
        if order.version not in engine.staged or engine.activation is not None:
            return EngineOrderOutcome.REFUSED
        engine.activation = (self.now + self.load_seconds, order.version)
        return EngineOrderOutcome.ACCEPTED
