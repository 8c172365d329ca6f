"""A budget of bytes for bodies that are still arriving, shared by all exchanges of a process."""

from __future__ import annotations


class BodyBudget:
    """Counts bytes in use against a maximum, so that many uploads can't exhaust the memory."""

    def __init__(self, maximum_bytes: int) -> None:
        self._free_bytes = maximum_bytes

    def take(self, count: int) -> bool:
        """Use bytes of the budget; return whether there were enough."""
        if count > self._free_bytes:
            return False
        self._free_bytes -= count
        return True

    def give_back(self, count: int) -> None:
        """Return bytes to the budget."""
        self._free_bytes += count
