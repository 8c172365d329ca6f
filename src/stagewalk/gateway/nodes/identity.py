"""Identities of nodes' processes: the node's name and the incarnation.

Owns the text form, which is stored in records, and the identity of this process, which changes
while it runs. `directory.incarnations` decides when.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass

SEPARATOR = "#"
START_DIGITS = 8


@dataclass(frozen=True, slots=True)
class ProcessId:
    """A node's name, and a number that grows with each start of its process."""

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}{SEPARATOR}{self.incarnation}"


def parse_process_id(text: str) -> ProcessId | None:
    """Parse an identity; return None if the text isn't one."""
    node, separator, incarnation = text.rpartition(SEPARATOR)
    if not separator or not incarnation.isdecimal():
        return None
    return ProcessId(node, int(incarnation))


class OwnIdentity:
    """The identity of this process; its text form is the current one.

    Records may name the process by an earlier incarnation, so no part compares text forms or keeps
    one: `names` tells whether a record means this process.

    Parameters
    ----------
    incarnation
        The start's time of day in milliseconds.

    Attributes
    ----------
    start, replaces, refutes
        As in `directory.incarnations.Announced`.
    """

    def __init__(self, node: str, incarnation: int) -> None:
        self.node = node
        self.start = uuid.uuid4().hex[:START_DIGITS]
        self.replaces = ""
        self.refutes = ""
        self._incarnations = [incarnation]

    def __str__(self) -> str:
        return str(ProcessId(self.node, self.incarnation))

    @property
    def incarnation(self) -> int:
        """Return the current incarnation."""
        return self._incarnations[-1]

    @property
    def announced_as(self) -> str:
        """Return the text form under which this process first announced itself.

        Orders bear it as their holder: under one fence the holder stays the same.
        """
        return str(ProcessId(self.node, self._incarnations[0]))

    def names(self, process: str) -> bool:
        """Whether a text form is of this process, by its current or an earlier incarnation."""
        identity = parse_process_id(process)
        return (
            identity is not None
            and identity.node == self.node
            and identity.incarnation in self._incarnations
        )

    def replace(self, incarnation: int, start: str) -> None:
        """Take the place of an earlier process, before this one first announces itself."""
        self.replaces = start
        self._incarnations = [max(self.incarnation, incarnation + 1)]

    def refute(self, incarnation: int, start: str) -> None:
        """Raise the incarnation above that of another process's announcement."""
        self.refutes = start
        self._incarnations.append(max(self.incarnation, incarnation) + 1)
