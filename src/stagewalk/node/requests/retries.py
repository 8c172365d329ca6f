"""Retry budget and backoff, which keep retries from amplifying an overload.

Owns the tenants' budgets. Budgets are in retries, pauses in seconds; the parameters are fields of
`RetryConfig`.
"""

from __future__ import annotations

import random

from stagewalk.common.identities import TenantName
from stagewalk.node.requests.config import RetryConfig


class RetryBudget:
    """A token bucket per tenant, filled by requests and drained by retries and hedges."""

    def __init__(self, config: RetryConfig) -> None:
        self._config = config
        self._tokens: dict[TenantName, float] = {}

    def record_request(self, tenant: TenantName) -> None:
        """Add the credit of a new request."""
        capacity = self._config.budget_capacity
        tokens = self._tokens.get(tenant, capacity) + self._config.budget_per_request
        self._tokens[tenant] = min(capacity, tokens)

    def spend(self, tenant: TenantName) -> bool:
        """Take one retry from a tenant's budget; return whether one was available."""
        tokens = self._tokens.get(tenant, self._config.budget_capacity)
        if tokens < 1.0:
            return False
        self._tokens[tenant] = tokens - 1.0
        return True

    def retain(self, tenants: frozenset[TenantName]) -> None:
        """Drop the budgets of all other tenants."""
        for tenant in [name for name in self._tokens if name not in tenants]:
            del self._tokens[tenant]


def backoff_seconds(config: RetryConfig, retries: int, generator: random.Random) -> float:
    """Return the pause before a retry: exponential with full jitter; `retries` counts from 0."""
    longest = config.first_backoff_seconds * 2.0 ** min(retries, 30)
    return generator.uniform(0.0, min(config.maximum_backoff_seconds, longest))
