"""Which nodes callers are sent to. Pure.

Any node serves any caller. The callers of a zone are sent to as few of its nodes as their load
needs, so that connections to workers stay warm and requests stay in the zone. Each node decides
from the nodes it knows whether it is listed, and announces that. Owns both rules: which nodes are
listed, and which listed nodes the directory returns to a caller.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from stagewalk.gateway.directory.ledger_replicas import FAST_SHARE
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allows

SMALL_REGION_NODES = 20
"""In a region of at most this many nodes all are listed: connections stay warm anyway, and the loss
of a node affects fewer callers."""

MINIMUM_LISTED_NODES = 4
"""Minimum number of listed nodes of a zone: if one is lost while another one stops, two are left,
as many as a caller tries."""

CALLS_PER_CAPACITY = 50.0
"""Requests a second for each standard core: a quarter of what a core can forward."""

MINIMUM_NAMED = 2
"""With fewer listed nodes in a caller's zone, those of other zones are returned as well; with fewer
nodes in its region, those of other regions."""

SPARES_NAMED = 2
"""Nodes of other zones that are returned in addition to those of a caller's own. Without them, a
caller whose zone fails has no address that answers until its next look-up. In return, a third of
the callers' requests go 1.4 ms further."""


def should_be_listed(node: str, candidates: Sequence[NodeAnnouncement]) -> bool:
    """Whether callers should be sent to a node.

    Parameters
    ----------
    candidates
        Alive nodes that are not stopping, this one included.
    """
    own = next((candidate for candidate in candidates if candidate.node == node), None)
    if own is None:
        return False
    if sum(candidate.region == own.region for candidate in candidates) <= SMALL_REGION_NODES:
        return True
    zone = [candidate for candidate in candidates if candidate.zone == own.zone]
    return own in _select_listed(zone)


def _select_listed(zone: Sequence[NodeAnnouncement]) -> list[NodeAnnouncement]:
    """Return a zone's first nodes by rank, as many as its load needs, but at least the minimum."""
    calls = sum(node.calls_per_second for node in zone)
    chosen: list[NodeAnnouncement] = []
    capacity = 0.0
    for node in _ranked(zone):
        if len(chosen) >= MINIMUM_LISTED_NODES and capacity * CALLS_PER_CAPACITY >= calls:
            break
        chosen.append(node)
        capacity += node.capacity
    return chosen


def _ranked(zone: Sequence[NodeAnnouncement]) -> list[NodeAnnouncement]:
    """Return a zone's nodes: fast ones first, then by a hash, so that a change affects few."""
    fastest = max((node.capacity for node in zone), default=0.0)

    def sort_key(node: NodeAnnouncement) -> tuple[bool, int]:
        slow = node.capacity < FAST_SHARE * fastest
        return slow, xxhash.xxh64_intdigest(f"callers/{node.node}".encode())

    return sorted(zone, key=sort_key)


@dataclass(frozen=True, slots=True)
class CallerLocation:
    """Where a caller is, and to which nodes it may be sent.

    Attributes
    ----------
    evacuated
        Zones being evacuated: their nodes are returned only if there are no others.
    homes
        Regions in which the caller's requests may be served; None: any.
    """

    region: str
    zone: str
    evacuated: frozenset[str] = frozenset()
    homes: AllowedRegions = None


def select_nodes_for_caller(
    nodes: Sequence[NodeAnnouncement], caller: CallerLocation, most: int
) -> list[NodeAnnouncement]:
    """Return the nodes that a caller should use, nearest first.

    Callers choose among the addresses at random, so all nodes of other zones are returned only if
    the region is small or too few nodes of the caller's zone are listed. Otherwise one node each of
    `SPARES_NAMED` other zones is added, for the case that the caller's zone fails.
    """
    serving = _select_allowed([node for node in nodes if node.serving], caller)

    def distance(node: NodeAnnouncement) -> tuple[bool, bool, str]:
        return node.region != caller.region, node.zone != caller.zone, node.node

    ordered = sorted(serving, key=distance)
    own_region = [node for node in ordered if node.region == caller.region]
    if MINIMUM_NAMED <= len(own_region) <= SMALL_REGION_NODES:
        # A node that isn't listed announces itself rarely, so its failure is detected late.
        return ([node for node in own_region if node.listed] or own_region)[:most]
    listed = [node for node in ordered if node.listed]
    near = [node for node in listed if node.zone == caller.zone]
    if len(near) >= MINIMUM_NAMED:
        return [*near, *_select_spares(listed, caller)][:most]
    return (listed or ordered)[:most]


def _select_allowed(
    nodes: list[NodeAnnouncement], caller: CallerLocation
) -> list[NodeAnnouncement]:
    """Return the nodes that may serve a caller, outside of evacuated zones if possible.

    Nodes in the caller's own region are always allowed: they forward to the permitted regions.
    """
    homes = None if caller.homes is None else caller.homes | {caller.region}
    at_home = [node for node in nodes if allows(homes, node.region)]
    staying = [node for node in at_home if node.zone not in caller.evacuated]
    return staying or at_home or nodes


def _select_spares(
    listed: Sequence[NodeAnnouncement], caller: CallerLocation
) -> list[NodeAnnouncement]:
    """Return listed nodes of other zones of a caller's region, at most one for each zone."""
    others: dict[str, NodeAnnouncement] = {}
    for node in listed:
        if node.region == caller.region and node.zone != caller.zone:
            others.setdefault(node.zone, node)
    return list(others.values())[:SPARES_NAMED]
