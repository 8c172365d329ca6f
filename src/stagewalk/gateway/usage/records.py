"""Records of usage in the log, and the counts of a report as they are stored.

Owns both stored forms, which stay readable by later releases; relies on `msgspec`.
"""

from __future__ import annotations

import msgspec


class UsageCounted(msgspec.Struct, frozen=True, array_like=True, tag="counted"):
    """What began to run at a process in a window, so far, by tenant."""

    process: str
    window: int
    counts: dict[str, int]

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


_DECODER = msgspec.msgpack.Decoder(UsageCounted)
_COUNTS = msgspec.msgpack.Decoder(dict[str, int])


def decode_usage(payload: bytes) -> UsageCounted | None:
    """Return a payload's record, None if it is none."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None


def encode_counts(counts: dict[str, int]) -> bytes:
    """Return the counts of a report in their stored form."""
    return msgspec.msgpack.encode(dict(sorted(counts.items())))


def decode_counts(content: bytes) -> dict[str, int] | None:
    """Return stored counts, None if the bytes hold none."""
    try:
        return _COUNTS.decode(content)
    except msgspec.DecodeError:
        return None
