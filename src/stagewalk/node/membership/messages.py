"""Builds membership messages, and piggybacks queued updates on datagrams."""

from __future__ import annotations

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.core.identity import AddressedIdentity
from stagewalk.node.core.instructions import MAXIMUM_DATAGRAM_BYTES, SendPeerMessage, Transport
from stagewalk.node.membership.codec import fact_to_record
from stagewalk.node.membership.dissemination import REPEATED_FIELD_OVERHEAD_BYTES, UpdateQueue
from stagewalk.node.membership.member_table import MemberFact, MemberTable
from stagewalk.node.membership.members import MemberState
from stagewalk.node.wire.envelope_pb2 import Envelope
from stagewalk.node.wire.membership_pb2 import MemberRecord, MembershipKind, MembershipMessage

LENGTH_FIELD_RESERVE_BYTES = 8
"""Reserve for length fields that grow when updates are added to a message."""


class MessageWriter:
    """Builds messages with this node's identity and digest."""

    def __init__(self, identity: AddressedIdentity, table: MemberTable, queue: UpdateQueue) -> None:
        self._identity = identity
        self._table = table
        self._queue = queue

    def datagram(
        self,
        address: Address,
        kind: MembershipKind.ValueType,
        recipient: NodeName | None = None,
        exchange_id: int = 0,
        target: MemberFact | None = None,
    ) -> SendPeerMessage:
        """Return a message with as many queued updates as fit into a datagram."""
        message = MembershipMessage(exchange_id=exchange_id, kind=kind, digest=self._table.digest)
        if target is not None:
            message.target.CopyFrom(fact_to_record(target, with_place=True))
        envelope = self._envelope(message)
        budget = MAXIMUM_DATAGRAM_BYTES - envelope.ByteSize() - LENGTH_FIELD_RESERVE_BYTES
        updates = self._records_to_refute(recipient)
        budget -= sum(record.ByteSize() + REPEATED_FIELD_OVERHEAD_BYTES for record in updates)
        updates += self._queue.take(budget, len(self._table.present()))
        envelope.membership.updates.extend(updates)
        return SendPeerMessage(address, envelope, Transport.DATAGRAM)

    def full_state(self, address: Address, answer_wanted: bool) -> SendPeerMessage:
        """Return a message with all facts known to this node, to be sent over a stream."""
        message = MembershipMessage(
            kind=MembershipKind.MEMBERSHIP_KIND_FULL_STATE,
            digest=self._table.digest,
            answer_wanted=answer_wanted,
            updates=[fact_to_record(fact, with_place=True) for fact in self._table.facts()],
        )
        return SendPeerMessage(address, self._envelope(message), Transport.STREAM)

    def _envelope(self, message: MembershipMessage) -> Envelope:
        own = self._table.get(self._identity.name)
        if own is not None:
            message.origin.CopyFrom(fact_to_record(own, with_place=True))
            message.origin.ClearField("name")
        return Envelope(
            sender=self._identity.name,
            sender_incarnation=self._identity.incarnation,
            membership=message,
        )

    def _records_to_refute(self, recipient: NodeName | None) -> list[MemberRecord]:
        """Return the fact about a recipient not considered alive, so that it can refute it."""
        fact = self._table.get(recipient) if recipient is not None else None
        if fact is None or fact.state is MemberState.ALIVE:
            return []
        return [fact_to_record(fact, with_place=False)]
