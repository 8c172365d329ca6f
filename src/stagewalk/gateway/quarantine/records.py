"""What nodes tell each other of requests that may crash workers: one keyed record a strike."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

KEY_PREFIX = "crash-strike/"
"""Of the keys of strikes among the records that all nodes follow."""

HIGHEST_LEVEL = 64
"""More in a row are told by no node, so a record that claims more is none of this product's."""

Level = Annotated[int, msgspec.Meta(ge=1, le=HIGHEST_LEVEL)]


class CrashStrike(msgspec.Struct, frozen=True, array_like=True, tag="strike"):
    """A worker's process ended while it ran a request of some content.

    Attributes
    ----------
    content
        Digest of the request's content.
    worker
        Identity of the start of the worker that ended.
    address
        Where it listened.
    level
        How many ends in a row this makes: one more than its sender knew of as it sent the request.
    at_milliseconds
        When it ended, in Unix time of the node that lost it.
    node, route
        Who lost it, and which route the request took.
    """

    content: str
    worker: str
    address: str
    level: Level
    at_milliseconds: int
    node: str
    route: str

    @property
    def key(self) -> str:
        """Return the key of its record, of a bounded length whatever the worker is called."""
        worker = hashlib.blake2b(self.worker.encode(), digest_size=8).hexdigest()
        return f"{KEY_PREFIX}{self.content}/{worker}"

    def encode(self) -> bytes:
        """Return the record's value."""
        return msgspec.msgpack.encode(self)


def decode_strike(value: bytes) -> CrashStrike | None:
    """Return a value's strike, None if it is none."""
    try:
        return msgspec.msgpack.decode(value, type=CrashStrike)
    except msgspec.DecodeError:
        return None
