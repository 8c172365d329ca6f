"""Records that nodes publish of requests that may crash workers: one keyed record a crash.

Owns their keys and their form. The log keeps them, so the words in them (`crash-strike/`, `strike`)
stay as they are.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

CRASH_KEY_PREFIX = "crash-strike/"
"""Prefix of the keys of crash records among the records that all nodes follow."""

MAXIMUM_CONSECUTIVE_CRASHES = 64
"""No node publishes more, so a record that claims more was not written by this product."""

CrashCount = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_CONSECUTIVE_CRASHES)]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    """A worker's process ended while it ran a request of some content.

    Attributes
    ----------
    content
        Digest of the request's content.
    worker
        Identity of the start of the worker that ended.
    address
        Where it listened.
    consecutive
        Consecutive crashes with this one: one more than its sender knew of as it sent the request.
    at_milliseconds
        When it ended, in Unix time of the node that lost it.
    node, route
        Node that lost it, and route of the request.
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
        """Return the key of its record, of a bounded length whatever the worker is called."""
        worker = hashlib.blake2b(self.worker.encode(), digest_size=8).hexdigest()
        return f"{CRASH_KEY_PREFIX}{self.content}/{worker}"

    def encode(self) -> bytes:
        """Return the record's value."""
        return msgspec.msgpack.encode(self)


def decode_crash_record(value: bytes) -> CrashRecord | None:
    """Return the crash record in a value, None if it holds none."""
    try:
        return msgspec.msgpack.decode(value, type=CrashRecord)
    except msgspec.DecodeError:
        return None
