"""Weighted shares of a pool: how much a tenant is guaranteed and how much it may borrow.

Pure functions of shares (fractions of a pool), and of counts and a capacity, both in requests.
"""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.common.identities import TenantName


def guaranteed(shares: Mapping[TenantName, float], tenant: TenantName, capacity: float) -> float:
    """Return a tenant's guaranteed part of a capacity; shares above 1 in total are scaled down."""
    total = max(1.0, sum(shares.values()))
    return shares.get(tenant, 0.0) / total * capacity


def reserved_for_others(
    shares: Mapping[TenantName, float],
    in_use: Mapping[TenantName, int],
    tenant: TenantName,
    capacity: float,
    reserve: float,
) -> float:
    """Return how much a borrower must leave free: a part of every other tenant's unused share."""
    kept = 0.0
    for other in shares:
        if other != tenant:
            unused = guaranteed(shares, other, capacity) - in_use.get(other, 0)
            kept += reserve * max(0.0, unused)
    return kept


def may_use_one_more(
    shares: Mapping[TenantName, float],
    in_use: Mapping[TenantName, int],
    tenant: TenantName,
    capacity: float,
    reserve: float,
) -> bool:
    """Return whether a tenant may use one more slot, from its own share or borrowed."""
    used = sum(in_use.values())
    if used + 1 > max(1.0, capacity):
        return False
    if in_use.get(tenant, 0) + 1 <= guaranteed(shares, tenant, capacity):
        return True
    kept = reserved_for_others(shares, in_use, tenant, capacity, reserve)
    return used + 1 <= max(1.0, capacity - kept)
