"""How often the requests of each tenant started of late. Pure.

Answers a tenant that asks for more than its share: a request of it waits not only for those before
it, but for all that tenants with fewer starts ask for meanwhile.
Owns a decaying count for each tenant; relies on `admission.recent_values`.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

from stagewalk.gateway.admission.recent_values import RecentCount

MAXIMUM_TENANTS = 2048
"""Tenants whose starts are counted; with more, those that had the fewest go."""

SUM_SECONDS = 0.1
"""How long the sums over all tenants count."""


class TenantRates:
    """Rates of starts by tenant."""

    def __init__(self) -> None:
        self._counts: dict[str, RecentCount] = {}
        self._summed_at = -math.inf
        self._rates: list[float] = []
        """Of all tenants, the lowest first."""
        self._sums: list[float] = [0.0]

    def record_start(self, tenant: str, now: float) -> None:
        """Count a start."""
        count = self._counts.get(tenant)
        if count is None:
            if len(self._counts) >= MAXIMUM_TENANTS:
                self._forget_half(now)
            count = self._counts[tenant] = RecentCount()
        count.add(now)

    def before(self, tenant: str, now: float) -> float:
        """Return the starts a second of other tenants that go before those of a tenant.

        Of each other tenant that is its own rate, or the tenant's if that is lower: with more
        starts than the tenant it is behind it.
        """
        if now - self._summed_at >= SUM_SECONDS:
            self._summed_at = now
            self._rates = sorted(count.rate(now) for count in self._counts.values())
            self._sums = [0.0, *accumulate(self._rates)]
        count = self._counts.get(tenant)
        own = 0.0 if count is None else count.rate(now)
        lower = bisect_right(self._rates, own)
        higher = max(0, len(self._rates) - lower)
        return max(0.0, self._sums[lower] + own * higher - own)

    def _forget_half(self, now: float) -> None:
        ordered = sorted(self._counts, key=lambda tenant: self._counts[tenant].value(now))
        for tenant in ordered[: MAXIMUM_TENANTS // 2]:
            del self._counts[tenant]
