"""The attempts at items that are under way on this node.

Owns which item each attempt number belongs to, and how an attempt ends on this side: its item is
free for the next one, and its worker has a request less. Relies on the worker table for the load.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun, RunningAttempt
from stagewalk.gateway.batches.messages import StopItem
from stagewalk.gateway.batches.retry_rules import ITEM_RETRY_DELAY_SECONDS
from stagewalk.gateway.workers.table import WorkerTable


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item with an attempt under way, and the run of its batch."""

    run: BatchRun
    item: ItemRun


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended by itself, and the worker that it ran at."""

    run: BatchRun
    item: ItemRun
    worker: str


class RunningAttempts:
    """Attempts under way, by number."""

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers
        self._items: dict[int, RunningItem] = {}
        self._by_worker: dict[str, dict[int, RunningItem]] = {}

    def __len__(self) -> int:
        """Return the number of attempts under way."""
        return len(self._items)

    def __iter__(self) -> Iterator[RunningItem]:
        """Return the items with an attempt as they are now: attempts may end meanwhile."""
        return iter(list(self._items.values()))

    def get(self, attempt: int) -> RunningItem | None:
        """Return the item of an attempt, None if the attempt is over."""
        return self._items.get(attempt)

    def at(self, worker: str) -> dict[int, RunningItem]:
        """Return the items with an attempt at a worker, by number in the order of their starts."""
        return self._by_worker.get(worker, {})

    def add(self, attempt: int, run: BatchRun, item: ItemRun) -> None:
        """Add an attempt that begins at the worker that its item names."""
        assert item.running is not None
        running = RunningItem(run, item)
        self._items[attempt] = running
        self._by_worker.setdefault(item.running.worker, {})[attempt] = running

    def leave(self, item: ItemRun, reason: str, now: float) -> StopItem:
        """Stop an item's attempt; the next one begins elsewhere after a pause."""
        assert item.running is not None
        worker = item.running.worker
        stop = self.stop(item, reason)
        self.retry_later(item, worker, now)
        return stop

    def stop(self, item: ItemRun, reason: str) -> StopItem:
        """Stop an item's attempt."""
        assert item.running is not None
        attempt = item.running.attempt
        self._items.pop(attempt, None)
        self._free(item)
        return StopItem(attempt, reason)

    def end(self, attempt: int) -> EndedAttempt | None:
        """Remove an attempt that ended by itself; None if it was over before."""
        known = self._items.pop(attempt, None)
        if known is None:
            return None
        return EndedAttempt(known.run, known.item, self._free(known.item).worker)

    @staticmethod
    def retry_later(item: ItemRun, worker: str, now: float) -> None:
        """Let an item wait before its next attempt, at another worker than this one if it can."""
        item.not_before = now + ITEM_RETRY_DELAY_SECONDS
        item.last_worker = worker

    def _free(self, item: ItemRun) -> RunningAttempt:
        attempt = item.running
        assert attempt is not None
        item.running = None
        at_worker = self._by_worker.get(attempt.worker, {})
        at_worker.pop(attempt.attempt, None)
        if not at_worker:
            self._by_worker.pop(attempt.worker, None)
        worker = self._workers.worker(attempt.worker)
        if worker is not None:
            worker.record_ended()
        return attempt
