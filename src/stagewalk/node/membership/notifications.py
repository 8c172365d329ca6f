"""Notifications that membership returns for the node's other cores."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.membership.members import MemberState


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's state or incarnation changed; `old_state` is `None` for a new member."""

    name: NodeName
    old_state: MemberState | None
    new_state: MemberState
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class IdentitySuperseded:
    """A process with a greater incarnation runs, or ran, under this node's name.

    The other nodes ignore this node's facts about itself.

    Attributes
    ----------
    incarnation
        The greater incarnation.
    runs_elsewhere
        Whether the process runs at another address, so that this one must stop. Otherwise it is
        dead, and this one must start again with a greater incarnation.
    """

    incarnation: Incarnation
    runs_elsewhere: bool


MembershipNotification = MemberChanged | IdentitySuperseded
