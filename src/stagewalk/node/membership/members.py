"""What a node knows of itself and of the other nodes: identity, state and status. Plain data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement


class MemberState(IntEnum):
    """State of a member, with the numbers of the wire format."""

    ALIVE = 0
    SUSPECT = 1
    """Its probes failed; it has some seconds to deny it. Still a member."""
    DEAD = 2
    """It did not deny. It comes back if it answers after all (a healed partition)."""
    LEFT = 3
    """It said that it leaves. Only a greater incarnation comes back under its name."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status that every node announces of itself.

    Attributes
    ----------
    configuration_offset
        Offset after the last configuration record in force there; it never falls.
    """

    configuration_offset: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A member as this node sees it now."""

    name: NodeName
    incarnation: Incarnation
    address: Address
    placement: Placement
    state: MemberState
    status: MemberStatus
