"""Selects the slow readers to disconnect when the node's memory budget is used up. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

READER_SHARE = 1 / 16
"""Maximum share of the budget for one caller of a stream. It is much more than a whole text, and
keeps a caller that reads nothing from using the memory of the others."""

SLOW_READER_SECONDS = 1.0
"""A caller this far behind may be disconnected to free memory for other requests and answers. A
caller that keeps up is spared: its answer would be lost, while a refused request can be retried."""


class Reader(Protocol):
    """A caller that reads an answer."""

    @property
    def held_bytes(self) -> int:
        """Bytes buffered for it that it has not read."""

    @property
    def behind_since(self) -> float:
        """Steady time at which the oldest of these bytes arrived; infinite if there are none."""

    @property
    def resumable(self) -> bool:
        """Whether it may request the rest of its answer later."""


AnyReader = TypeVar("AnyReader", bound=Reader)


def readers_to_cut(
    readers: Iterable[AnyReader], missing_bytes: int, now: float, least_behind_seconds: float
) -> list[AnyReader]:
    """Return the callers to disconnect to free the missing bytes, or as many as possible.

    Resumable callers are chosen first, and within each group those furthest behind.
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
