"""Claims: the demand for places that nodes announce to each other. Pure.

The records are sent between nodes, so their fields and the order of the fields are fixed. Only the
node that runs a claimant's items needs its names, so a claimant is announced as a short hash.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand

MAXIMUM_ANNOUNCED_CLAIMS = 16
"""Maximum claimants of a service that a node announces individually. Its other claimants are
announced as one sum."""

SIGNIFICANT_INCREASE_SHARE = 0.25
MINIMUM_SIGNIFICANT_ITEMS = 4
"""An increase of demand is announced at once if it is at least this share of the new demand and at
least this many items, as when a step begins, but not when a few items return."""


class PlaceClaim(msgspec.Struct, frozen=True, array_like=True):
    """Number of running and waiting items of one claimant at one node."""

    claimant: int
    items: int


class ServiceClaims(msgspec.Struct, frozen=True, array_like=True):
    """One node's demand for a service's engines.

    Attributes
    ----------
    claims
        The largest claims, in the order of their claimants' keys.
    others, others_items
        Number of further claimants, and the sum of their items.
    """

    service: str
    claims: tuple[PlaceClaim, ...]
    others: int = 0
    others_items: int = 0

    @property
    def items(self) -> int:
        """Return the sum of the items of all claimants."""
        return self.others_items + sum(claim.items for claim in self.claims)


def claimant_key(claimant: Claimant) -> int:
    """Return the hash that identifies a claimant; if two collide, they get one share together."""
    tenant = "-" if claimant.tenant is None else f"+{claimant.tenant}"
    return xxhash.xxh32_intdigest(f"{tenant}/{claimant.trainer}".encode())


def build_claims(demands: Iterable[PlaceDemand]) -> tuple[ServiceClaims, ...]:
    """Return the claims that a node announces, sorted by service."""
    by_service: dict[str, list[PlaceClaim]] = {}
    for demand in demands:
        if demand.items > 0:
            claim = PlaceClaim(claimant_key(demand.claimant), demand.items)
            by_service.setdefault(demand.service, []).append(claim)
    return tuple(_service_claims(service, claims) for service, claims in sorted(by_service.items()))


def has_significant_increase(
    announced: Sequence[ServiceClaims], now: Sequence[ServiceClaims]
) -> bool:
    """Whether the demand for a service has grown enough to be announced at once.

    Other nodes use this node's unclaimed places until they know of the demand. A decrease can wait
    for the next regular announcement.
    """
    before = {claims.service: claims.items for claims in announced}
    return any(_is_significant(before.get(claims.service, 0), claims.items) for claims in now)


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


def _is_significant(before: int, after: int) -> bool:
    return after - before >= max(MINIMUM_SIGNIFICANT_ITEMS, SIGNIFICANT_INCREASE_SHARE * after)
