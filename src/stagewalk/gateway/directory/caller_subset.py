"""Which nodes callers are sent to. Pure.

Any node serves any caller. Sending the callers of a zone to a few of its nodes, as many as their
load needs, keeps connections to workers warm and requests in their zone; the other nodes rest.
Every node decides for itself, from the nodes it knows, whether it is one of them, and announces
it. Owns both rules: which nodes are listed, and which of these the directory names to a caller.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from stagewalk.gateway.directory.ledger_replicas import FAST_SHARE
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allows

SMALL_REGION_NODES = 20
"""In a region of at most so many nodes all are named: connections are warm anyway, and the loss of
one node concerns fewer callers."""

MINIMUM_LISTED_NODES = 4
"""Nodes of a zone that callers are sent to: one is lost, another one stops, and two are left, as
many as a caller tries."""

CALLS_PER_CAPACITY = 50.0
"""Requests a second for a core of the usual speed: a quarter of what one was seen to forward."""

MINIMUM_NAMED = 2
"""With fewer listed nodes in a caller's zone, those of other zones are named as well; with fewer
nodes in its region, those of other regions."""

SPARES_NAMED = 2
"""Nodes of other zones named beside those of a caller's own. Without any, a caller had no address
that answered until it asked the directory again: 9 of 249 look-ups on a day on which one of three
zones lost power, 19 on another. A third of the callers' requests go 1.4 ms further for it."""


def should_be_listed(node: str, candidates: Sequence[NodeAnnouncement]) -> bool:
    """Whether callers should be sent to a node.

    Parameters
    ----------
    candidates
        Living nodes that don't stop, this one among them.
    """
    own = next((candidate for candidate in candidates if candidate.node == node), None)
    if own is None:
        return False
    if sum(candidate.region == own.region for candidate in candidates) <= SMALL_REGION_NODES:
        return True
    zone = [candidate for candidate in candidates if candidate.zone == own.zone]
    return own in _subset(zone)


def _subset(zone: Sequence[NodeAnnouncement]) -> list[NodeAnnouncement]:
    """Return the first nodes of a zone's order: at least a few, and enough for the zone's load."""
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
    """Return a zone's nodes: fast ones first, then by a hash, so that a change moves few."""
    fastest = max((node.capacity for node in zone), default=0.0)

    def place(node: NodeAnnouncement) -> tuple[bool, int]:
        slow = node.capacity < FAST_SHARE * fastest
        return slow, xxhash.xxh64_intdigest(f"callers/{node.node}".encode())

    return sorted(zone, key=place)


@dataclass(frozen=True, slots=True)
class CallerLocation:
    """Where a caller is, and where it should be sent.

    Attributes
    ----------
    evacuated
        Zones being evacuated: their nodes are named only if there are no others.
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
    """Return the nodes to name to a caller, nearest first.

    Callers choose among the addresses at random, so nodes of other zones are named only where the
    region is small, or too few of the caller's zone are listed. Two of the region's other zones
    are named in addition: a zone that is lost at once would take all its callers' addresses along.
    """
    serving = _suited([node for node in nodes if node.serving], caller)

    def distance(node: NodeAnnouncement) -> tuple[bool, bool, str]:
        return node.region != caller.region, node.zone != caller.zone, node.node

    ordered = sorted(serving, key=distance)
    own_region = [node for node in ordered if node.region == caller.region]
    if MINIMUM_NAMED <= len(own_region) <= SMALL_REGION_NODES:
        # A node without a role announces itself seldom: it may be gone for longer than it may be
        # named.
        return ([node for node in own_region if node.listed] or own_region)[:most]
    listed = [node for node in ordered if node.listed]
    near = [node for node in listed if node.zone == caller.zone]
    if len(near) >= MINIMUM_NAMED:
        return [*near, *_spares(listed, caller)][:most]
    return (listed or ordered)[:most]


def _suited(nodes: list[NodeAnnouncement], caller: CallerLocation) -> list[NodeAnnouncement]:
    """Return the nodes that may serve a caller, outside of evacuated zones if there are any.

    The caller's own region is as good as its homes: a node there forwards to where it may.
    """
    homes = None if caller.homes is None else caller.homes | {caller.region}
    at_home = [node for node in nodes if allows(homes, node.region)]
    staying = [node for node in at_home if node.zone not in caller.evacuated]
    return staying or at_home or nodes


def _spares(listed: Sequence[NodeAnnouncement], caller: CallerLocation) -> list[NodeAnnouncement]:
    """Return listed nodes of other zones of a caller's region, each of another one."""
    others: dict[str, NodeAnnouncement] = {}
    for node in listed:
        if node.region == caller.region and node.zone != caller.zone:
            others.setdefault(node.zone, node)
    return list(others.values())[:SPARES_NAMED]
