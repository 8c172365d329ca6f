"""Which member is probed next, the running probes, and those on behalf of others.

Owns the order of a round: every member once, in random order.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import Member


@dataclass(slots=True)
class PendingProbe:
    """A probe of this node's own that runs.

    Attributes
    ----------
    target
        What was held of the member when the probe was sent.
    direct_deadline, final_deadline
        When others are asked to probe it too, and when the probe has failed.
    helpers
        How many others were asked; 0 while they have not been.
    helper_answers
        How many of them answered that they had no answer either.
    """

    target: MemberFact
    direct_deadline: float
    final_deadline: float
    helpers: int = 0
    helper_answers: int = 0


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe that runs on behalf of another member.

    `exchange_id` is the one the requester chose, `deadline` when it gets the notice that no answer
    came.
    """

    requester: NodeName
    requester_address: Address
    exchange_id: int
    target: MemberFact
    deadline: float


class ProbeSchedule:
    """Round robin over a shuffled list: every member's turn comes once in each round.

    That bounds the time until a dead member is probed, which random choice does not; the shuffle
    keeps the nodes from probing the same member at the same time.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._round: list[NodeName] = []

    def add(self, name: NodeName) -> None:
        """Insert a new member into the current round."""
        self._round.insert(self._generator.randint(0, len(self._round)), name)

    def next(self, present: dict[NodeName, Member], own_name: NodeName) -> Member | None:
        """Return the next member to probe; those gone meanwhile are skipped."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in present and name != own_name:
                    return present[name]
            self._round = [name for name in present if name != own_name]
            self._generator.shuffle(self._round)
        return None
