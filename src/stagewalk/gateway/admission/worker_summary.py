"""Summary of a service's workers for admission: how many there are, and their spare places. Pure.

Owns how long a summary is reused, since summing over all workers for each request is slow. Updates
the slots of the concurrency limit.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from stagewalk.gateway.admission.limit import ConcurrencyLimit
from stagewalk.gateway.workers.worker import Worker

LOAD_REPORT_VALID_SECONDS = 0.5
"""How long a load report is taken as proof that a worker has spare capacity."""

SPARE_OCCUPANCY = 0.5
"""A worker with fewer requests per slot than this gets another one regardless of the limit, so that
a limit that is too low doesn't leave workers idle."""

WORKER_SUMMARY_VALID_SECONDS = 0.02
"""How long a summary of the service's workers is reused."""


class WorkerSummary:
    """Number of a service's workers, and the places that their load reports show as spare.

    Parameters
    ----------
    workers
        Returns the service's workers that may get new requests.
    limit
        The limit whose slots are those of the workers.
    """

    def __init__(self, workers: Callable[[], Sequence[Worker]], limit: ConcurrencyLimit) -> None:
        self._workers = workers
        self._limit = limit
        self._updated_at = -math.inf
        self._count = 0
        self._spare_places = 0

    def update(self, now: float) -> None:
        """Summarize the workers again if the summary is too old."""
        if now - self._updated_at < WORKER_SUMMARY_VALID_SECONDS:
            return
        workers = self._workers()
        self._updated_at = now
        self._count = len(workers)
        self._spare_places = sum(_spare_places(worker, now) for worker in workers)
        self._limit.set_slots(sum(worker.announcement.slots for worker in workers))

    def any(self, now: float) -> bool:
        """Whether the service has a worker."""
        self.update(now)
        return self._count > 0

    def take_spare_place(self) -> bool:
        """Take a spare place; return whether there was one."""
        if self._spare_places <= 0:
            return False
        self._spare_places -= 1
        return True


def _spare_places(worker: Worker, now: float) -> int:
    """Return how many more requests a worker can take, by a recent load report."""
    if worker.load is None or now - worker.load_at > LOAD_REPORT_VALID_SECONDS:
        return 0
    slots = max(1, worker.announcement.slots)
    return max(0, math.ceil((SPARE_OCCUPANCY - worker.occupancy(now)) * slots))
