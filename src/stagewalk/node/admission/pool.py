"""State of one model's pool at this node: requests in flight, queues, limits and capacity.

The decisions based on this state are in `admission.rules`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from stagewalk.common.identities import TenantName
from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.admission.limiter import AdaptiveLimiter
from stagewalk.node.admission.waiting import WaitingQueues
from stagewalk.node.core.completions import Priority


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Slots and load, in sequences, of the pool's engines that this node routes to."""

    slots: int
    load: int


class Pool:
    """Requests of one model at this node.

    Parameters
    ----------
    shares
        Fraction of the pool guaranteed to each tenant.

    Attributes
    ----------
    in_use
        Requests in flight, by tenant; tenants without any are absent.
    started_since_update
        Requests started since the last capacity update, whose load doesn't include them.
    """

    def __init__(self, config: AdmissionConfig, shares: Mapping[TenantName, float]) -> None:
        self._config = config
        self._service_seconds = dict.fromkeys(Priority, config.initial_service_seconds)
        self._free_slot_limit = 0.0
        self.limiter = AdaptiveLimiter(config.limiter)
        self.shares = shares
        self.in_use: dict[TenantName, int] = {}
        self.waiting = WaitingQueues()
        self.capacity: PoolCapacity | None = None
        self.started_since_update = 0

    @property
    def in_flight(self) -> int:
        """Return the requests in flight, over all tenants."""
        return sum(self.in_use.values())

    @property
    def limit(self) -> float:
        """Return how many requests may be in flight: the higher of adaptive and free-slot limit."""
        return max(self.limiter.limit, self._free_slot_limit)

    def service_seconds(self, priority: Priority) -> float:
        """Return the moving average of the duration of requests of a priority."""
        return self._service_seconds[priority]

    def set_capacity(self, capacity: PoolCapacity) -> None:
        """Update the capacity of the pool, and with it how many free slots this node may use."""
        self.capacity = capacity
        self.started_since_update = 0
        free = max(0.0, capacity.slots * self._config.pool_overcommit - capacity.load)
        self._free_slot_limit = self.in_flight + self._config.free_room_fraction * free

    def start(self, tenant: TenantName) -> None:
        """Count a started request."""
        self.in_use[tenant] = self.in_use.get(tenant, 0) + 1
        self.started_since_update += 1

    def end(self, tenant: TenantName) -> None:
        """Remove an ended request from the counts."""
        left = self.in_use[tenant] - 1
        if left:
            self.in_use[tenant] = left
        else:
            del self.in_use[tenant]
        self.started_since_update = max(0, self.started_since_update - 1)

    def record_duration(self, priority: Priority, seconds: float) -> None:
        """Update the moving average of the duration of requests of a priority."""
        old = self._service_seconds[priority]
        self._service_seconds[priority] = old + self._config.service_smoothing * (seconds - old)
