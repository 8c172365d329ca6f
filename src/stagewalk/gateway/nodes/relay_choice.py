"""Chooses the nodes that may relay this node's calls of the log. Pure.

What is relayed may be a batch, so it goes to no region that is neither one of the batches' regions
nor this node's own.
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
    """Return where other nodes serve relayed calls.

    Nodes with a role are returned alone where there are any: they announced themselves lately.

    Parameters
    ----------
    others
        Living nodes but for this one.
    """
    chosen = [node for node in others if node.has_role] or others
    same_region = [node for node in chosen if node.region == own_region]
    other_regions = [
        node for node in chosen if node.region != own_region and allows(batch_regions, node.region)
    ]
    return RelayPeers(_peer_addresses(same_region), _peer_addresses(other_regions))


def _peer_addresses(nodes: Iterable[NodeAnnouncement]) -> list[Address]:
    return [node.peer_address for node in nodes if node.peer_address is not None]
