"""Callers that this node writes answers to, and the data buffered for each of them.

Callers that are too far behind are disconnected ("cut off"): at the limit for one caller, or when
the node's budget is used up, in the order given by `reader_choice`.
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
    """The limit that caused a caller to be cut off."""

    READER_LIMIT = "reader_limit"
    """The data buffered for it exceeded the limit for one caller of a stream."""
    NODE_LIMIT = "node_limit"
    """The data held for all callers and workers reached the node's budget."""


@dataclass(frozen=True, slots=True)
class CutOff:
    """Record of a caller that was cut off.

    Attributes
    ----------
    held_bytes
        Data that it had not read.
    seconds_behind
        Age of the oldest of these data.
    node_held_bytes
        Data held by the node for all callers and workers, including this one.
    """

    request_id: str
    reason: CutOffReason
    held_bytes: int
    seconds_behind: float
    resumable: bool
    node_held_bytes: int


@dataclass(slots=True, eq=False)
class ReaderBacklog:
    """A caller and the data it has not read.

    Attributes
    ----------
    cut_off
        Aborts its answer; called at most once.
    was_cut_off
        Whether it was cut off; nothing is held for it from then on.
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
        """Return when the oldest unread part arrived, infinite if there is none."""
        return self.parts[0][0] if self.parts else math.inf


def ignore_cut_off(_cut_off: CutOff) -> None:
    """Do nothing."""


class ResponseReaders:
    """All callers that a node writes answers to.

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
        """Add a caller whose answer begins."""
        self._readers[reader] = None

    def remove(self, reader: ReaderBacklog) -> None:
        """Remove a caller whose answer has ended, and release its data."""
        self._readers.pop(reader, None)
        self._release_all(reader)

    def buffer_part(self, reader: ReaderBacklog, size: int, now: float) -> None:
        """Buffer a part of a stream until its caller has read it; cut callers off if necessary."""
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
        """Buffer a complete answer until its caller has read it, whatever its size."""
        missing = self._budget.missing_bytes(size)
        if missing > 0:
            self.make_room(missing, now)
        self._add(reader, size, now)

    def release(self, reader: ReaderBacklog, size: int) -> None:
        """Release the oldest bytes of a caller, which it has read."""
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
        """Cut off slow callers to free the missing bytes, or as many as possible."""
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
