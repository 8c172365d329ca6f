"""Serialization of usage records in the log and of the counts of stored reports.

Both formats have to stay readable by later releases.
"""

from __future__ import annotations

import msgspec


class UsageCounted(msgspec.Struct, frozen=True, array_like=True, tag="counted"):
    """Cumulative counts by tenant of the requests started by a process in a window."""

    process: str
    window: int
    counts: dict[str, int]

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


_DECODER = msgspec.msgpack.Decoder(UsageCounted)
_COUNTS = msgspec.msgpack.Decoder(dict[str, int])


def decode_usage(payload: bytes) -> UsageCounted | None:
    """Return the record of a payload, None if it is not a usage record."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None


def encode_counts(counts: dict[str, int]) -> bytes:
    """Return the counts of a report in the stored format."""
    return msgspec.msgpack.encode(dict(sorted(counts.items())))


def decode_counts(content: bytes) -> dict[str, int] | None:
    """Return the stored counts, None if `content` can't be decoded."""
    try:
        return _COUNTS.decode(content)
    except msgspec.DecodeError:
        return None
