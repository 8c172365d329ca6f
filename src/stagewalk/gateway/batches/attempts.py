"""The running attempts at items of this node.

Maps attempt numbers to items. When an attempt ends, its item becomes free for the next one and its
worker's count of requests in the worker table goes down.
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
    """An item with a running attempt, and the run of its batch."""

    run: BatchRun
    item: ItemRun


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended without being stopped here, and the worker that it ran at."""

    run: BatchRun
    item: ItemRun
    worker: str


class RunningAttempts:
    """Running attempts, by number."""

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers
        self._items: dict[int, RunningItem] = {}
        self._by_worker: dict[str, dict[int, RunningItem]] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._items)

    def __iter__(self) -> Iterator[RunningItem]:
        """Iterate over a snapshot of the items with an attempt: attempts may end meanwhile."""
        return iter(list(self._items.values()))

    def get(self, attempt: int) -> RunningItem | None:
        """Return the item of an attempt, None if the attempt has ended."""
        return self._items.get(attempt)

    def at(self, worker: str) -> dict[int, RunningItem]:
        """Return the items with an attempt at a worker, by attempt number in start order."""
        return self._by_worker.get(worker, {})

    def add(self, attempt: int, run: BatchRun, item: ItemRun) -> None:
        """Add an attempt at the worker that its item names."""
        assert item.running is not None
        running = RunningItem(run, item)
        self._items[attempt] = running
        self._by_worker.setdefault(item.running.worker, {})[attempt] = running

    def abandon(self, item: ItemRun, reason: str, now: float) -> StopItem:
        """Stop an item's attempt; the next one begins elsewhere after a delay."""
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
        self._release(item)
        return StopItem(attempt, reason)

    def end(self, attempt: int) -> EndedAttempt | None:
        """Remove an attempt that ended by itself; return None if it was removed before."""
        known = self._items.pop(attempt, None)
        if known is None:
            return None
        return EndedAttempt(known.run, known.item, self._release(known.item).worker)

    @staticmethod
    def retry_later(item: ItemRun, worker: str, now: float) -> None:
        """Delay an item's next attempt, and prefer another worker for it."""
        item.not_before = now + ITEM_RETRY_DELAY_SECONDS
        item.last_worker = worker

    def _release(self, item: ItemRun) -> RunningAttempt:
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
