"""Table of the newest fact about each known node.

Facts about a member are ordered by (incarnation, refutation, state): a greater incarnation is a
newer process, a greater refutation is a later statement of that process, and for the same statement
the worse state wins. The same facts in any order, with any repetition, give the same table.
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
    """What a member states about itself, or what another node concluded about it.

    `address` and `placement` are `None` if the sender left them out because receivers know them.
    `accuser` is the node that suspected the member or declared it dead.
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
        """Return the key that orders facts about the same member; the greater one wins."""
        return (self.incarnation, self.refutation, self.state)


@dataclass(frozen=True, slots=True)
class TableChange:
    """A fact that replaced an older one, or `None`, in the table."""

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
        """Return an order-independent hash of the names and incarnations of present members."""
        return self._digest

    def apply(self, fact: MemberFact, now: float) -> TableChange | None:
        """Apply a fact; return the change, or `None` if the fact is not newer or not usable."""
        old = self._facts.get(fact.name)
        if old is not None and old.incarnation == fact.incarnation:
            self._merge_status(old, fact)
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
        """Return the members that died or left, sorted by name."""
        return [self._facts[name] for name in sorted(self._ended_at)]

    def forget_ended_before(self, moment: float) -> None:
        """Remove the members that died or left before a time."""
        for name in [name for name, ended_at in self._ended_at.items() if ended_at < moment]:
            del self._ended_at[name]
            del self._facts[name]

    def _merge_status(self, old: MemberFact, fact: MemberFact) -> None:
        offset = fact.status.configuration_offset
        if offset > old.status.configuration_offset:
            self._set_fact(replace(old, status=MemberStatus(offset)))

    def _store(self, fact: MemberFact, old: MemberFact | None, now: float) -> None:
        if old is not None and _is_present(old):
            self._digest ^= _hash(old)
        if _is_present(fact):
            self._digest ^= _hash(fact)
            self._ended_at.pop(fact.name, None)
        else:
            self._ended_at[fact.name] = now
        self._set_fact(fact)

    def _set_fact(self, fact: MemberFact) -> None:
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
