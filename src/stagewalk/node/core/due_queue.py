"""A queue of items by due time, with lazy cancellation, for the timers of the cores.

Owns the heap. A cancelled item stays in it until it is due, and its handler ignores it then;
`compact` removes such items earlier.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class DueQueue(Generic[Item]):
    """Items ordered by due time; items due at the same time keep insertion order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, item: Item) -> None:
        """Add an item that is due at a time, in seconds of the node's clock."""
        self._number += 1
        heapq.heappush(self._heap, (due, self._number, item))

    def pop_due(self, now: float) -> list[Item]:
        """Remove and return all items due by `now`."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

    def compact(self, keep: Callable[[Item], bool]) -> None:
        """Drop the items for which `keep` is false."""
        self._heap = [entry for entry in self._heap if keep(entry[2])]
        heapq.heapify(self._heap)
