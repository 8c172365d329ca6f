"""Admission controller: applies `admission.rules` to every pool at this node.

There is no central coordinator: each node enforces the tenants' shares of its own adaptive limit
and respects the load of the engines it routes to. A rejection is returned immediately, with
`ran: no` and a Retry-After.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import ModelName, NodeName, RequestKey, TenantName
from stagewalk.node.admission import rules
from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.admission.pool import Pool, PoolCapacity
from stagewalk.node.admission.rules import Rejection
from stagewalk.node.admission.waiting import QueueName
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.completions import CompletionRequest, Priority


class AdmissionDecision(StrEnum):
    """Whether a request that was not rejected started or waits."""

    ADMITTED = "admitted"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class _Admitted:
    model: ModelName
    priority: Priority
    admitted_at: float


class AdmissionController:
    """Admits, queues or rejects requests for each pool at this node.

    Parameters
    ----------
    owner
        This node, named as the peer in errors.
    """

    def __init__(self, owner: NodeName, config: AdmissionConfig) -> None:
        self._owner = owner
        self._config = config
        self._pools: dict[ModelName, Pool] = {}
        self._admitted: dict[RequestKey, _Admitted] = {}
        self._waiting: dict[RequestKey, ModelName] = {}
        self._tenants: dict[TenantName, Tenant] = {}

    def set_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Replace the tenants; their shares apply from now on."""
        self._tenants = {tenant.name: tenant for tenant in tenants}
        for model, pool in self._pools.items():
            pool.shares = self._shares_of(model)

    def set_pool_capacity(self, model: ModelName, capacity: PoolCapacity) -> None:
        """Update a pool's slots and load."""
        self._pool(model).set_capacity(capacity)

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
    ) -> Result[AdmissionDecision, StagewalkError]:
        """Admit, queue or reject a request; a rejection says `ran: no`."""
        pool = self._pool(request.model)
        queue = QueueName(request.priority, key.tenant)
        if not rules.has_waiting_request_ahead(pool, queue) and self._may_start(pool, queue):
            self._start(key, request.model, request.priority, now)
            return Ok(AdmissionDecision.ADMITTED)
        rejection = rules.rejection_reason(pool, key.tenant, request, self._config, now)
        if rejection is not None:
            return Error(self._error_of(rejection))
        pool.waiting.add(key, request.priority)
        self._waiting[key] = request.model
        return Ok(AdmissionDecision.WAITING)

    def release(self, now: float) -> list[RequestKey]:
        """Admit the waiting requests that may start now and return them in admission order."""
        released: list[RequestKey] = []
        for model in sorted(set(self._waiting.values())):
            released.extend(self._release_pool(model, now))
        return released

    def withdraw(self, key: RequestKey) -> None:
        """Remove a waiting or admitted request without updating service times or the limit."""
        model = self._waiting.pop(key, None)
        if model is not None:
            self._pool(model).waiting.remove(key)
            return
        self._end(key)

    def ended(self, key: RequestKey, now: float) -> None:
        """Record that an admitted request completed, with its duration."""
        admitted = self._end(key)
        if admitted is None:
            return
        pool = self._pool(admitted.model)
        pool.record_duration(admitted.priority, now - admitted.admitted_at)
        pool.limiter.record_completed(pool.in_flight + 1)

    def record_refused(self, model: ModelName, now: float) -> None:
        """Record that an engine of a pool refused work because it was full."""
        self._pool(model).limiter.record_refused(now)

    def record_first_token(self, model: ModelName, delay_seconds: float, now: float) -> None:
        """Record how long an attempt waited for its first token."""
        self._pool(model).limiter.record_first_token(delay_seconds, now)

    def limit(self, model: ModelName) -> float:
        """Return how many requests of a pool may be in flight."""
        return self._pool(model).limit

    def expected_wait_seconds(self, model: ModelName, priority: Priority) -> float:
        """Return how long a request of a priority would wait if it arrived now."""
        return rules.expected_wait_seconds(self._pool(model), priority)

    def latest_start(self, request: CompletionRequest) -> float:
        """Return the latest time a waiting request can start to meet its deadline."""
        return rules.latest_start(self._pool(request.model), request, self._config)

    def _may_start(self, pool: Pool, queue: QueueName) -> bool:
        return rules.may_start(pool, queue, self._config)

    def _release_pool(self, model: ModelName, now: float) -> list[RequestKey]:
        pool = self._pool(model)
        released: list[RequestKey] = []
        while len(pool.waiting):
            startable = [
                queue for queue in pool.waiting.queue_names() if self._may_start(pool, queue)
            ]
            if not startable:
                break
            chosen = min(startable, key=lambda queue: rules.queue_sort_key(pool, queue))
            key = pool.waiting.first(chosen)
            pool.waiting.remove(key)
            del self._waiting[key]
            self._start(key, model, chosen.priority, now)
            released.append(key)
        return released

    def _error_of(self, rejection: Rejection) -> StagewalkError:
        return StagewalkError(
            kind=rejection.kind,
            step=ErrorStep.ADMISSION,
            peer=str(self._owner),
            detail=rejection.detail,
            ran=ExecutionStatus.NO,
            retry_after_seconds=rejection.retry_after_seconds,
        )

    def _start(self, key: RequestKey, model: ModelName, priority: Priority, now: float) -> None:
        self._pool(model).start(key.tenant)
        self._admitted[key] = _Admitted(model, priority, now)

    def _end(self, key: RequestKey) -> _Admitted | None:
        admitted = self._admitted.pop(key, None)
        if admitted is not None:
            self._pool(admitted.model).end(key.tenant)
        return admitted

    def _pool(self, model: ModelName) -> Pool:
        pool = self._pools.get(model)
        if pool is None:
            pool = Pool(self._config, self._shares_of(model))
            self._pools[model] = pool
        return pool

    def _shares_of(self, model: ModelName) -> dict[TenantName, float]:
        return {
            name: tenant.parameters.capacity_share
            for name, tenant in sorted(self._tenants.items())
            if model in tenant.parameters.models
        }
