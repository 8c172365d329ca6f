"""Claimants and claims for tests."""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.gateway.place_shares.claims import ServiceClaims, build_claims
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from stagewalk.gateway.place_shares.limits import PeerClaims, ShareLimits

SERVICE = "engines"
ALPHA, BETA, GAMMA = (Claimant(None, f"h.example/{name}") for name in ("alpha", "beta", "gamma"))


def demand(claimant: Claimant, items: int, running: int = 0) -> PlaceDemand:
    """Return a demand for a number of items, some of them running."""
    return PlaceDemand(claimant, SERVICE, running, items - running)


def claims(*demands: PlaceDemand) -> tuple[ServiceClaims, ...]:
    """Return what a node with these demands announces."""
    return build_claims(demands)


def service_claims(*demands: PlaceDemand) -> ServiceClaims:
    """Return the claims of a node with these demands, all for `SERVICE`."""
    (found,) = build_claims(demands)
    return found


Demands = Mapping[Claimant, int]


def limits_at(
    node: str, seen: Mapping[str, Demands], places: float, view_at: float = 0.0
) -> ShareLimits:
    """Return the limits that a node computes.

    Parameters
    ----------
    seen
        By node, the demands of its claimants: the node's own ones, and the others' as announced.
    """
    own = [demand(claimant, items) for claimant, items in seen[node].items()]
    others = [
        claims(*(demand(claimant, items) for claimant, items in demands.items()))
        for name, demands in sorted(seen.items())
        if name != node
    ]
    limits = ShareLimits()
    limits.update(own, PeerClaims(view_at, others), {SERVICE: places})
    return limits


def granted(limits: ShareLimits, demands: Demands, now: float = 0.0) -> float:
    """Return how many places a node's items may take in total."""
    return sum(
        int(min(items, limits.most(claimant, SERVICE, now))) for claimant, items in demands.items()
    )
