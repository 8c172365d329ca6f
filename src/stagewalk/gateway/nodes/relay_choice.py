"""Chooses the nodes that may relay this node's calls of the log. Pure.

A relayed call may carry a batch, so it goes only to this node's region and to regions in which
batches are allowed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from stagewalk.common.identities import Address
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.log_relay.relayed_log import RelayPeers
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allows


def choose_relay_peers(
    others: Sequence[NodeAnnouncement], own_region: str, batch_regions: AllowedRegions
) -> RelayPeers:
    """Return the addresses of nodes that relay calls.

    If any nodes have a role, only these are returned: they announce themselves often, so they are
    more likely to be alive.

    Parameters
    ----------
    others
        Alive nodes other than this one.
    """
    chosen = [node for node in others if node.has_role] or others
    same_region = [node for node in chosen if node.region == own_region]
    other_regions = [
        node for node in chosen if node.region != own_region and allows(batch_regions, node.region)
    ]
    return RelayPeers(_peer_addresses(same_region), _peer_addresses(other_regions))


def _peer_addresses(nodes: Iterable[NodeAnnouncement]) -> list[Address]:
    return [node.peer_address for node in nodes if node.peer_address is not None]
