"""The callers that this node writes answers to, and what each of them has not read.

Owns the bytes held for each, and has those cut off that are too far behind. Relies on `budget` for
the node's bound and on `reader_choice` for who is cut off.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.gateway.held_memory.budget import MemoryBudget
from stagewalk.gateway.held_memory.reader_choice import (
    READER_SHARE,
    SLOW_READER_SECONDS,
    readers_to_cut,
)


class CutOffReason(StrEnum):
    """Which bound a caller was cut off for."""

    READER_LIMIT = "reader_limit"
    """More was held for it than for any one caller of a stream."""
    NODE_LIMIT = "node_limit"
    """More was held for all callers and workers than the node's memory allows."""


@dataclass(frozen=True, slots=True)
class CutOff:
    """A caller was cut off.

    Attributes
    ----------
    held_bytes
        What it had not read.
    seconds_behind
        Age of the oldest part of that.
    node_held_bytes
        What the node held for all callers and workers, this one among them.
    """

    request_id: str
    reason: CutOffReason
    held_bytes: int
    seconds_behind: float
    resumable: bool
    node_held_bytes: int


@dataclass(slots=True, eq=False)
class ReaderBacklog:
    """One caller with what it has not read.

    Attributes
    ----------
    cut_off
        Ends its answer; called once at most.
    was_cut_off
        Whether that was done: nothing is held for it any more.
    """

    request_id: str
    resumable: bool
    cut_off: Callable[[], None]
    held_bytes: int = 0
    was_cut_off: bool = False
    parts: deque[tuple[float, int]] = field(default_factory=deque)
    """Steady time of arrival and size of each part, oldest first."""

    @property
    def behind_since(self) -> float:
        """Return when the oldest part that it has not read arrived, infinite if there is none."""
        return self.parts[0][0] if self.parts else math.inf


def ignore_cut_off(_cut_off: CutOff) -> None:
    """Do nothing."""


class ResponseReaders:
    """All callers of a node that answers are written to.

    Parameters
    ----------
    on_cut_off
        Called for each caller that is cut off.
    """

    def __init__(
        self, budget: MemoryBudget, on_cut_off: Callable[[CutOff], None] = ignore_cut_off
    ) -> None:
        self._budget = budget
        self._on_cut_off = on_cut_off
        self._reader_limit = int(budget.maximum_bytes * READER_SHARE)
        self._readers: dict[ReaderBacklog, None] = {}

    @property
    def budget(self) -> MemoryBudget:
        """Return the node's budget."""
        return self._budget

    def __len__(self) -> int:
        return len(self._readers)

    def add(self, reader: ReaderBacklog) -> None:
        """Begin to write to a caller."""
        self._readers[reader] = None

    def remove(self, reader: ReaderBacklog) -> None:
        """Give back what is held for a caller, whose answer has ended."""
        self._readers.pop(reader, None)
        self._release_all(reader)

    def buffer_part(self, reader: ReaderBacklog, size: int, now: float) -> None:
        """Hold a part of a stream until its caller has read it, or cut callers off."""
        if reader.was_cut_off:
            return
        missing = self._budget.missing_bytes(size)
        if missing > 0:
            self.make_room(missing, now, 0.0)
        if not reader.was_cut_off and self._budget.missing_bytes(size) > 0:
            self._cut(reader, CutOffReason.NODE_LIMIT, now)
        if reader.was_cut_off:
            return
        self._add(reader, size, now)
        if reader.held_bytes > self._reader_limit:
            self._cut(reader, CutOffReason.READER_LIMIT, now)

    def buffer_answer(self, reader: ReaderBacklog, size: int, now: float) -> None:
        """Hold a whole answer, which is there already, until its caller has read it."""
        missing = self._budget.missing_bytes(size)
        if missing > 0:
            self.make_room(missing, now)
        self._add(reader, size, now)

    def release(self, reader: ReaderBacklog, size: int) -> None:
        """Give back the oldest bytes, which a caller has read."""
        if reader.was_cut_off:
            return
        reader.held_bytes -= size
        self._budget.release_bytes(size)
        while size > 0:
            at, oldest = reader.parts.popleft()
            if oldest > size:
                reader.parts.appendleft((at, oldest - size))
            size -= oldest

    def make_room(
        self, missing_bytes: int, now: float, least_behind_seconds: float = SLOW_READER_SECONDS
    ) -> None:
        """Cut slow callers off until some bytes are free, as far as there are any."""
        for reader in readers_to_cut(self._readers, missing_bytes, now, least_behind_seconds):
            self._cut(reader, CutOffReason.NODE_LIMIT, now)

    def _add(self, reader: ReaderBacklog, size: int, now: float) -> None:
        reader.parts.append((now, size))
        reader.held_bytes += size
        self._budget.add(size)

    def _cut(self, reader: ReaderBacklog, reason: CutOffReason, now: float) -> None:
        cut_off = CutOff(
            request_id=reader.request_id,
            reason=reason,
            held_bytes=reader.held_bytes,
            seconds_behind=max(0.0, now - reader.behind_since),
            resumable=reader.resumable,
            node_held_bytes=self._budget.held_bytes,
        )
        reader.was_cut_off = True
        self._release_all(reader)
        self._on_cut_off(cut_off)
        reader.cut_off()

    def _release_all(self, reader: ReaderBacklog) -> None:
        self._budget.release_bytes(reader.held_bytes)
        reader.held_bytes = 0
        reader.parts.clear()
