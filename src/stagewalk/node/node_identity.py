"""Who a node is."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who this node is; `address` is its peer address for UDP and TCP."""

    name: NodeName
    incarnation: Incarnation
    address: Address
    placement: Placement
