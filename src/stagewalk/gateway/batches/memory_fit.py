"""Which engines have room in their memory for an item. Pure.

Owns the interface between placement and what is known of engines' memory.
"""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.workers.worker import Worker


class RoomSearch(Protocol):
    """A search for an engine for a waiting item."""

    def fits(self, engine: Worker) -> bool:
        """Whether an engine, which could take the item otherwise, has memory for it."""

    @property
    def closed(self) -> bool:
        """Whether no engine could take any item: others alike need not be tried now."""

    def last_resort(self) -> Worker | None:
        """Return where the item goes although no engine asked for had room; None: it waits."""


class EngineRoom(Protocol):
    """Knows how much of the engines' memory is taken."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Whether an engine is expected to run an item without stopping it or another one."""

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Begin a search for a waiting item."""


class UnknownRoom:
    """Nothing is known of any engine's memory: its slots alone are its room."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Return that it fits."""
        return True

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Return a search that finds room anywhere."""
        return _AnyRoom()


class _AnyRoom:
    def fits(self, engine: Worker) -> bool:
        return True

    @property
    def closed(self) -> bool:
        return False

    def last_resort(self) -> Worker | None:
        return None
