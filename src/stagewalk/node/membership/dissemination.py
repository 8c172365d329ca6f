"""Queue of updates that are piggybacked on other messages, each a bounded number of times.

The bound grows with the logarithm of the number of members.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from stagewalk.common.identities import NodeName
from stagewalk.node.membership.codec import fact_to_record
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import MemberState
from stagewalk.node.wire.membership_pb2 import MemberRecord

REPEATED_FIELD_OVERHEAD_BYTES = 3
"""Size of the tag and length of one element of a repeated protobuf field."""


@dataclass(slots=True)
class _QueuedUpdate:
    record: MemberRecord
    size_bytes: int
    sent: int
    order: int


class UpdateQueue:
    """Queue of updates to piggyback, ordered by fewest transmissions, then newest first."""

    def __init__(self, retransmission_factor: float) -> None:
        self._factor = retransmission_factor
        self._updates: dict[NodeName, _QueuedUpdate] = {}
        self._order = 0

    def __bool__(self) -> bool:
        return bool(self._updates)

    def add(self, fact: MemberFact) -> None:
        """Queue a fact; it replaces an older one about the same member."""
        record = fact_to_record(fact, with_place=fact.state is MemberState.ALIVE)
        size = record.ByteSize() + REPEATED_FIELD_OVERHEAD_BYTES
        self._order += 1
        self._updates[fact.name] = _QueuedUpdate(record, size, 0, self._order)

    def take(self, budget_bytes: int, member_count: int) -> list[MemberRecord]:
        """Return updates that fit into `budget_bytes`, and count each as sent once more."""
        if not self._updates:
            return []
        limit = transmission_limit(self._factor, member_count)
        taken: list[MemberRecord] = []
        for name, update in sorted(self._updates.items(), key=_by_sent_then_newest):
            if update.size_bytes > budget_bytes:
                continue
            budget_bytes -= update.size_bytes
            taken.append(update.record)
            update.sent += 1
            if update.sent >= limit:
                del self._updates[name]
        return taken


def transmission_limit(factor: float, member_count: int) -> int:
    """Return how often one node sends an update for it to reach all members."""
    return math.ceil(factor * math.log10(member_count + 1))


def _by_sent_then_newest(item: tuple[NodeName, _QueuedUpdate]) -> tuple[int, int]:
    return (item[1].sent, -item[1].order)
