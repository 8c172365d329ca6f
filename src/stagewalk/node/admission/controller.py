"""Admission: decides at this node when a request may be dispatched, or that it may not.

There is no central point. Each node enforces the tenants' shares over what it sees: its own
adaptive limit and the load of the engines it routes over.
A refusal is given at once, says `ran: no`, and names when to come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, Ran, StagewalkError, Step
from stagewalk.common.identities import ModelName, NodeName, RequestKey, TenantName
from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.admission.limiter import AdaptiveLimiter
from stagewalk.node.admission.shares import guaranteed, may_use_one_more
from stagewalk.node.admission.waiting import QueueName, WaitingRoom
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.completions import CompletionRequest, Priority


class Admission(StrEnum):
    """What became of a request that was not refused."""

    ADMITTED = "admitted"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Slots and load of a pool's engines, in sequences, as far as this node sees them."""

    slots: int
    load: int


@dataclass(slots=True)
class _Pool:
    """Mutable state of one model's pool."""

    limiter: AdaptiveLimiter
    service_seconds: dict[Priority, float]
    shares: dict[TenantName, float] = field(default_factory=dict)
    in_use: dict[TenantName, int] = field(default_factory=dict)
    waiting: WaitingRoom = field(default_factory=WaitingRoom)
    capacity: PoolCapacity | None = None
    started_since: int = 0
    room_limit: float = 0.0

    def in_flight(self) -> int:
        return sum(self.in_use.values())

    def limit(self) -> float:
        """Return the requests this node may have in flight: what it has learnt, or sees free."""
        return max(self.limiter.limit, self.room_limit)


@dataclass(frozen=True, slots=True)
class _Admitted:
    model: ModelName
    priority: Priority
    admitted_at: float


