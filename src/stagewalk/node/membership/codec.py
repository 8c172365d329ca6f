"""Conversion between facts about members and their wire format.

The numeric values of `MemberState` are those of the wire format.
"""

from __future__ import annotations

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import MemberState, MemberStatus
from stagewalk.node.wire.membership_pb2 import MemberRecord, MembershipState


def fact_to_record(fact: MemberFact, with_place: bool) -> MemberRecord:
    """Return a fact's wire format, with or without address and placement."""
    record = MemberRecord(
        name=fact.name,
        incarnation=fact.incarnation,
        refutation=fact.refutation,
        state=MembershipState.ValueType(fact.state),
        configuration_offset=fact.status.configuration_offset,
        accuser=fact.accuser or "",
    )
    if with_place and fact.address is not None and fact.placement is not None:
        record.host = fact.address.host
        record.port = fact.address.port
        record.region = fact.placement.region
        record.zone = fact.placement.zone
    return record


def record_to_fact(record: MemberRecord) -> MemberFact:
    """Return the fact that a record encodes."""
    has_place = bool(record.host)
    return MemberFact(
        name=NodeName(record.name),
        incarnation=Incarnation(record.incarnation),
        refutation=record.refutation,
        state=MemberState(record.state),
        address=Address(record.host, record.port) if has_place else None,
        placement=Placement(record.region, record.zone) if has_place else None,
        status=MemberStatus(record.configuration_offset),
        accuser=NodeName(record.accuser) if record.accuser else None,
    )
