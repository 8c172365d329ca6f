"""Relayed calls of the log and their answers, as nodes send them to each other.

Owns the wire format. `msgspec` encodes the types of the port, so the names of their fields are part
of the format.
"""

from __future__ import annotations

import msgspec

from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    LogFailure,
    Partition,
    ProducerSequence,
    RecordPage,
)


class AppendCall(msgspec.Struct, frozen=True, tag="append"):
    """`PartitionedLog.append`."""

    partition: Partition
    payloads: list[bytes]
    sequence: ProducerSequence


class AppendAtCall(msgspec.Struct, frozen=True, tag="append_at"):
    """`PartitionedLog.append_at`."""

    partition: Partition
    payload: bytes
    end: int


class AppendKeyedCall(msgspec.Struct, frozen=True, tag="append_keyed"):
    """`PartitionedLog.append_keyed`."""

    partition: Partition
    key: str
    value: bytes


class ReadCall(msgspec.Struct, frozen=True, tag="read"):
    """`PartitionedLog.read`."""

    partition: Partition
    offset: int
    wait_seconds: float


class ReadKeyedCall(msgspec.Struct, frozen=True, tag="read_keyed"):
    """`PartitionedLog.read_keyed`."""

    partition: Partition
    offset: int
    wait_seconds: float


class NewestCall(msgspec.Struct, frozen=True, tag="newest"):
    """`PartitionedLog.newest`."""

    partition: Partition


LogCall = AppendCall | AppendAtCall | AppendKeyedCall | ReadCall | ReadKeyedCall | NewestCall


class LogAnswer(msgspec.Struct, frozen=True):
    """An answer: either the field for the call's result or the failure is set."""

    offset: int | None = None
    page: RecordPage | None = None
    keyed: KeyedPage | None = None
    failure: LogFailure | None = None


_CALLS: msgspec.msgpack.Decoder[LogCall] = msgspec.msgpack.Decoder(LogCall)
_ANSWERS = msgspec.msgpack.Decoder(LogAnswer)


def encode_message(message: LogCall | LogAnswer) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_call(content: bytes) -> LogCall | None:
    """Return the decoded call, None if the bytes are malformed."""
    try:
        return _CALLS.decode(content)
    except msgspec.DecodeError:
        return None


def decode_answer(content: bytes) -> LogAnswer | None:
    """Return the decoded answer, None if the bytes are malformed."""
    try:
        return _ANSWERS.decode(content)
    except msgspec.DecodeError:
        return None
