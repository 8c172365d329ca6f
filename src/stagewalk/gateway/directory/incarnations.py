"""Order of the processes that bear one node's name. Pure.

Owns which of two announcements of a name is in force, and what a process does that reads an
announcement of its own name which it did not make. An incarnation is taken from the time of day,
and a record may be written or read late, so a dead process's announcement may look like the later
one. A live process then raises its own incarnation above it, as in SWIM (Das et al. 2002).
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol


class Announced(Protocol):
    """What an announcement tells about the process that made it."""

    @property
    def incarnation(self) -> int:
        """Grows with each start of a process of the name, and when a process raises it."""

    @property
    def beat(self) -> int:
        """Grows with each announcement of the process."""

    @property
    def start(self) -> str:
        """Random identifier of the process; empty if an earlier build made the announcement."""

    @property
    def replaces(self) -> str:
        """`start` of the process whose announcement this one read before its first; or empty."""

    @property
    def refutes(self) -> str:
        """`start` of the process above which this one last raised its incarnation; or empty."""


class OwnNameVerdict(Enum):
    """What a process does after reading an announcement of its own name."""

    IGNORE = auto()
    """It made the announcement itself, or all nodes prefer its own one."""
    RAISE = auto()
    """It raises its incarnation above the announced one, and announces itself."""
    STOP = auto()
    """Another process of its name runs, and goes on in its place."""


def supersedes(announced: Announced, known: Announced, *, known_alive: bool) -> bool:
    """Whether an announcement takes the place of the known one of the same name.

    Among the announcements of one process the latest counts. Another process takes the place of one
    that is alive only if it replaces or refutes it: otherwise it is an earlier one whose
    announcement is late. It takes the place of a dead one whatever its incarnation: its clock may
    be behind, and it can't raise its incarnation above what it doesn't read. Among builds without
    `start` the greater incarnation counts at once.
    """
    if announced.start == known.start:
        later = announced.incarnation, announced.beat
        return later > (known.incarnation, known.beat) or _is_behind(announced, known, known_alive)
    if not known_alive:
        return True
    if not announced.start or not known.start:
        return announced.incarnation > known.incarnation
    return known.start in (announced.replaces, announced.refutes)


def _is_behind(announced: Announced, known: Announced, known_alive: bool) -> bool:
    """Whether a process without `start` may have started after a dead one with a greater clock."""
    return not announced.start and not known_alive and announced.incarnation < known.incarnation


def is_outdated(incarnation: int, known: Announced) -> bool:
    """Whether a later incarnation than the given one is known."""
    return known.incarnation > incarnation


def judge_own_name(own: Announced, announced: Announced) -> OwnNameVerdict:
    """Return what a process does after reading an announcement of its own name.

    A dead process's announcement never refers to a process that started after it. So another
    process that replaces or refutes this one runs beside it. The one that started later goes on;
    if neither had read the other's announcement when it started, the one with the greater `start`.

    Parameters
    ----------
    own
        The current announcement of the process that judges.
    """
    if announced.start == own.start:
        return OwnNameVerdict.IGNORE
    if announced.replaces == own.start:
        return OwnNameVerdict.STOP
    if announced.refutes == own.start and announced.start > own.start:
        return OwnNameVerdict.STOP
    if announced.incarnation >= own.incarnation:
        return OwnNameVerdict.RAISE
    return OwnNameVerdict.IGNORE
