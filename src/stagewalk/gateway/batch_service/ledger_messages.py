"""Calls about batches as nodes relay them to each other, and their answers.

Owns their wire format: the order of the fields and the names of the tags must not change.
"""

from __future__ import annotations

import msgspec


class ResultsCall(msgspec.Struct, frozen=True, array_like=True, tag="results"):
    """Read a batch's results from a position on; wait up to `wait_seconds` for the first one.

    In this and the other calls, `tenant` is the caller's; None if no tenants are configured.
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
    """The HTTP response for the caller.

    Attributes
    ----------
    status
        HTTP status.
    content
        The body.
    content_type
        Its type.
    retry_after_seconds
        When to retry, None if a retry won't help.
    """

    status: int
    content: bytes
    content_type: str = "application/json"
    retry_after_seconds: float | None = None

    @property
    def inconclusive(self) -> bool:
        """Whether another node may be able to answer."""
        return self.status >= 500


_CALLS: msgspec.msgpack.Decoder[LedgerCall] = msgspec.msgpack.Decoder(LedgerCall)
_ANSWERS = msgspec.msgpack.Decoder(LedgerAnswer)


def encode_message(message: LedgerCall | LedgerAnswer) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_call(content: bytes) -> LedgerCall | None:
    """Return the decoded call, None if the bytes are invalid."""
    try:
        return _CALLS.decode(content)
    except msgspec.DecodeError:
        return None


def decode_answer(content: bytes) -> LedgerAnswer | None:
    """Return the decoded answer, None if the bytes are invalid."""
    try:
        return _ANSWERS.decode(content)
    except msgspec.DecodeError:
        return None


def refusal(status: int, detail: str, retry_after_seconds: float | None = None) -> LedgerAnswer:
    """Return an error answer with a reason."""
    content = msgspec.json.encode({"error": detail})
    return LedgerAnswer(status, content, retry_after_seconds=retry_after_seconds)
