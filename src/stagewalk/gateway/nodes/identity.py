"""Identity of a node's process: the node's name and the incarnation.

Owns the text form, which is stored in records.
"""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "#"


@dataclass(slots=True)
class ProcessId:
    """A node's name, and a number that grows with each start of its process.

    `incarnation` may be raised until the node has first announced itself: after a jump of the
    machine's clock, an earlier process may have had a larger one. So no part keeps a copy, or the
    text form, from before that.
    """

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
