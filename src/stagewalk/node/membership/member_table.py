"""All nodes this node knows of, and the rule by which news about one of them counts.

News about a member is ordered by (incarnation, refutation, state): a greater incarnation is a
newer process, a greater refutation is that process's own later word, and at the same word the
worse state wins. So any order and any repetition of the same news ends in the same table.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

import xxhash

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.membership.members import Member, MemberState, MemberStatus

UNKNOWN_STATUS = MemberStatus()
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
"""States in which a node is a member."""


@dataclass(frozen=True, slots=True)
class MemberFact:
    """One node's word or another's judgement about a member.

    `address` and `placement` are `None` where the teller took them for known; `accuser` names
    whose probes failed, for a suspicion.
    """

    name: NodeName
    incarnation: Incarnation
    refutation: int
    state: MemberState
    address: Address | None = None
    placement: Placement | None = None
    status: MemberStatus = UNKNOWN_STATUS
    accuser: NodeName | None = None

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return what decides between two facts about the same member."""
        return (self.incarnation, self.refutation, self.state)


@dataclass(frozen=True, slots=True)
class TableChange:
    """A fact that was newer than what the table held."""

    fact: MemberFact
    old: MemberFact | None


class MemberTable:
    """The newest fact about each node, this one included."""

    def __init__(self) -> None:
        self._facts: dict[NodeName, MemberFact] = {}
        self._ended_at: dict[NodeName, float] = {}
        self._digest = 0
        self._members: dict[NodeName, Member] = {}
        self._present: dict[NodeName, Member] | None = None

    def get(self, name: NodeName) -> MemberFact | None:
        """Return the newest fact about a node."""
        return self._facts.get(name)

    def facts(self) -> Iterator[MemberFact]:
        """Iterate over all facts, in the order of names."""
        return (self._facts[name] for name in sorted(self._facts))

    @property
    def digest(self) -> int:
        """Return an order-free hash of the names and incarnations alive or suspect."""
        return self._digest

    def apply(self, fact: MemberFact, now: float) -> TableChange | None:
        """Apply a fact; return what changed, or `None` if it is no news."""
        old = self._facts.get(fact.name)
        if old is not None and old.incarnation == fact.incarnation:
            self._take_status(old, fact)
            old = self._facts[fact.name]
        if old is not None and not _is_newer(fact, old):
            return None
        if fact.address is None and old is not None:
            fact = replace(fact, address=old.address, placement=old.placement)
        if _is_present(fact) and fact.address is None:
            return None
        if old is not None and old.incarnation == fact.incarnation:
            fact = replace(fact, status=old.status)
        self._store(fact, old, now)
        return TableChange(fact, old)

    def members(self) -> tuple[Member, ...]:
        """Return the alive and suspect members in the order of their names."""
        return tuple(self.present().values())

    def present(self) -> dict[NodeName, Member]:
        """Return the alive and suspect members by name, in the order of their names."""
        if self._present is None:
            self._present = dict(sorted(self._members.items()))
        return self._present

    def ended(self) -> list[MemberFact]:
        """Return the dead and those that left, in the order of their names."""
        return [self._facts[name] for name in sorted(self._ended_at)]

    def forget_ended_before(self, moment: float) -> None:
        """Remove the dead and those that left before a time."""
        for name in [name for name, ended_at in self._ended_at.items() if ended_at < moment]:
            del self._ended_at[name]
            del self._facts[name]

    def _take_status(self, old: MemberFact, fact: MemberFact) -> None:
        offset = fact.status.configuration_offset
        if offset > old.status.configuration_offset:
            self._keep(replace(old, status=MemberStatus(offset)))

    def _store(self, fact: MemberFact, old: MemberFact | None, now: float) -> None:
        if old is not None and _is_present(old):
            self._digest ^= _hash(old)
        if _is_present(fact):
            self._digest ^= _hash(fact)
            self._ended_at.pop(fact.name, None)
        else:
            self._ended_at[fact.name] = now
        self._keep(fact)

    def _keep(self, fact: MemberFact) -> None:
        self._facts[fact.name] = fact
        if _is_present(fact):
            self._members[fact.name] = _member(fact)
        else:
            self._members.pop(fact.name, None)
        self._present = None


def _is_present(fact: MemberFact) -> bool:
    return fact.state in PRESENT_STATES


def _is_newer(fact: MemberFact, old: MemberFact) -> bool:
    if old.state is MemberState.LEFT and old.incarnation == fact.incarnation:
        return False
    return fact.rank > old.rank


def _hash(fact: MemberFact) -> int:
    return xxhash.xxh64_intdigest(f"{fact.name}/{fact.incarnation}".encode())


def _member(fact: MemberFact) -> Member:
    assert fact.address is not None and fact.placement is not None
    return Member(
        fact.name, fact.incarnation, fact.address, fact.placement, fact.state, fact.status
    )
