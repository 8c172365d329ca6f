"""Max-min fair division of a service's places among claimants. Pure.

If claimants together ask for more places than there are, none gets more than another whose demand
is not met, and places that a claimant doesn't use are divided among the others.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from stagewalk.gateway.place_shares.claims import ServiceClaims

OVERCOMMIT_FACTOR = 1.05
"""Ratio of the places shared to those that exist. It is above 1 so that a place is taken again as
soon as its item ends, and to make up for rounding."""


@dataclass(frozen=True, slots=True)
class ServiceShares:
    """How a service's places are shared.

    Attributes
    ----------
    places
        Places of the service's engines.
    level
        Maximum places of a claimant; infinite while all demands can be met.
    claimants
        Number of claimants.
    items
        Sum of their items.
    totals
        Items at all nodes, by claimant key.
    """

    places: float
    level: float
    claimants: int
    items: int
    totals: dict[int, int]

    @classmethod
    def none(cls) -> ServiceShares:
        """Return the shares of a service without claimants."""
        return cls(0.0, math.inf, 0, 0, {})

    @property
    def in_force(self) -> bool:
        """Whether places are limited: several claimants together ask for more than there are."""
        return math.isfinite(self.level)

    @property
    def floor(self) -> float:
        """Return the places that a claimant is guaranteed, whatever the others ask for."""
        return self.places / max(1, self.claimants)


def share_places(
    places: float, own: ServiceClaims | None, others: Iterable[ServiceClaims]
) -> ServiceShares:
    """Return the shares of a service's places.

    Parameters
    ----------
    places
        Places of the service's engines.
    own
        The current claims of this node; None if it has none.
    others
        The claims that other nodes announced for this service.
    """
    totals: dict[int, int] = {}
    aggregated: list[tuple[int, float]] = []
    for claims in [*others, *([] if own is None else [own])]:
        for claim in claims.claims:
            totals[claim.claimant] = totals.get(claim.claimant, 0) + claim.items
        if claims.others > 0:
            aggregated.append((claims.others, claims.others_items / claims.others))
    demands = [(1, float(items)) for items in totals.values()] + aggregated
    claimants = sum(count for count, _ in demands)
    level = fair_level(places * OVERCOMMIT_FACTOR, demands) if claimants > 1 else math.inf
    items = round(sum(count * each for count, each in demands))
    return ServiceShares(places, level, claimants, items, totals)


def fair_level(places: float, demands: Sequence[tuple[int, float]]) -> float:
    """Return the max-min level: claimants get their demand or this level, whichever is less.

    Parameters
    ----------
    demands
        Pairs of a number of claimants and the items that each of them asks for.

    Returns
    -------
    float
        Infinite if all demands can be met.
    """
    left = places
    claimants = sum(count for count, _ in demands)
    for count, each in sorted(demands, key=lambda demand: demand[1]):
        if each * claimants > left:
            return left / claimants
        left -= each * count
        claimants -= count
    return math.inf
