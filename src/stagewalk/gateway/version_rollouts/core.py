"""Decides which engine is ordered to which version, and when. Pure.

Inputs are the listed engines and the versions they hold, the named versions, the oldest version
that batches accept, evacuated zones, and the time in seconds of the steady clock. Only a few
engines load at a time, since concurrent loads slow each other down, and the furthest behind come
first. With several models, each has its own set of engines (`engine_sets`). If steps accept the
previous version too, only half of the engines change with each version.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass

from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.version_rollouts.change_counts import ChangeRule, loads_at_once
from stagewalk.gateway.version_rollouts.engine_sets import (
    ModelDemand,
    SetSizes,
    assign_engines,
    engines_by_models,
)
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

LOAD_SECONDS = 0.9
"""How long an announced load is expected to keep its engine busy."""

ORDER_DEADLINE_SECONDS = 3.0
"""An order is forgotten after this time and may be sent again if it had no effect."""

RETRY_SECONDS = 0.3
"""Pause after a failed order to an engine."""


@dataclass(frozen=True, slots=True)
class PlannedVersionOrder:
    """An order to an engine to load a version of a model."""

    worker: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An order that may be sent.

    Attributes
    ----------
    urgency
        Sort key, most urgent first: versions behind (negative), occupancy, engine's name.
    """

    urgency: tuple[int, float, str]
    order: PlannedVersionOrder


@dataclass(slots=True)
class _Pending:
    model: str
    version: int
    expires_at: float


