"""Weight rollouts for the pools whose lease this node holds.

Tracks the engines of each pool and the published versions; `PoolRollout` sends the orders.
"""

from __future__ import annotations

from stagewalk.common.identities import (
    EngineName,
    Epoch,
    ModelName,
    ProcessIdentity,
    TenantName,
    WeightVersion,
)
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.instructions import Instruction, ReadVersions
from stagewalk.node.core.platform import (
    EngineOrderOutcome,
    EngineReport,
    Machine,
    MachineKind,
    MachineState,
    PublishedVersion,
)
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.engines import EngineView
from stagewalk.node.weights.pool import PoolRollout


class WeightRolloutCore:
    """Decides which weights engines fetch and swap to, in the pools whose lease this node holds.

    A pool is a model. Its engines are the listed ones whose reports name the model or, without a
    report, whose service is the model's name. No orders are sent to a pool without its lease.

    Parameters
    ----------
    identity
        This node; its name and incarnation make order ids unique.
    """

    def __init__(self, identity: ProcessIdentity, config: WeightRolloutConfig) -> None:
        self._config = config
        self._source = f"{identity.name}.{identity.incarnation}"
        self._pools: dict[ModelName, PoolRollout] = {}
        self._tenants: tuple[Tenant, ...] = ()
        self._machines: dict[EngineName, Machine] = {}
        self._published: dict[ModelName, tuple[WeightVersion, ...]] = {}
        self._models: dict[EngineName, ModelName] = {}
        self._read_at: dict[ModelName, float] = {}
        self._evaluate_at = 0.0

    def set_lease(self, pool: ModelName, epoch: Epoch | None) -> None:
        """Start managing a pool under a lease's epoch, or stop if there is none."""
        known = self._pools.get(pool)
        if epoch is None:
            self._pools.pop(pool, None)
        elif known is None or known.epoch != epoch:
            rollout = PoolRollout(pool, epoch, self._source, self._config)
            rollout.set_published(self._published.get(pool, ()))
            rollout.set_tenants(self._tenants)
            self._pools[pool] = rollout

    def set_tenants(self, tenants: dict[TenantName, Tenant]) -> None:
        """Replace the tenants; their pins and weights apply from the next decision on."""
        self._tenants = tuple(tenants[name] for name in sorted(tenants))
        for rollout in self._pools.values():
            rollout.set_tenants(self._tenants)

    def handle_machines(self, machines: tuple[Machine, ...], now: float) -> None:
        """Apply the machine list, which gives engines' addresses but no sign of life."""
        self._machines = {
            EngineName(machine.name): machine
            for machine in machines
            if machine.kind is MachineKind.ENGINE
        }
        for rollout in self._pools.values():
            self._update_engines(rollout, now)

    def handle_report(self, report: EngineReport, now: float) -> list[Instruction]:
        """Apply an engine's report."""
        model_changed = self._models.get(report.engine) != report.model
        self._models[report.engine] = report.model
        if model_changed:
            for pool in self._pools.values():
                self._update_engine(pool, report.engine, now)
        rollout = self._pools.get(report.model)
        return [] if rollout is None else rollout.apply_report(report, now)

    def handle_versions(self, model: ModelName, versions: tuple[PublishedVersion, ...]) -> None:
        """Apply the store's list of a model's versions."""
        published = tuple(sorted(item.version for item in versions))
        self._published[model] = published
        rollout = self._pools.get(model)
        if rollout is not None:
            rollout.set_published(published)

    def handle_order_answer(
        self, engine: EngineName, order_id: str, outcome: EngineOrderOutcome, now: float
    ) -> list[Instruction]:
        """Handle the outcome of an order, including a missing answer."""
        output: list[Instruction] = []
        for rollout in self._pools.values():
            output += rollout.handle_answer(engine, order_id, outcome, now)
        return output

    def tick(self, now: float) -> list[Instruction]:
        """Evaluate the pools whose lease this node holds."""
        if not self._pools or now < self._evaluate_at:
            return []
        self._evaluate_at = now + self._config.evaluation_interval_seconds
        output: list[Instruction] = []
        for pool in sorted(self._pools):
            rollout = self._pools[pool]
            if not rollout.engines:
                self._update_engines(rollout, now)
            output += self._read_versions(pool, now)
            output += rollout.evaluate(now)
        return output

    def _read_versions(self, pool: ModelName, now: float) -> list[Instruction]:
        read_at = self._read_at.get(pool)
        if read_at is not None and now - read_at < self._config.version_poll_seconds:
            return []
        self._read_at[pool] = now
        return [ReadVersions(pool)]

    def _update_engines(self, rollout: PoolRollout, now: float) -> None:
        """Update a pool's engines from the machine list."""
        for name in sorted({*rollout.engines, *self._machines}):
            self._update_engine(rollout, name, now)

    def _update_engine(self, rollout: PoolRollout, name: EngineName, now: float) -> None:
        machine = self._machines.get(name)
        if machine is None or self._pool_of(name, machine) != rollout.pool:
            rollout.engines.pop(name, None)
            return
        view = rollout.engines.get(name)
        if view is None:
            view = EngineView(name, machine.address, now)
            rollout.engines[name] = view
        view.address = machine.address
        view.leaving = machine.state is MachineState.LEAVING

    def _pool_of(self, name: EngineName, machine: Machine) -> ModelName:
        """Return the model that an engine reports, or else its service in the machine list."""
        return self._models.get(name, ModelName(machine.service))
