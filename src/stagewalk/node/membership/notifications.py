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

    The other nodes ignore this node's facts about itself. It should stop, or start again with an
    incarnation above `incarnation`.
    """

    incarnation: Incarnation


MembershipNotification = MemberChanged | IdentitySuperseded
