"""Order in which members are probed, and the state of running and relayed probes."""

from __future__ import annotations

import random
from dataclasses import dataclass

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import Member


@dataclass(slots=True)
class PendingProbe:
    """A running probe of this node's own.

    Attributes
    ----------
    target
        Fact about the member when the probe was sent.
    direct_deadline, final_deadline
        Time at which helpers are asked to probe it, and time at which the probe has failed.
    helpers
        Number of members asked to probe it; 0 before they are asked.
    helper_answers
        Number of helpers that reported no answer either.
    """

    target: MemberFact
    direct_deadline: float
    final_deadline: float
    helpers: int = 0
    helper_answers: int = 0


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A running probe on behalf of another member.

    `exchange_id` is the id that the requester chose. At `deadline` the requester is notified that
    no answer came.
    """

    requester: NodeName
    requester_address: Address
    exchange_id: int
    target: MemberFact
    deadline: float


class ProbeSchedule:
    """Round robin over a shuffled list: every member is probed once in each round.

    This bounds the time until a dead member is probed, which random choice does not. Shuffling
    keeps nodes from probing the same member at the same time.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._round: list[NodeName] = []

    def add(self, name: NodeName) -> None:
        """Insert a new member into the current round."""
        self._round.insert(self._generator.randint(0, len(self._round)), name)

    def next(self, present: dict[NodeName, Member], own_name: NodeName) -> Member | None:
        """Return the next member to probe; nodes that are no longer present are skipped."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in present and name != own_name:
                    return present[name]
            self._round = [name for name in present if name != own_name]
            self._generator.shuffle(self._round)
        return None
