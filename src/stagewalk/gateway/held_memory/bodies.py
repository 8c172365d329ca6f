"""Memory reservation for the body of one request.

A large body is refused if more than half of the budget would then be in use, so that many of them
at once don't block small requests, answers and streams. A refused request has not been sent to any
worker.
"""

from __future__ import annotations

from stagewalk.gateway.held_memory.budget import MemoryBudget

LARGE_BODY_BYTES = 65_536
"""Bodies above this size are large; prompts and calls of trainers are mostly smaller."""

LARGE_BODIES_SHARE = 0.5
"""A large body is refused if more than this share of the budget would then be in use."""


class BodyReservation:
    """Bytes reserved for one request's body; satisfies `common.http.body_budget.ByteBudget`.

    They stay reserved until the request has ended, since the body is kept for further attempts and
    for workers that read it slowly.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held = 0

    def admits(self, announced_bytes: int) -> bool:
        """Whether a body of an announced length may be received.

        Small bodies are always admitted: memory for them is reserved, and reclaimed if necessary,
        as they arrive.
        """
        return announced_bytes <= LARGE_BODY_BYTES or self._leaves_room(announced_bytes)

    def reserve_bytes(self, count: int) -> bool:
        """Reserve memory for more of the body; return whether there was enough."""
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
        """Do nothing: the bytes stay reserved until the request ends."""

    def close(self) -> None:
        """Release all bytes of the request, which has ended."""
        self._budget.release_bytes(self._held)
        self._held = 0

    def _leaves_room(self, count: int) -> bool:
        """Whether enough of the budget would be left after reserving more for a large body."""
        left = int(self._budget.maximum_bytes * (1.0 - LARGE_BODIES_SHARE))
        return self._budget.missing_bytes(count, left) <= 0
