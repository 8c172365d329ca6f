"""A node's memory budget for data buffered for callers and workers.

Request bodies, answers and stream buffers are counted together, so that many slow peers at once
can't exhaust the node's memory. A reclaimer may be set that frees bytes when the budget is used up.
"""

from __future__ import annotations

from collections.abc import Callable

BUFFER_MEMORY_SHARE = 0.2
"""The budget's share of a node's memory. The process itself needs half of the memory, and a body or
an answer may exist twice while it is copied to a socket."""

MEGABYTE = 1_000_000


class MemoryBudget:
    """Counts the bytes held, up to a maximum."""

    def __init__(self, maximum_bytes: int) -> None:
        self._maximum = maximum_bytes
        self._held = 0
        self._peak = 0
        self._reclaim: Callable[[int], None] = _reclaim_nothing

    @classmethod
    def for_node(cls, memory_megabytes: float) -> MemoryBudget:
        """Return the budget of a node whose process may use the given memory."""
        return cls(int(memory_megabytes * MEGABYTE * BUFFER_MEMORY_SHARE))

    @property
    def maximum_bytes(self) -> int:
        """Return how many bytes may be held."""
        return self._maximum

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held."""
        return self._held

    @property
    def peak_bytes(self) -> int:
        """Return the highest number of bytes held so far."""
        return self._peak

    def set_reclaimer(self, reclaim: Callable[[int], None]) -> None:
        """Set the function that frees bytes for a reservation; it gets the number missing."""
        self._reclaim = reclaim

    def missing_bytes(self, count: int, left_bytes: int = 0) -> int:
        """Return how many bytes are missing to hold `count` more; 0 or less if there are enough.

        Parameters
        ----------
        left_bytes
            Bytes that have to remain free.
        """
        return self._held + count + left_bytes - self._maximum

    def reserve_bytes(self, count: int) -> bool:
        """Hold more bytes, reclaiming some if necessary; return whether there were enough."""
        missing = self.missing_bytes(count)
        if missing > 0:
            self._reclaim(missing)
        if self.missing_bytes(count) > 0:
            return False
        self.add(count)
        return True

    def add(self, count: int) -> None:
        """Hold more bytes, even beyond the maximum."""
        self._held += count
        self._peak = max(self._peak, self._held)

    def release_bytes(self, count: int) -> None:
        """Release some of the held bytes."""
        self._held -= count


def _reclaim_nothing(_missing: int) -> None:
    """Free no bytes."""
