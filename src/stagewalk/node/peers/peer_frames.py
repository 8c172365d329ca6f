"""Frames between nodes: a serialised envelope, over TCP behind its length.

Owns the framing and its limits; what is not an envelope of a named sender decodes to None.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from stagewalk.node.wire.envelope_pb2 import Envelope

LENGTH_PREFIX_BYTES = 4
MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
MAXIMUM_SENDER_CHARACTERS = 100
"""Bounds against broken or hostile peers."""


def encode_frame(payload: bytes) -> bytes:
    """Return a payload with its length before it, big-endian."""
    return len(payload).to_bytes(LENGTH_PREFIX_BYTES, "big") + payload


def decode_length(prefix: bytes) -> int | None:
    """Return the length that a prefix announces, or None if no frame may be that long."""
    length = int.from_bytes(prefix, "big")
    return length if length <= MAXIMUM_FRAME_BYTES else None


def decode_envelope(payload: bytes) -> Envelope | None:
    """Return the envelope of a payload, or None if it is not one of a named sender."""
    try:
        envelope = Envelope.FromString(payload)
    except DecodeError:
        return None
    if not 0 < len(envelope.sender) <= MAXIMUM_SENDER_CHARACTERS:
        return None
    if envelope.WhichOneof("body") is None:
        return None
    return envelope
