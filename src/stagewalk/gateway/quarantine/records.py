"""Crash records as published in the log: one keyed record for each crash.

The key prefix `crash-strike/` and the tag `strike` are part of the stored format.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

CRASH_KEY_PREFIX = "crash-strike/"
"""Prefix of the keys of crash records in the log."""

MAXIMUM_CONSECUTIVE_CRASHES = 64
"""Upper bound of the published count; records with a higher one are invalid."""

CrashCount = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_CONSECUTIVE_CRASHES)]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    """Crash of a worker while it ran a request of some content.

    Attributes
    ----------
    content
        Digest of the request's content.
    worker
        Incarnation of the worker that crashed.
    address
        Address where it listened.
    consecutive
        Consecutive crashes including this one: one more than were known when the request was sent.
    at_milliseconds
        When the connection was lost, in Unix time of the node that lost it.
    node, route
        Node that lost the connection, and route of the request.
    """

    content: str
    worker: str
    address: str
    consecutive: CrashCount
    at_milliseconds: int
    node: str
    route: str

    @property
    def key(self) -> str:
        """Return the key of the record. The worker is hashed to bound the key's length."""
        worker = hashlib.blake2b(self.worker.encode(), digest_size=8).hexdigest()
        return f"{CRASH_KEY_PREFIX}{self.content}/{worker}"

    def encode(self) -> bytes:
        """Return the record's value."""
        return msgspec.msgpack.encode(self)


def decode_crash_record(value: bytes) -> CrashRecord | None:
    """Return the crash record encoded in a value, None if it is not a valid one."""
    try:
        return msgspec.msgpack.decode(value, type=CrashRecord)
    except msgspec.DecodeError:
        return None