class AdmissionController:
    """Shares, queue and adaptive limit of each pool, at this node."""

    def __init__(self, owner: NodeName, config: AdmissionConfig) -> None:
        self._owner = owner
        self._config = config
        self._pools: dict[ModelName, _Pool] = {}
        self._admitted: dict[RequestKey, _Admitted] = {}
        self._waiting: dict[RequestKey, ModelName] = {}
        self._tenants: dict[TenantName, Tenant] = {}

    def set_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Take the tenants in force; their shares hold from now on."""
        self._tenants = {tenant.name: tenant for tenant in tenants}
        for model, pool in self._pools.items():
            pool.shares = self._shares_of(model)

    def set_pool(self, model: ModelName, capacity: PoolCapacity) -> None:
        """Take a newer view of a pool's slots and load."""
        pool = self._pool(model)
        pool.capacity = capacity
        pool.started_since = 0
        free = max(0.0, capacity.slots * self._config.pool_overcommit - capacity.load)
        pool.room_limit = pool.in_flight() + self._config.free_room_fraction * free

    def models(self) -> tuple[ModelName, ...]:
        """Return the pools with requests in flight or waiting."""
        return tuple(
            sorted(model for model, pool in self._pools.items() if pool.in_use or len(pool.waiting))
        )

    def waiting_count(self) -> int:
        """Return how many requests wait, over all pools."""
        return len(self._waiting)

    def in_flight_count(self) -> int:
        """Return how many requests are admitted, over all pools."""
        return len(self._admitted)

    def admit(
        self, key: RequestKey, request: CompletionRequest, now: float
    ) -> Result[Admission, StagewalkError]:
        """Admit a request, queue it, or refuse it at once; the refusal is `ran: no`."""
        pool = self._pool(request.model)
        queue = QueueName(request.priority, key.tenant)
        if not self._has_claim_before(pool, queue) and self._may_start(pool, queue):
            self._start(key, request.model, request.priority, now)
            return Ok(Admission.ADMITTED)
        refusal = self._refusal(pool, key, request, now)
        if refusal is not None:
            return Error(refusal)
        pool.waiting.add(key, request.priority)
        self._waiting[key] = request.model
        return Ok(Admission.WAITING)

    def release(self, now: float) -> list[RequestKey]:
        """Return the waiting requests that are admitted now, most entitled first."""
        if not self._waiting:
            return []
        released: list[RequestKey] = []
        for model in sorted(set(self._waiting.values())):
            released.extend(self._release_pool(model, now))
        return released

    def withdraw(self, key: RequestKey) -> None:
        """Forget a request, waiting or admitted, whose end says nothing about the pool."""
        model = self._waiting.pop(key, None)
        if model is not None:
            self._pool(model).waiting.remove(key)
            return
        self._give_back(key)

    def ended(self, key: RequestKey, now: float) -> None:
        """Note that an admitted request was answered; its duration is measured."""
        admitted = self._give_back(key)
        if admitted is None:
            return
        pool = self._pool(admitted.model)
        weight = self._config.service_smoothing
        old = pool.service_seconds[admitted.priority]
        new = now - admitted.admitted_at
        pool.service_seconds[admitted.priority] = old + weight * (new - old)
        pool.limiter.note_completed(pool.in_flight() + 1)

    def note_refused(self, model: ModelName, now: float) -> None:
        """Note that an engine of a pool refused work for want of room."""
        self._pool(model).limiter.note_refused(now)

    def note_first_token(self, model: ModelName, delay_seconds: float, now: float) -> None:
        """Note how long an attempt waited for its first token."""
        self._pool(model).limiter.note_first_token(delay_seconds, now)

    def limit(self, model: ModelName) -> float:
        """Return the adaptive limit of a pool, in requests in flight."""
        return self._pool(model).limit()

    def expected_wait_seconds(self, model: ModelName, priority: Priority) -> float:
        """Return how long a request of a priority would wait if it came now."""
        pool = self._pool(model)
        ahead = pool.waiting.ahead_of(priority) + 1
        return ahead * pool.service_seconds[priority] / max(1.0, pool.limit())

    def latest_start(self, request: CompletionRequest) -> float:
        """Return when a waiting request must start, at the latest, to be answered in time."""
        service = self._pool(request.model).service_seconds[request.priority]
        return request.deadline - service * self._config.shed_service_fraction

    def _release_pool(self, model: ModelName, now: float) -> list[RequestKey]:
        pool = self._pool(model)
        released: list[RequestKey] = []
        while len(pool.waiting):
            startable = [name for name in pool.waiting.queue_names() if self._may_start(pool, name)]
            if not startable:
                break
            chosen = min(startable, key=lambda name: self._entitlement(pool, name))
            key = pool.waiting.first(chosen)
            pool.waiting.remove(key)
            del self._waiting[key]
            self._start(key, model, chosen.priority, now)
            released.append(key)
        return released

    def _entitlement(self, pool: _Pool, name: QueueName) -> tuple[bool, int, float, str]:
        """Sort key: within the share first, then interactive, then the least served tenant."""
        in_use = pool.in_use.get(name.tenant, 0)
        own = guaranteed(pool.shares, name.tenant, pool.limit())
        share = pool.shares.get(name.tenant, 0.0)
        served = in_use / share if share > 0 else float(in_use)
        return (in_use + 1 > own, int(name.priority), served, str(name.tenant))

    def _has_claim_before(self, pool: _Pool, name: QueueName) -> bool:
        """Say whether a waiting request of the same tenant goes before one of this queue."""
        return any(
            other.tenant == name.tenant and other.priority <= name.priority
            for other in pool.waiting.queue_names()
        )

    def _may_start(self, pool: _Pool, name: QueueName) -> bool:
        reserve = self._config.share_reserve
        limit = pool.limit()
        if not may_use_one_more(pool.shares, pool.in_use, name.tenant, limit, reserve):
            return False
        return self._pool_has_room(pool, name)

    def _pool_has_room(self, pool: _Pool, name: QueueName) -> bool:
        """Check the load of the pool's engines, which includes all nodes' requests."""
        capacity = pool.capacity
        if capacity is None or capacity.slots == 0:
            return True
        usable = capacity.slots * self._config.pool_overcommit
        if name.priority is not Priority.INTERACTIVE:
            usable -= capacity.slots * self._config.interactive_reserve
        load = capacity.load + pool.started_since
        return load + 1 <= max(1.0, usable)

    def _refusal(
        self, pool: _Pool, key: RequestKey, request: CompletionRequest, now: float
    ) -> StagewalkError | None:
        wait = self.expected_wait_seconds(request.model, request.priority)
        if pool.waiting.of_tenant(key.tenant) >= self._config.maximum_waiting_per_tenant:
            return self._refuse(ErrorKind.OVER_LIMIT, "too many requests of the tenant wait", wait)
        if len(pool.waiting) >= self._config.maximum_waiting:
            return self._refuse(ErrorKind.OVERLOADED, "too many requests wait", wait)
        service = pool.service_seconds[request.priority] * self._config.shed_service_fraction
        if now + wait + service > request.deadline:
            return self._refuse(ErrorKind.OVERLOADED, "the deadline can't be met", wait)
        return None

    def _refuse(self, kind: ErrorKind, detail: str, wait: float) -> StagewalkError:
        retry_after = min(
            self._config.maximum_retry_after_seconds,
            max(self._config.minimum_retry_after_seconds, wait),
        )
        return StagewalkError(
            kind=kind,
            step=Step.ADMISSION,
            peer=str(self._owner),
            detail=detail,
            ran=Ran.NO,
            retry_after_seconds=retry_after,
        )

    def _start(self, key: RequestKey, model: ModelName, priority: Priority, now: float) -> None:
        pool = self._pool(model)
        pool.in_use[key.tenant] = pool.in_use.get(key.tenant, 0) + 1
        pool.started_since += 1
        self._admitted[key] = _Admitted(model, priority, now)

    def _give_back(self, key: RequestKey) -> _Admitted | None:
        admitted = self._admitted.pop(key, None)
        if admitted is None:
            return None
        pool = self._pool(admitted.model)
        left = pool.in_use[key.tenant] - 1
        if left:
            pool.in_use[key.tenant] = left
        else:
            del pool.in_use[key.tenant]
        pool.started_since = max(0, pool.started_since - 1)
        return admitted

    def _pool(self, model: ModelName) -> _Pool:
        pool = self._pools.get(model)
        if pool is None:
            initial = self._config.initial_service_seconds
            pool = _Pool(
                limiter=AdaptiveLimiter(self._config.limiter),
                service_seconds=dict.fromkeys(Priority, initial),
                shares=self._shares_of(model),
            )
            self._pools[model] = pool
        return pool

    def _shares_of(self, model: ModelName) -> dict[TenantName, float]:
        return {
            name: tenant.parameters.capacity_share
            for name, tenant in sorted(self._tenants.items())
            if model in tenant.parameters.models
        }
