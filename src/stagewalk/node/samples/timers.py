"""Timers of slots on a heap, with lazy cancellation: a timer set before a change is ignored."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum

from stagewalk.node.samples.lots import LotKey


class TimerKind(IntEnum):
    """What is due for a slot."""

    RUN = 0
    """Run the slot again after a failure."""
    SCORE = 1
    """Ask the scorer again."""
    CLAIM = 2
    """Propose the claim again."""
    CLAIM_WAIT = 3
    """Stop waiting for the claim."""


@dataclass(frozen=True, slots=True, order=True)
class Timer:
    """Something due for a slot; out of date if the slot has moved on since `change`."""

    due: float
    sequence: int
    kind: TimerKind = field(compare=False)
    lot: LotKey = field(compare=False)
    index: int = field(compare=False)
    change: int = field(compare=False)


class TimerQueue:
    """Timers in order of their due times, first set first among equals."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = 0

    def set(self, due: float, kind: TimerKind, lot: LotKey, index: int, change: int) -> None:
        """Add a timer. A timer is never removed: its handler checks `change`."""
        self._sequence += 1
        heapq.heappush(self._heap, Timer(due, self._sequence, kind, lot, index, change))

    def pop_due(self, now: float) -> list[Timer]:
        """Remove and return all timers due by `now`."""
        due = []
        while self._heap and self._heap[0].due <= now:
            due.append(heapq.heappop(self._heap))
        return due
