"""Finds batches with items to run of which none is at a worker, and tells why. Pure.

Owns how long that may last unreported. Relies on `attempt_watch` for the engines that may run an
item. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.messages import BatchWaits
from stagewalk.gateway.scoring.core import MayStart

REPORTED_AFTER_SECONDS = 2.0
"""A batch of which nothing runs for this long is reported; starts, moves and retries are faster."""


class BatchWaitWatch:
    """Reports batches that wait, once for each wait.

    Parameters
    ----------
    may_start
        Whether items of a batch may be sent to workers at a given time.
    """

    def __init__(self, watch: AttemptWatch, may_start: MayStart) -> None:
        self._watch = watch
        self._may_start = may_start

    def check(self, runs: Iterable[BatchRun], now: float) -> list[BatchWaits]:
        """Return the batches whose wait is to be reported now."""
        found: list[BatchWaits] = []
        for run in runs:
            waiting = [item for item in run.items.values() if item.waiting]
            if not waiting or any(item.running is not None for item in run.items.values()):
                run.waits_since, run.wait_reported = now, False
            elif not run.wait_reported and now - run.waits_since >= REPORTED_AFTER_SECONDS:
                run.wait_reported = True
                candidates = self._watch.candidates(run.batch, waiting[0], now)
                found.append(
                    BatchWaits(
                        run.name,
                        items=len(waiting),
                        candidates=len(candidates),
                        minimum_version=run.batch.header.minimum_version,
                        may_start=self._may_start(run.name, now),
                        seconds=now - run.waits_since,
                    )
                )
        return found
