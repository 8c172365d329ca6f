"""Arithmetic of weighted shares: what is guaranteed, what may be borrowed.

Pure functions of shares (fractions of a pool), counts and a capacity, both in requests.
"""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.common.identities import TenantName


def guaranteed(shares: Mapping[TenantName, float], tenant: TenantName, capacity: float) -> float:
    """Return a tenant's guaranteed part of a capacity; overcommitted shares are scaled down."""
    total = max(1.0, sum(shares.values()))
    return shares.get(tenant, 0.0) / total * capacity


def reserved_for_others(
    shares: Mapping[TenantName, float],
    in_use: Mapping[TenantName, int],
    tenant: TenantName,
    capacity: float,
    reserve: float,
) -> float:
    """Return what a borrower must leave free: a part of each other tenant's unused share."""
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
    """Return whether a tenant may use one more slot, of its own share or borrowed."""
    used = sum(in_use.values())
    if used + 1 > max(1.0, capacity):
        return False
    if in_use.get(tenant, 0) + 1 <= guaranteed(shares, tenant, capacity):
        return True
    kept = reserved_for_others(shares, in_use, tenant, capacity, reserve)
    return used + 1 <= max(1.0, capacity - kept)
