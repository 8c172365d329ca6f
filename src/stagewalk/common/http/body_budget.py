"""Memory budget for request bodies that are being received, shared by all exchanges."""

from __future__ import annotations

from typing import Protocol


class ByteBudget(Protocol):
    """Budget in which an exchange reserves the bytes of its body."""

    def admits(self, announced_bytes: int) -> bool:
        """Return whether a body of an announced length would fit now."""

    def reserve_bytes(self, count: int) -> bool:
        """Reserve bytes; return whether there were enough."""

    def release_bytes(self, count: int) -> None:
        """Release bytes of a body that was passed on or discarded."""


class BodyBudget:
    """Counts bytes in use against a maximum, so that many uploads can't exhaust the memory."""

    def __init__(self, maximum_bytes: int) -> None:
        self._free_bytes = maximum_bytes

    def admits(self, _announced_bytes: int) -> bool:
        """Return true: a body is refused only if the budget is exhausted while it arrives."""
        return True

    def reserve_bytes(self, count: int) -> bool:
        """Reserve bytes; return whether there were enough."""
        if count > self._free_bytes:
            return False
        self._free_bytes -= count
        return True

    def release_bytes(self, count: int) -> None:
        """Release reserved bytes."""
        self._free_bytes += count
