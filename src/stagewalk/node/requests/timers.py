"""Timers of requests on a heap: nothing is done for a request until its time comes.

A timer is never removed; the book ignores one whose record has ended.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from stagewalk.common.identities import AttemptId, RequestKey

COMPACT_ABOVE = 1024
"""Timers kept whatever they are for, besides eight for each live request. Chosen, not measured."""


class TimerKind(IntEnum):
    """What is due."""

    DEADLINE = 0
    SHED = 1
    ROUTE = 2
    HEDGE = 3
    STALL = 4
    FETCH = 5


@dataclass(frozen=True, slots=True, order=True)
class Timer:
    """Something due at a time; `serial` tells a request from an earlier one of the same key."""

    at: float
    number: int
    kind: TimerKind
    key: RequestKey
    serial: int
    attempt: AttemptId | None = None


class TimerQueue:
    """Timers in order of time; those of ended requests are dropped when they come up."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(
        self,
        at: float,
        kind: TimerKind,
        key: RequestKey,
        serial: int,
        attempt: AttemptId | None = None,
    ) -> None:
        """Set a timer."""
        self._number += 1
        heapq.heappush(self._heap, Timer(at, self._number, kind, key, serial, attempt))

    def due(self, now: float) -> list[Timer]:
        """Remove and return the timers whose time has come."""
        due = []
        while self._heap and self._heap[0].at <= now:
            due.append(heapq.heappop(self._heap))
        return due

    def compact(self, live: Callable[[Timer], bool], live_count: int) -> None:
        """Drop timers of ended requests when they are most of the heap."""
        if len(self._heap) <= COMPACT_ABOVE + 8 * live_count:
            return
        self._heap = [timer for timer in self._heap if live(timer)]
        heapq.heapify(self._heap)
