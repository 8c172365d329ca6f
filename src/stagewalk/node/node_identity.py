"""Identity of a node's process; cores see it through the protocols of `identities` and `core`."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of this process; `address` is its peer address for UDP and TCP.

    `incarnation` grows with each start of a process under the same name.
    """

    name: NodeName
    incarnation: Incarnation
    address: Address
    placement: Placement
