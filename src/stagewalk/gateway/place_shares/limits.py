"""Place limits in force at this node, by claimant. Pure.

A claimant's limit at a node is its share of the service's places, in proportion to the items that
the node runs for it. The shares are computed by `shares`; the caller supplies the demand, the
places, and the claims of other nodes with their age.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from stagewalk.gateway.place_shares.claims import ServiceClaims, build_claims, claimant_key
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from stagewalk.gateway.place_shares.shares import ServiceShares, share_places

MAXIMUM_VIEW_AGE_SECONDS = 1.8
"""With an older view of other nodes' claims, a claimant gets no more than its guaranteed floor.
Other nodes count the claims of a disconnected node for longer than this, so it stops taking places
above the floor before they redistribute them."""

MINIMUM_PLACES = 1.0
"""Minimum places of a claimant at each node that runs items of it, however many claimants there
are, so that every step makes progress."""


@dataclass(frozen=True, slots=True)
class PeerClaims:
    """Claims announced by the other nodes that run batches.

    Attributes
    ----------
    view_at
        Steady time at which the view of them was last complete.
    claims
        One entry for each node; None if its build doesn't announce claims.
    """

    view_at: float
    claims: Sequence[tuple[ServiceClaims, ...] | None]

    @property
    def complete(self) -> bool:
        """Whether all these nodes announce their claims."""
        return all(claims is not None for claims in self.claims)

    def of_service(self, service: str) -> list[ServiceClaims]:
        """Return the claims for one service's places."""
        return [
            found
            for claims in self.claims
            for found in claims or ()
            if found.service == service and found.items > 0
        ]


class ShareLimits:
    """Limits the places of claimants while their demand exceeds the places."""

    def __init__(self) -> None:
        self._shares: dict[str, ServiceShares] = {}
        self._own_items: dict[tuple[Claimant, str], int] = {}
        self._view_at = -math.inf

    @property
    def shares(self) -> Mapping[str, ServiceShares]:
        """Return the shares by service, for services that items at this node ask for."""
        return self._shares

    def update(
        self, own: Sequence[PlaceDemand], others: PeerClaims, places: Mapping[str, float]
    ) -> None:
        """Recompute the shares.

        Nothing is limited while a node that runs batches announces no claims: its demand is
        unknown, and only the nodes that do announce theirs would be limited.

        Parameters
        ----------
        own
            The demand of the items that this node runs.
        others
            The claims of the other nodes.
        places
            By service, the places of its engines.
        """
        self._view_at = others.view_at
        self._own_items = {(demand.claimant, demand.service): demand.items for demand in own}
        if not others.complete:
            self._shares = {}
            return
        self._shares = {
            claims.service: share_places(
                places.get(claims.service, 0.0), claims, others.of_service(claims.service)
            )
            for claims in build_claims(own)
        }

    def clear(self) -> None:
        """Remove all shares; called when this node runs no items."""
        self._shares = {}
        self._own_items = {}

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return the maximum places of a claimant at this node; infinite if not limited."""
        shares = self._shares.get(service)
        if shares is None or not shares.in_force:
            return math.inf
        level = shares.level if now - self._view_at <= MAXIMUM_VIEW_AGE_SECONDS else shares.floor
        return max(MINIMUM_PLACES, level * self._local_share(claimant, service, shares))

    def _local_share(self, claimant: Claimant, service: str, shares: ServiceShares) -> float:
        """Return the fraction of a claimant's items that this node runs."""
        own = self._own_items.get((claimant, service), 0)
        total = shares.totals.get(claimant_key(claimant), own)
        return 1.0 if total <= 0 else min(1.0, own / total)
