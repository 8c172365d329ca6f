"""What one request holds of the node's budget for its body, from its first byte to its end.

Answers the load of many large bodies at once: they are refused while half of the budget is still
free, so that small requests, answers and streams go on. A refused request was sent to no worker.
Owns the bytes counted for one request. Relies on `budget`.
"""

from __future__ import annotations

from stagewalk.gateway.held_memory.budget import MemoryBudget

LARGE_BODY_BYTES = 65_536
"""Larger bodies count as large: prompts and the calls of trainers are mostly smaller."""

LARGE_BODIES_SHARE = 0.5
"""Share of the budget from which large bodies are refused."""


class BodyReservation:
    """Bytes of one request's body; satisfies `common.http.body_budget.ByteBudget`.

    They are held until the request has ended, not only until the body has arrived: it is kept for
    further attempts, and for a worker that reads it slowly.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held = 0

    def admits(self, announced_bytes: int) -> bool:
        """Whether a body of an announced length would fit now.

        A small one is asked for as it arrives: others may make room for it then.
        """
        return announced_bytes <= LARGE_BODY_BYTES or self._leaves_room(announced_bytes)

    def reserve_bytes(self, count: int) -> bool:
        """Hold more of the body; return whether there were enough bytes."""
        size = self._held + count
        if size <= LARGE_BODY_BYTES:
            taken = self._budget.reserve_bytes(count)
        else:
            taken = self._leaves_room(count)
            if taken:
                self._budget.add(count)
        if taken:
            self._held = size
        return taken

    def release_bytes(self, _count: int) -> None:
        """Do nothing: the body has been handed on, and is held until the request ends."""

    def close(self) -> None:
        """Give back all that the request holds; it has ended."""
        self._budget.release_bytes(self._held)
        self._held = 0

    def _leaves_room(self, count: int) -> bool:
        """Whether so much more of a large body leaves enough for small ones."""
        left = int(self._budget.maximum_bytes * (1.0 - LARGE_BODIES_SHARE))
        return self._budget.missing_bytes(count, left) <= 0
