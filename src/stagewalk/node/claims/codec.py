"""Conversion of ballots, entries and incarnations between wire messages and internal types."""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims.register import ClaimEntry
from stagewalk.node.claims.types import Ballot
from stagewalk.node.wire import claims_pb2


def write_ballot(ballot: Ballot) -> claims_pb2.ClaimBallot:
    """Return the wire form of a ballot."""
    return claims_pb2.ClaimBallot(
        round=ballot.round,
        proposer=ballot.proposer,
        incarnation=ballot.incarnation,
        attempt=ballot.attempt,
    )


def read_ballot(message: claims_pb2.ClaimBallot) -> Ballot:
    """Return the ballot of a message."""
    return Ballot(
        message.round,
        NodeName(message.proposer),
        Incarnation(message.incarnation),
        message.attempt,
    )


def write_entry(key: str, entry: ClaimEntry, now: float) -> claims_pb2.ClaimEntry:
    """Return the wire form of an entry; its expiry is relative, as clocks differ."""
    message = claims_pb2.ClaimEntry(
        key=key,
        value=entry.value,
        decided=entry.decided,
        expires_in_seconds=max(0.0, entry.expires_at - now),
    )
    if entry.promised is not None:
        message.promised.CopyFrom(write_ballot(entry.promised))
    if entry.accepted is not None:
        message.accepted.CopyFrom(write_ballot(entry.accepted))
    return message


def read_entry(message: claims_pb2.ClaimEntry, now: float) -> ClaimEntry:
    """Return the entry of a state transfer message."""
    return ClaimEntry(
        expires_at=now + message.expires_in_seconds,
        promised=read_ballot(message.promised) if message.HasField("promised") else None,
        accepted=read_ballot(message.accepted) if message.HasField("accepted") else None,
        value=message.value,
        decided=message.decided,
    )


def write_incarnations(
    message: claims_pb2.ClaimMessage, incarnations: Mapping[NodeName, Incarnation]
) -> None:
    """Write an incarnation vector into an answer."""
    for name in sorted(incarnations):
        message.incarnations.add(name=name, incarnation=incarnations[name])


def read_incarnations(message: claims_pb2.ClaimMessage) -> dict[NodeName, Incarnation]:
    """Return the incarnation vector of an answer."""
    return {NodeName(item.name): Incarnation(item.incarnation) for item in message.incarnations}
