"""Faults of one link of the forwarder, and what the link has seen.

Owns the faults in force and the counts that tests read to see that a fault struck.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Annotated

import anyio
import msgspec

Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]


class Direction(StrEnum):
    """Way of bytes through a link."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults that a link shows until they are set anew.

    Attributes
    ----------
    delay_seconds
        Every piece of a stream, and every datagram, is passed on this much later.
    cut
        Open connections are reset at once, and new ones as soon as they are made.
    half_closed
        Directions that are ended in order, while the other one goes on.
    black_holes
        Directions in which nothing is passed on: bytes of streams wait until it is lifted, as
        a TCP sender repeats them; datagrams are lost. One direction alone is a one-way fault.
    drop_answers
        A connection is reset when its target answers: the request took effect, and the
        client can't tell.
    loss_fraction, duplicate_fraction
        Of datagrams.
    reorder_fraction
        Of datagrams: they are passed on `reorder_seconds` later than their successors.
    """

    delay_seconds: Seconds = 0.0
    cut: bool = False
    half_closed: tuple[Direction, ...] = ()
    black_holes: tuple[Direction, ...] = ()
    drop_answers: bool = False
    loss_fraction: Fraction = 0.0
    duplicate_fraction: Fraction = 0.0
    reorder_fraction: Fraction = 0.0
    reorder_seconds: Seconds = 0.2


BOTH_WAYS = (Direction.TO_TARGET, Direction.TO_CLIENT)


class LinkCounts(msgspec.Struct):
    """What a link has seen since it was opened.

    Attributes
    ----------
    resets
        Connections that the link reset.
    answers_dropped
        Of those, the ones reset when their target answered.
    pieces_held
        Pieces of streams that waited in a black hole.
    """

    resets: int = 0
    half_closes: int = 0
    answers_dropped: int = 0
    pieces_held: int = 0
    datagrams_lost: int = 0
    datagrams_duplicated: int = 0
    datagrams_reordered: int = 0


class LinkState:
    """Faults in force on a link, read by what carries its bytes.

    Parameters
    ----------
    generator
        Decides which datagrams are lost, doubled or reordered.
    """

    def __init__(self, name: str, generator: random.Random) -> None:
        self.name = name
        self.generator = generator
        self.faults = LinkFaults()
        self.counts = LinkCounts()
        self._changed = anyio.Event()

    def set(self, faults: LinkFaults) -> None:
        """Replace the faults in force at once."""
        self.faults = faults
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Wait until faults are set again."""
        await self._changed.wait()

    async def wait_passable(self, direction: Direction) -> None:
        """Wait for the link's delay, and as long as the direction is a black hole."""
        await anyio.sleep(self.faults.delay_seconds)
        if direction in self.faults.black_holes:
            self.counts.pieces_held += 1
        while direction in self.faults.black_holes:
            await self.wait_changed()
