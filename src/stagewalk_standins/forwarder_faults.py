"""Fault settings and counters of a forwarder link.

Tests read the counters to verify that a fault took effect.
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
    """Direction of traffic through a link."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults injected into a link.

    Attributes
    ----------
    delay_seconds
        Delay of every stream chunk and datagram.
    cut
        Open connections are reset at once, new ones when they are accepted.
    half_closed
        Directions closed with an end of file while the other one stays open.
    black_holes
        Directions in which nothing is forwarded: stream bytes wait until the fault is removed, as
        TCP retransmits them, and datagrams are lost.
    drop_answers
        A connection is reset when its target answers, so that the client can't tell whether
        the request took effect.
    loss_fraction, duplicate_fraction
        Fractions of datagrams that are lost and duplicated.
    reorder_fraction
        Fraction of datagrams delayed by a further `reorder_seconds`.
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
    """Counters of a link since it was opened.

    Attributes
    ----------
    resets
        Connections that the link reset.
    answers_dropped
        Resets caused by `drop_answers`.
    pieces_held
        Stream chunks delayed by a black hole.
    """

    resets: int = 0
    half_closes: int = 0
    answers_dropped: int = 0
    pieces_held: int = 0
    datagrams_lost: int = 0
    datagrams_duplicated: int = 0
    datagrams_reordered: int = 0


class LinkState:
    """Current faults and counters of a link.

    Parameters
    ----------
    generator
        Source of randomness for lost, duplicated and reordered datagrams.
    """

    def __init__(self, name: str, generator: random.Random) -> None:
        self.name = name
        self.generator = generator
        self.faults = LinkFaults()
        self.counts = LinkCounts()
        self._changed = anyio.Event()

    def set(self, faults: LinkFaults) -> None:
        """Replace the faults, effective immediately."""
        self.faults = faults
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Wait until faults are set again."""
        await self._changed.wait()

    async def wait_passable(self, direction: Direction) -> None:
        """Wait for the link's delay and until the direction is no black hole."""
        await anyio.sleep(self.faults.delay_seconds)
        if direction in self.faults.black_holes:
            self.counts.pieces_held += 1
        while direction in self.faults.black_holes:
            await self.wait_changed()
