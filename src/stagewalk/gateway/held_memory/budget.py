"""A node's budget of bytes held for callers and workers.

Answers the load of many peers that send or read slowly at once: bodies of requests, answers of
workers and buffers of streams are counted together, so that their sum can't exhaust the memory.
Owns the count and its maximum. Relies on whoever can give bytes back being set as the reclaimer.
"""

from __future__ import annotations

from collections.abc import Callable

BUFFER_MEMORY_SHARE = 0.2
"""Share of a node's memory: a body or an answer may for a moment be there twice, as it is copied to
a socket, and the process itself needs half."""

MEGABYTE = 1_000_000


class MemoryBudget:
    """Counts bytes held against a maximum."""

    def __init__(self, maximum_bytes: int) -> None:
        self._maximum = maximum_bytes
        self._held = 0
        self._peak = 0
        self._reclaim: Callable[[int], None] = _reclaim_nothing

    @classmethod
    def for_node(cls, memory_megabytes: float) -> MemoryBudget:
        """Return the budget of a node whose process may use so much memory."""
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
        """Return the most bytes that were held at any time."""
        return self._peak

    def set_reclaimer(self, reclaim: Callable[[int], None]) -> None:
        """Set what gives bytes back when a taker finds too few; it is told how many are missing."""
        self._reclaim = reclaim

    def missing_bytes(self, count: int, left_bytes: int = 0) -> int:
        """Return how many bytes too few there are to hold some more; 0 or less: enough.

        Parameters
        ----------
        left_bytes
            How many are to be left for others.
        """
        return self._held + count + left_bytes - self._maximum

    def reserve_bytes(self, count: int) -> bool:
        """Hold some more bytes; return whether there were enough, or others made room."""
        missing = self.missing_bytes(count)
        if missing > 0:
            self._reclaim(missing)
        if self.missing_bytes(count) > 0:
            return False
        self.add(count)
        return True

    def add(self, count: int) -> None:
        """Hold some more bytes, however many there are."""
        self._held += count
        self._peak = max(self._peak, self._held)

    def release_bytes(self, count: int) -> None:
        """Hold fewer bytes."""
        self._held -= count


def _reclaim_nothing(_missing: int) -> None:
    """Give nothing back."""
