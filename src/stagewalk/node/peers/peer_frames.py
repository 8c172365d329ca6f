"""Encoding of messages between nodes: serialised envelopes, with a length prefix over TCP."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from stagewalk.node.wire.envelope_pb2 import Envelope

LENGTH_PREFIX_BYTES = 4
MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
MAXIMUM_SENDER_CHARACTERS = 100
"""Limits that guard against faulty or malicious peers."""


def encode_frame(payload: bytes) -> bytes:
    """Return a payload prefixed by its big-endian length."""
    return len(payload).to_bytes(LENGTH_PREFIX_BYTES, "big") + payload


def decode_length(prefix: bytes) -> int | None:
    """Return the length in a prefix, or None if it exceeds `MAXIMUM_FRAME_BYTES`."""
    length = int.from_bytes(prefix, "big")
    return length if length <= MAXIMUM_FRAME_BYTES else None


def decode_envelope(payload: bytes) -> Envelope | None:
    """Return the envelope in a payload, or None if it, its sender or its body is invalid."""
    try:
        envelope = Envelope.FromString(payload)
    except DecodeError:
        return None
    if not 0 < len(envelope.sender) <= MAXIMUM_SENDER_CHARACTERS:
        return None
    if envelope.WhichOneof("body") is None:
        return None
    return envelope
