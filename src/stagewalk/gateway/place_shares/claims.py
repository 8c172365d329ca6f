"""What nodes announce to each other of their demand for places. Pure.

Owns the form on the wire (fields and their order stay) and the bound on its size. Relies on
`demand` for who asks. Names are not needed elsewhere than at the node that runs a claimant's items,
so a claimant is announced as a short hash of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand

MAXIMUM_ANNOUNCED_CLAIMS = 16
"""Claimants of a service that a node announces one by one: more than the trainers of the largest
deployment. The rest of a node's claimants is announced as one sum."""

MARKED_SHARE = 0.25
MINIMUM_MARKED_ITEMS = 4
"""A demand is announced before its time once it has grown by this share of it, and so many items:
a step that begins is, a few items that come back are not."""


class PlaceClaim(msgspec.Struct, frozen=True, array_like=True):
    """Items of one claimant, at an engine or able to begin, that one node runs."""

    claimant: int
    items: int


class ServiceClaims(msgspec.Struct, frozen=True, array_like=True):
    """The demand for a service's engines at one node.

    Attributes
    ----------
    claims
        The largest claims, in the order of their claimants' keys.
    others, others_items
        How many further claimants there are, and their items together.
    """

    service: str
    claims: tuple[PlaceClaim, ...]
    others: int = 0
    others_items: int = 0

    @property
    def items(self) -> int:
        """Return the items of all claimants."""
        return self.others_items + sum(claim.items for claim in self.claims)


def claimant_key(claimant: Claimant) -> int:
    """Return what a claimant is announced as; two that share a key would share their places."""
    tenant = "-" if claimant.tenant is None else f"+{claimant.tenant}"
    return xxhash.xxh32_intdigest(f"{tenant}/{claimant.trainer}".encode())


def build_claims(demands: Iterable[PlaceDemand]) -> tuple[ServiceClaims, ...]:
    """Return what a node announces, in the order of the services' names."""
    by_service: dict[str, list[PlaceClaim]] = {}
    for demand in demands:
        if demand.items > 0:
            claim = PlaceClaim(claimant_key(demand.claimant), demand.items)
            by_service.setdefault(demand.service, []).append(claim)
    return tuple(_service_claims(service, claims) for service, claims in sorted(by_service.items()))


def has_significant_increase(
    announced: Sequence[ServiceClaims], now: Sequence[ServiceClaims]
) -> bool:
    """Whether a demand is so much above the announced one that other nodes should know at once.

    They lend this node's places until they know. What falls is lent a renewal later.
    """
    before = {claims.service: claims.items for claims in announced}
    return any(_marked(before.get(claims.service, 0), claims.items) for claims in now)


def _service_claims(service: str, claims: list[PlaceClaim]) -> ServiceClaims:
    largest_first = sorted(claims, key=lambda claim: (-claim.items, claim.claimant))
    single, rest = (
        largest_first[:MAXIMUM_ANNOUNCED_CLAIMS],
        largest_first[MAXIMUM_ANNOUNCED_CLAIMS:],
    )
    return ServiceClaims(
        service,
        tuple(sorted(single, key=lambda claim: claim.claimant)),
        len(rest),
        sum(claim.items for claim in rest),
    )


def _marked(before: int, after: int) -> bool:
    return after - before >= max(MINIMUM_MARKED_ITEMS, MARKED_SHARE * after)
