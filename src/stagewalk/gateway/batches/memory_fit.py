"""The interface between placement and the estimate of engines' memory. Pure."""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.workers.worker import Worker


class RoomSearch(Protocol):
    """A search for an engine for one waiting item."""

    def fits(self, engine: Worker) -> bool:
        """Whether an engine that could otherwise take the item has memory for it."""

    @property
    def blocked(self) -> bool:
        """Whether no engine could take any item, so that similar items need not be tried now."""

    def last_resort(self) -> Worker | None:
        """Return the engine to use although none had room; None if the item is to wait."""


class EngineRoom(Protocol):
    """An estimate of the free memory of engines."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Whether an engine is expected to run an item without preempting any run."""

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Begin a search for a waiting item."""


class UnknownRoom:
    """Treats every engine as having enough memory; only its slots limit it."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Return True."""
        return True

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Return a search that finds room at any engine."""
        return _AnyRoom()


class _AnyRoom:
    def fits(self, engine: Worker) -> bool:
        return True

    @property
    def blocked(self) -> bool:
        return False

    def last_resort(self) -> Worker | None:
        return None
