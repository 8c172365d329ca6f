"""The limits in force at this node: each claimant's share, and its part of it here. Pure.

Owns the shares as last computed and how long they hold. Relies on `shares` for the rule, and on its
caller for demand, places and the age of what other nodes announced.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from stagewalk.gateway.place_shares.claims import ServiceClaims, build_claims, claimant_key
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from stagewalk.gateway.place_shares.shares import ServiceShares, share_places

VIEW_SECONDS = 1.8
"""A view of other nodes' claims that is older lends nothing any more. They count a node that is cut
off for longer than this, so its part is given to others after it has been given back."""

MINIMUM_PLACES = 1.0
"""What a claimant may have at each node that runs items of it, however many claimants there are:
every step goes on."""


@dataclass(frozen=True, slots=True)
class PeerClaims:
    """What the other nodes that run batches announced.

    Attributes
    ----------
    view_at
        When the view of them was last complete, by the steady clock.
    claims
        By node; None if a node's build announces none.
    """

    view_at: float
    claims: Sequence[tuple[ServiceClaims, ...] | None]

    @property
    def complete(self) -> bool:
        """Whether all of them announce their claims."""
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
    """Limits the places of claimants while they ask for more than there are."""

    def __init__(self) -> None:
        self._shares: dict[str, ServiceShares] = {}
        self._own_items: dict[tuple[Claimant, str], int] = {}
        self._view_at = -math.inf

    @property
    def shares(self) -> Mapping[str, ServiceShares]:
        """Return the shares by service, of the services whose engines run items here."""
        return self._shares

    def update(
        self, own: Sequence[PlaceDemand], others: PeerClaims, places: Mapping[str, float]
    ) -> None:
        """Compute the shares anew.

        No limit holds while a node that runs batches announces nothing: what it takes is unknown,
        and only the nodes that can count would hold back.

        Parameters
        ----------
        own
            The demand of the items run here.
        others
            What other nodes announced.
        places
            By service, slots of its engines.
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
        """Forget all shares: nothing runs here."""
        self._shares = {}
        self._own_items = {}

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return the most places for items of a claimant that this node runs, infinite if any."""
        shares = self._shares.get(service)
        if shares is None or not shares.in_force:
            return math.inf
        level = shares.level if now - self._view_at <= VIEW_SECONDS else shares.floor
        return max(MINIMUM_PLACES, level * self._part_here(claimant, service, shares))

    def _part_here(self, claimant: Claimant, service: str, shares: ServiceShares) -> float:
        """Return which part of a claimant's items this node runs."""
        own = self._own_items.get((claimant, service), 0)
        total = shares.totals.get(claimant_key(claimant), own)
        return 1.0 if total <= 0 else min(1.0, own / total)
