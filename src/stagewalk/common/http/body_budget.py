"""A budget of bytes for bodies that are still arriving, shared by all exchanges of a process."""

from __future__ import annotations

from typing import Protocol


class ByteBudget(Protocol):
    """What an exchange asks before it keeps more of its body."""

    def admits(self, announced_bytes: int) -> bool:
        """Whether a body of an announced length would fit now."""

    def reserve_bytes(self, count: int) -> bool:
        """Use bytes of the budget; return whether there were enough."""

    def release_bytes(self, count: int) -> None:
        """Return bytes to the budget: the body was handed on, or dropped."""


class BodyBudget:
    """Counts bytes in use against a maximum, so that many uploads can't exhaust the memory."""

    def __init__(self, maximum_bytes: int) -> None:
        self._free_bytes = maximum_bytes

    def admits(self, _announced_bytes: int) -> bool:
        """Return true: a body is refused once it finds too few bytes as it arrives."""
        return True

    def reserve_bytes(self, count: int) -> bool:
        """Use bytes of the budget; return whether there were enough."""
        if count > self._free_bytes:
            return False
        self._free_bytes -= count
        return True

    def release_bytes(self, count: int) -> None:
        """Return bytes to the budget."""
        self._free_bytes += count
