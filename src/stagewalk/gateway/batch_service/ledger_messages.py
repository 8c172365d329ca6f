"""Calls about batches as nodes relay them to each other, and their answers.

Owns their forms on the wire: fields keep their order, tags their names.
"""

from __future__ import annotations

import msgspec


class ResultsCall(msgspec.Struct, frozen=True, array_like=True, tag="results"):
    """Read a batch's results from a position on, waiting so many seconds for a first one.

    In this and the other calls, `tenant` is who asks; None: no tenants are in force.
    """

    batch: str
    position: int
    wait_seconds: float
    tenant: str | None = None


class ItemCall(msgspec.Struct, frozen=True, array_like=True, tag="item"):
    """Read the body of an item."""

    batch: str
    item: str
    tenant: str | None = None


class EndCall(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """End a batch."""

    batch: str
    tenant: str | None = None


LedgerCall = ResultsCall | ItemCall | EndCall


class LedgerAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What the caller is to be answered.

    Attributes
    ----------
    status
        HTTP status.
    content
        The body.
    content_type
        Its type.
    retry_after_seconds
        When asking again may help, None if it won't.
    """

    status: int
    content: bytes
    content_type: str = "application/json"
    retry_after_seconds: float | None = None

    @property
    def unsure(self) -> bool:
        """Whether another node may know better."""
        return self.status >= 500


_CALLS: msgspec.msgpack.Decoder[LedgerCall] = msgspec.msgpack.Decoder(LedgerCall)
_ANSWERS = msgspec.msgpack.Decoder(LedgerAnswer)


def encode_message(message: LedgerCall | LedgerAnswer) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_call(content: bytes) -> LedgerCall | None:
    """Return the call that bytes spell, None if they spell none."""
    try:
        return _CALLS.decode(content)
    except msgspec.DecodeError:
        return None


def decode_answer(content: bytes) -> LedgerAnswer | None:
    """Return the answer that bytes spell, None if they spell none."""
    try:
        return _ANSWERS.decode(content)
    except msgspec.DecodeError:
        return None


def refusal(status: int, detail: str, retry_after_seconds: float | None = None) -> LedgerAnswer:
    """Return an answer that says why there is no other."""
    content = msgspec.json.encode({"error": detail})
    return LedgerAnswer(status, content, retry_after_seconds=retry_after_seconds)
