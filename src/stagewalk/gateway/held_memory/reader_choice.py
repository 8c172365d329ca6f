"""Decides which callers are cut off so that what is held for slow ones fits the node's memory.

Answers the load of many callers that read slower than workers write. Pure: what each caller has not
read, since when, and whether it may resume, are arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

READER_SHARE = 1 / 16
"""Most of the budget that is held for one caller of a stream: a whole text is a small part of it,
and one caller that reads nothing can't push out the others."""

SLOW_READER_SECONDS = 1.0
"""A caller that is this far behind makes room for requests and answers of others; the answer to one
that keeps up is on its way, and would be lost for a request that may as well come back."""


class Reader(Protocol):
    """A caller that an answer is written to."""

    @property
    def held_bytes(self) -> int:
        """Bytes that it has not read."""

    @property
    def behind_since(self) -> float:
        """Steady time at which the oldest of them arrived; infinite if there are none."""

    @property
    def resumable(self) -> bool:
        """Whether it may ask for the rest of its answer."""


AnyReader = TypeVar("AnyReader", bound=Reader)


def readers_to_cut(
    readers: Iterable[AnyReader], missing_bytes: int, now: float, least_behind_seconds: float
) -> list[AnyReader]:
    """Return the callers to cut off so that some bytes are free, as far as there are any.

    Those that may resume go first, and of each kind those furthest behind.
    """
    behind = [
        reader
        for reader in readers
        if reader.held_bytes > 0 and now - reader.behind_since >= least_behind_seconds
    ]
    behind.sort(key=lambda reader: (not reader.resumable, reader.behind_since))
    chosen: list[AnyReader] = []
    for reader in behind:
        if missing_bytes <= 0:
            break
        chosen.append(reader)
        missing_bytes -= reader.held_bytes
    return chosen