class VersionRollouts:
    """Tracks the newest named version of each model and the pending orders.

    Parameters
    ----------
    evacuated
        Returns the evacuated zones: their engines belong to no set and get no orders.
    configured
        Returns whether a service is in the configuration in force; engines of others are ignored.
    """

    def __init__(
        self,
        workers: WorkerTable,
        policy: Policy = DEFAULT_POLICY,
        evacuated: Callable[[], Container[str]] = tuple,
        configured: Callable[[str], bool] = lambda _service: True,
    ) -> None:
        self._workers = workers
        self._evacuated = evacuated
        self._configured = configured
        self._policy = policy
        self._named: dict[str, int] = {}
        self._lag: dict[str, int] = {}
        self._minimum: dict[str, int] = {}
        self._pending: dict[str, _Pending] = {}
        self._not_before: dict[str, float] = {}
        self._demand = ModelDemand()
        self._set_sizes: dict[tuple[str, ...], SetSizes] = {}
        """Keyed by the models that the engines hold."""

    def record_named_version(self, model: str, version: int) -> bool:
        """Record a named version; return whether it is the newest."""
        if version <= self._named.get(model, 0):
            return False
        self._named[model] = version
        return True

    def named(self, model: str) -> int:
        """Return a model's newest named version, 0 if none was named."""
        return self._named.get(model, 0)

    def record_minimum_version(self, model: str, minimum_version: int) -> None:
        """Record a batch's minimum version, which sets how far behind engines may be.

        Old batches are read again after a restart, in any order: a minimum that is lower than one
        recorded before is ignored.
        """
        if minimum_version < self._minimum.get(model, 0):
            return
        self._minimum[model] = minimum_version
        self._lag[model] = max(0, self._named.get(model, 1) - minimum_version)

    def record_open_items(self, open_items: Mapping[str, int], now: float) -> None:
        """Record how many items of each model are unfinished."""
        self._demand.record(open_items, now)

    def pending(self, worker: str) -> bool:
        """Whether an engine has a pending order."""
        return worker in self._pending

    def order_started(self, order: PlannedVersionOrder, now: float) -> None:
        """Record that an order is being sent."""
        expires_at = now + ORDER_DEADLINE_SECONDS
        self._pending[order.worker] = _Pending(order.model, order.version, expires_at)

    def expect_load(self, worker: str, model: str, version: int, now: float) -> None:
        """Record a load announced by the lease holder."""
        known = self._workers.worker(worker)
        if known is not None and known.versions.get(model, 0) < version:
            known.loading_until[model] = now + LOAD_SECONDS

    def order_failed(self, worker: str, now: float) -> None:
        """Record that an order failed; it may be retried after `RETRY_SECONDS`."""
        self._pending.pop(worker, None)
        self._not_before[worker] = now + RETRY_SECONDS

    def decide(self, now: float) -> list[PlannedVersionOrder]:
        """Return the orders to send now, at most one for each engine, furthest behind first."""
        self._drop_finished_orders(now)
        loaded = sum(1 for worker in self._engines() if worker.versions)
        free_loads = loads_at_once(loaded) - len(self._pending)
        if free_loads <= 0:
            return []
        orders: dict[str, PlannedVersionOrder] = {}
        for candidate in sorted(self._candidates(now), key=lambda candidate: candidate.urgency):
            orders.setdefault(candidate.order.worker, candidate.order)
        return list(orders.values())[:free_loads]

    def _drop_finished_orders(self, now: float) -> None:
        """Drop pending orders that took effect or timed out."""
        for name, pending in list(self._pending.items()):
            worker = self._workers.worker(name)
            done = worker is None or worker.versions.get(pending.model, 0) >= pending.version
            if done or now >= pending.expires_at:
                del self._pending[name]
                if worker is not None:
                    worker.loading_until.pop(pending.model, None)

    def _candidates(self, now: float) -> list[_Candidate]:
        """Return the orders that may be sent now, regardless of the limit on concurrent loads."""
        models = self._models()
        sets = self._sets(models)
        candidates: list[_Candidate] = []
        for model, version in self._named.items():
            engines = [
                worker
                for worker in self._engines()
                if model in worker.versions and not worker.announcement.draining
            ]
            if self._policy.engine_sets and len(models) > 1:
                engines = [e for e in engines if sets.get(e.announcement.worker) == model]
            for worker in self._engines_to_change(engines, model, version):
                name = worker.announcement.worker
                if name in self._pending or self._not_before.get(name, -math.inf) > now:
                    continue
                urgency = (worker.versions[model] - version, worker.occupancy(now), name)
                candidates.append(_Candidate(urgency, PlannedVersionOrder(name, model, version)))
        return candidates

    def _engines(self) -> list[Worker]:
        """Return the listed workers of configured services outside evacuated zones."""
        evacuated = self._evacuated()
        return [
            worker
            for worker in self._workers.all()
            if worker.announcement.zone not in evacuated
            and self._configured(worker.announcement.service)
        ]

    def _models(self) -> list[str]:
        """Return the models with a named version or a batch."""
        return sorted(self._named.keys() | self._minimum.keys())

    def _sets(self, models: list[str]) -> dict[str, str]:
        """Assign each engine to a model by the current demand."""
        sets: dict[str, str] = {}
        for held, engines in engines_by_models(self._engines(), models).items():
            shares = self._demand.shares(held)
            sizes = self._set_sizes.setdefault(held, SetSizes()).update(len(engines), shares)
            named = {model: self._named.get(model, 1) for model in held}
            sets.update(assign_engines(engines, named, sizes))
        return sets

    def _engines_to_change(self, engines: list[Worker], model: str, version: int) -> list[Worker]:
        """Return the engines to change, by version and then by load, lowest first."""
        rule = ChangeRule(
            models=len(self._named),
            lag=self._lag.get(model, 0),
            own_set=self._policy.engine_sets and len(self._models()) > 1,
            half_change=self._policy.half_change,
        )
        behind = [engine for engine in engines if not self._has_or_awaits(engine, model, version)]
        too_old = sum(1 for engine in behind if engine.versions[model] < version - rule.lag)
        oldest_first = sorted(
            behind,
            key=lambda engine: (
                engine.versions[model],
                engine.in_flight,
                engine.announcement.worker,
            ),
        )
        return oldest_first[: rule.changes(len(engines), len(behind), too_old)]

    def _has_or_awaits(self, engine: Worker, model: str, version: int) -> bool:
        """Whether an engine holds a version, or has a pending order to load it."""
        pending = self._pending.get(engine.announcement.worker)
        if pending is not None and (pending.model, pending.version) == (model, version):
            return True
        return engine.versions[model] >= version
