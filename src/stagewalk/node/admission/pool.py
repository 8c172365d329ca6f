"""State of one model's pool at this node: what runs, what waits, what the pool can take.

Owns the counts by tenant, the waiting queues, the adaptive limit and the last view of the engines.
Relies on the controller to report each start, end and new view; it decides nothing
(`admission.rules` does).
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
    """Slots and load of a pool's engines, in sequences, as far as this node sees them."""

    slots: int
    load: int


class Pool:
    """Requests of one model at this node.

    Parameters
    ----------
    shares
        Fraction of the pool that each tenant is guaranteed.

    Attributes
    ----------
    in_use
        Requests in flight, by tenant; tenants without any are absent.
    started_since
        Requests started since the last view of the pool, which can't count them yet.
    """

    def __init__(self, config: AdmissionConfig, shares: Mapping[TenantName, float]) -> None:
        self._config = config
        self._service_seconds = dict.fromkeys(Priority, config.initial_service_seconds)
        self._room_limit = 0.0
        self.limiter = AdaptiveLimiter(config.limiter)
        self.shares = shares
        self.in_use: dict[TenantName, int] = {}
        self.waiting = WaitingQueues()
        self.capacity: PoolCapacity | None = None
        self.started_since = 0

    @property
    def in_flight(self) -> int:
        """Return the requests in flight, over all tenants."""
        return sum(self.in_use.values())

    @property
    def limit(self) -> float:
        """Return the requests that may be in flight: what the limiter learnt, or the room seen."""
        return max(self.limiter.limit, self._room_limit)

    def service_seconds(self, priority: Priority) -> float:
        """Return the smoothed duration of a request of a priority."""
        return self._service_seconds[priority]

    def set_capacity(self, capacity: PoolCapacity) -> None:
        """Replace the view of the engines, and with it the room that this node may use."""
        self.capacity = capacity
        self.started_since = 0
        free = max(0.0, capacity.slots * self._config.pool_overcommit - capacity.load)
        self._room_limit = self.in_flight + self._config.free_room_fraction * free

    def start(self, tenant: TenantName) -> None:
        """Count a request that starts."""
        self.in_use[tenant] = self.in_use.get(tenant, 0) + 1
        self.started_since += 1

    def end(self, tenant: TenantName) -> None:
        """Count a request that ended."""
        left = self.in_use[tenant] - 1
        if left:
            self.in_use[tenant] = left
        else:
            del self.in_use[tenant]
        self.started_since = max(0, self.started_since - 1)

    def record_duration(self, priority: Priority, seconds: float) -> None:
        """Move the smoothed duration of a priority towards a measured one."""
        old = self._service_seconds[priority]
        self._service_seconds[priority] = old + self._config.service_smoothing * (seconds - old)
