"""Recent rate of starts of each tenant. Pure.

Used to estimate the wait of a tenant that exceeds its share: its requests wait not only for those
already ahead, but also for later requests of tenants with fewer starts.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

from stagewalk.gateway.admission.recent_values import RecentCount

MAXIMUM_TENANTS = 2048
"""Maximum tenants whose starts are counted; beyond it, those with the fewest are evicted."""

RATE_SUMS_VALID_SECONDS = 0.1
"""How long the cached sums over all tenants are used."""


class TenantRates:
    """Rates of starts by tenant."""

    def __init__(self) -> None:
        self._is_active: dict[str, RecentCount] = {}
        self._summed_at = -math.inf
        self._rates: list[float] = []
        """Rates of all tenants in increasing order."""
        self._sums: list[float] = [0.0]

    def record_start(self, tenant: str, now: float) -> None:
        """Record that a request of a tenant started."""
        count = self._is_active.get(tenant)
        if count is None:
            if len(self._is_active) >= MAXIMUM_TENANTS:
                self._evict_half(now)
            count = self._is_active[tenant] = RecentCount()
        count.add(now)

    def rate_ahead_of(self, tenant: str, now: float) -> float:
        """Return the starts per second of other tenants that precede those of a tenant.

        Each other tenant counts with its own rate, or with this tenant's rate if that is lower:
        starts beyond this tenant's rate come after its own.
        """
        if now - self._summed_at >= RATE_SUMS_VALID_SECONDS:
            self._summed_at = now
            self._rates = sorted(count.rate(now) for count in self._is_active.values())
            self._sums = [0.0, *accumulate(self._rates)]
        count = self._is_active.get(tenant)
        own = 0.0 if count is None else count.rate(now)
        lower = bisect_right(self._rates, own)
        higher = max(0, len(self._rates) - lower)
        return max(0.0, self._sums[lower] + own * higher - own)

    def _evict_half(self, now: float) -> None:
        ordered = sorted(self._is_active, key=lambda tenant: self._is_active[tenant].value(now))
        for tenant in ordered[: MAXIMUM_TENANTS // 2]:
            del self._is_active[tenant]
