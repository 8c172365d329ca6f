"""Identity of one start of a node: its name and incarnation.

Owns the text form, which is stored in records.
"""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "#"


@dataclass(slots=True)
class ProcessId:
    """A node's name and the number of this start, which grows with each start.

    `incarnation` may be raised until the node has first announced itself.
    """

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}{SEPARATOR}{self.incarnation}"


def parse_process_id(text: str) -> ProcessId | None:
    """Return the identity a text spells, None if it spells none."""
    node, separator, incarnation = text.rpartition(SEPARATOR)
    if not separator or not incarnation.isdecimal():
        return None
    return ProcessId(node, int(incarnation))
