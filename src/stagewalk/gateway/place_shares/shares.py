"""Divides a service's places among claimants: max-min shares. Pure.

Answers the load in which trainers together ask for more places than there are: nobody gets more
than another who still wants some, and what one does not use is lent to the others. Owns the rule;
its callers know the places and the claims.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from stagewalk.gateway.place_shares.claims import ServiceClaims

OVERCOMMIT_FACTOR = 1.05
"""Places that are shared, for each that there is: a place whose item ended is taken again at once,
and parts of places that shares leave over are used."""


@dataclass(frozen=True, slots=True)
class ServiceShares:
    """How a service's places are shared.

    Attributes
    ----------
    places
        Slots of the engines that there are.
    level
        Most places of a claimant; infinite while all demands fit.
    claimants
        How many ask for places.
    items
        What they ask for together.
    totals
        By claimant's key, its items at all nodes.
    """

    places: float
    level: float
    claimants: int
    items: int
    totals: dict[int, int]

    @classmethod
    def none(cls) -> ServiceShares:
        """Return the shares of a service that nobody asks for."""
        return cls(0.0, math.inf, 0, 0, {})

    @property
    def in_force(self) -> bool:
        """Whether there are fewer places than are asked for, by more than one claimant."""
        return math.isfinite(self.level)

    @property
    def floor(self) -> float:
        """Return the places that are a claimant's whatever the others ask for."""
        return self.places / max(1, self.claimants)


def share_places(
    places: float, own: ServiceClaims | None, others: Iterable[ServiceClaims]
) -> ServiceShares:
    """Return the shares of a service's places.

    Parameters
    ----------
    places
        Slots of the engines that there are.
    own
        The claims of this node as they are now; None if it has none.
    others
        The claims that other nodes announced for this service.
    """
    totals: dict[int, int] = {}
    unnamed: list[tuple[int, float]] = []
    for claims in [*others, *([] if own is None else [own])]:
        for claim in claims.claims:
            totals[claim.claimant] = totals.get(claim.claimant, 0) + claim.items
        if claims.others > 0:
            unnamed.append((claims.others, claims.others_items / claims.others))
    demands = [(1, float(items)) for items in totals.values()] + unnamed
    claimants = sum(count for count, _ in demands)
    level = fair_level(places * OVERCOMMIT_FACTOR, demands) if claimants > 1 else math.inf
    items = round(sum(count * each for count, each in demands))
    return ServiceShares(places, level, claimants, items, totals)


def fair_level(places: float, demands: Sequence[tuple[int, float]]) -> float:
    """Return the max-min level: claimants that ask for less get that, all others this much.

    Parameters
    ----------
    demands
        Numbers of claimants, and the items of each of them.

    Returns
    -------
    float
        Infinite if all demands fit.
    """
    left = places
    claimants = sum(count for count, _ in demands)
    for count, each in sorted(demands, key=lambda demand: demand[1]):
        if each * claimants > left:
            return left / claimants
        left -= each * count
        claimants -= count
    return math.inf
