"""Builders of claim messages: each function returns one kind of request or answer.

The callers add exchange, partition, epoch and requester.
"""

from __future__ import annotations

from collections.abc import Iterable

from stagewalk.node.claims.codec import write_ballot
from stagewalk.node.claims.types import Ballot
from stagewalk.node.wire.claims_pb2 import ClaimMessage, ClaimReject, ClaimStateRequest

Reason = ClaimReject.Reason
Purpose = ClaimStateRequest.Purpose

ANSWERS = frozenset({"promise", "accepted", "reject", "state"})
"""Bodies that answer a request; a `decision` may also be sent unrequested."""


def prepare(key: str, ballot: Ballot | None, renewable: bool) -> ClaimMessage:
    """Return a request for a promise, or, without a ballot, for the accepted value."""
    message = ClaimMessage()
    message.prepare.key = key
    message.prepare.renewable = renewable
    if ballot is not None:
        message.prepare.ballot.CopyFrom(write_ballot(ballot))
    return message


def accept(key: str, ballot: Ballot, value: bytes, renewable: bool) -> ClaimMessage:
    """Return a request for a vote."""
    message = ClaimMessage()
    message.accept.key = key
    message.accept.value = value
    message.accept.renewable = renewable
    message.accept.ballot.CopyFrom(write_ballot(ballot))
    return message


def decision_of_ballot(key: str, ballot: Ballot) -> ClaimMessage:
    """Notify replicas that accepted `ballot` that its value is decided."""
    message = ClaimMessage()
    message.decision.key = key
    message.decision.ballot.CopyFrom(write_ballot(ballot))
    return message


def decision_of_value(key: str, value: bytes) -> ClaimMessage:
    """Answer a request with the decided value."""
    message = ClaimMessage()
    message.decision.key = key
    message.decision.value = value
    return message


def promise(accepted: Ballot | None, value: bytes) -> ClaimMessage:
    """Answer a prepare with a promise and the value accepted so far, if any."""
    message = ClaimMessage()
    message.promise.SetInParent()
    if accepted is not None:
        message.promise.accepted_ballot.CopyFrom(write_ballot(accepted))
        message.promise.value = value
    return message


def accepted(ballot: Ballot) -> ClaimMessage:
    """Answer an accept with a vote."""
    message = ClaimMessage()
    message.accepted.ballot.CopyFrom(write_ballot(ballot))
    return message


def reject(
    reason: Reason.ValueType, promised: Ballot | None = None, retry_after_seconds: float = 0.0
) -> ClaimMessage:
    """Answer without a vote."""
    message = ClaimMessage(
        reject=ClaimReject(reason=reason, retry_after_seconds=retry_after_seconds)
    )
    if promised is not None:
        message.reject.promised.CopyFrom(write_ballot(promised))
    return message


def state_request(
    purpose: Purpose.ValueType, after_key: str, held_keys: Iterable[int]
) -> ClaimMessage:
    """Request the next piece of a partition's state, without decisions already held."""
    return ClaimMessage(
        state_request=ClaimStateRequest(purpose=purpose, after_key=after_key, held_keys=held_keys)
    )
