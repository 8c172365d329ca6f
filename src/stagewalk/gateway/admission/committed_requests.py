"""Committed requests in the queue, by the times that bound their wait. Pure.

Owns when a committed request becomes overdue, and when it starts beyond the limit. Entries of
requests that have started or left the queue stay until their time; the caller skips them. Times are
in seconds of the steady clock.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from stagewalk.gateway.admission.fair_queue import QueueEntry


class CommittedRequests:
    """Committed requests in the order of their times."""

    def __init__(self) -> None:
        self._latest_starts = _TimedRequests()
        self._beyond_limit = _TimedRequests()

    def add(
        self, waiting: QueueEntry, *, start_for_target_by: float, start_beyond_limit_at: float
    ) -> None:
        """Add a request that was committed, or queued again.

        Parameters
        ----------
        start_for_target_by
            Latest start at which it can be answered within its target.
        start_beyond_limit_at
            When it starts whatever the limit.
        """
        waiting.start_beyond_limit_at = start_beyond_limit_at
        self._latest_starts.add(waiting, start_for_target_by)
        self._beyond_limit.add(waiting, start_beyond_limit_at)

    def clear(self) -> None:
        """Forget all requests; called while the queue is empty."""
        self._latest_starts.clear()
        self._beyond_limit.clear()

    def take_overdue(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests whose latest start for their target has passed."""
        return self._latest_starts.take_until(now)

    def take_beyond_limit(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests that start now whatever the limit."""
        return self._beyond_limit.take_until(now)


class _TimedRequests:
    """Queued requests by a time, earliest first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueueEntry]] = []
        self._sequence = count()

    def add(self, waiting: QueueEntry, at: float) -> None:
        heappush(self._heap, (at, next(self._sequence), waiting))

    def clear(self) -> None:
        self._heap.clear()

    def take_until(self, now: float) -> list[QueueEntry]:
        taken: list[QueueEntry] = []
        while self._heap and self._heap[0][0] <= now:
            waiting = heappop(self._heap)[2]
            if not waiting.started:
                taken.append(waiting)
        return taken
