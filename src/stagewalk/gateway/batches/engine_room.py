"""Whether an engine's memory has room for an item. Pure.

Owns the interface between placement and what is known of engines' memory.
"""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.workers.worker import Worker


class EngineRoom(Protocol):
    """Knows how much of the engines' memory is taken."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Whether an engine is expected to run an item without stopping it or another one."""


class UnknownRoom:
    """Nothing is known of any engine's memory: its slots alone are its room."""

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Return that it fits."""
        return True
