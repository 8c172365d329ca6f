"""What a node does about a fact of its own name. Pure.

Owns the order of a fact and the node's own one. Incarnations are times of day, so a dead process
that started while its clock was ahead may have a greater incarnation than the live one. A process
can't raise its incarnation while it runs, since votes and leases bind the one that it started with;
it starts again with a greater one.
"""

from __future__ import annotations

from enum import Enum, auto

from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import MemberState


class OwnFactVerdict(Enum):
    """What a node does after a fact of its own name."""

    IGNORE = auto()
    """The node's own fact is the later one."""
    REFUTE = auto()
    """The fact is wrong about this process, which states so."""
    RESTART = auto()
    """An earlier process of this node, or its leave, looks later than this one: all other nodes
    ignore this process until it has started again with a greater incarnation."""
    STOP = auto()
    """A process at another address bears this node's name, and started later."""


def judge_own_fact(own: MemberFact, fact: MemberFact, *, leaving: bool) -> OwnFactVerdict:
    """Return what a node does after a fact of its own name.

    Two processes can't have one address at the same time. So a later fact with this node's address
    is of a dead process; one without an address is taken for that.

    Parameters
    ----------
    own
        The node's own fact.
    leaving
        Whether the node has announced that it leaves.
    """
    left = fact.state is MemberState.LEFT and not leaving and fact.rank > own.rank
    if fact.incarnation > own.incarnation or left:
        elsewhere = fact.address is not None and fact.address != own.address
        return OwnFactVerdict.STOP if elsewhere else OwnFactVerdict.RESTART
    if leaving or fact.incarnation < own.incarnation or fact.rank <= own.rank:
        return OwnFactVerdict.IGNORE
    return OwnFactVerdict.REFUTE
