"""Data types for members: identity, state and status."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement


class MemberState(IntEnum):
    """State of a member, with the numbers of the wire format."""

    ALIVE = 0
    SUSPECT = 1
    """A probe of it failed; it has some seconds to refute that. Still a member."""
    DEAD = 2
    """It did not refute the suspicion. It comes back if it answers later (a healed partition)."""
    LEFT = 3
    """It announced that it leaves. Only a greater incarnation comes back under its name."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status that every node announces about itself.

    Attributes
    ----------
    configuration_offset
        Offset after the last configuration record in force there; it never decreases.
    """

    configuration_offset: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A member as this node currently sees it."""

    name: NodeName
    incarnation: Incarnation
    address: Address
    placement: Placement
    state: MemberState
    status: MemberStatus
