"""Runs the batches whose runner is this process: opens, closes and releases them.

Owns which batches run here. Relies on the batch store and on partial views for the changes in the
log, on the scheduler for what to do next for each batch, and on `scheduler_loop` to carry that out.
"""

from __future__ import annotations

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.ledger import LedgerChange
from stagewalk.gateway.batches.records import BatchReleased
from stagewalk.gateway.batches.reusable_texts import ReusableTextLookup
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.runners.scheduler_loop import SchedulerLoop
from stagewalk.gateway.version_rollouts.core import VersionRollouts

LOOK_UP_RETRY_SECONDS = 0.1
"""Delay between lookups of a batch's index entry while the log does not answer."""

ENDED = "ended"


class BatchRunner:
    """Runs the batches whose runner is this process."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        store: BatchStore,
        scheduler: BatchScheduler,
        loop: SchedulerLoop,
        rollouts: VersionRollouts,
        views: BatchViews,
        places: BatchIndex,
    ) -> None:
        self._identity = identity
        self._store = store
        self._scheduler = scheduler
        self._loop = loop
        self._rollouts = rollouts
        self._views = views
        self._places = places
        self._tasks: anyio.abc.TaskGroup | None = None
        self._stopping = False

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run batches in a task group from now on."""
        self._tasks = tasks
        self._loop.start(tasks)

    @property
    def stopping(self) -> bool:
        """Whether this process is stopping and accepts no more batches."""
        return self._stopping

    def runs(self, batch: str) -> bool:
        """Whether a batch is run here."""
        return batch in self._scheduler.batches

    def current_views(self) -> list[Batch]:
        """Return the batches run here, each as the newest view of this node shows it."""
        views = [
            max(
                filter(None, (self._store.ledger.get(name), self._views.ahead_batch(name))),
                key=lambda batch: batch.epoch,
                default=None,
            )
            for name in sorted(self._scheduler.batches)
        ]
        return [batch for batch in views if batch is not None]

    @property
    def busy(self) -> bool:
        """Whether batches are run here."""
        return bool(self._scheduler.batches)

    @property
    def running_batches(self) -> int:
        """Return how many batches are run here."""
        return len(self._scheduler.batches)

    @property
    def running_attempts(self) -> int:
        """Return how many attempts at items are under way."""
        return self._scheduler.running

    @property
    def engine_tokens(self) -> dict[str, int]:
        """Return, by engine with attempts under way, the most tokens it is expected to hold."""
        return self._scheduler.engine_tokens(steady_seconds())

    def attempts_for_other_trainers(self, trainer: str) -> int:
        """Return how many attempts are under way at items of other trainers."""
        return self._scheduler.running_for_other_trainers(trainer)

    @property
    def awaited_scores(self) -> int:
        """Return how many items run here have their text but not their score."""
        return self._scheduler.scoring

    def hand_over(self) -> None:
        """Stop running: record the progress so far, and release the batches to other nodes."""
        self._stopping = True
        for batch in sorted(self._scheduler.batches):
            self._loop.execute(self._scheduler.progress(batch))
            self._close(batch, "stopping")
            self._store.post(batch, BatchReleased(batch, str(self._identity)))
            log_event("batch_released", batch=batch, runner=str(self._identity))

    def ledger_changed(self, batch: Batch, change: LedgerChange) -> None:
        """Apply a change in this node's view: open, continue or stop running the batch."""
        name = batch.header.batch
        assigned_here = self._identity.names(batch.runner) and not self._stopping
        if change is LedgerChange.OPENED:
            self._rollouts.record_minimum_version(batch.header.model, batch.header.minimum_version)
        if change is LedgerChange.RESULT_ADDED:
            self._loop.execute(self._scheduler.listed(name, batch.results[-1].item))
        elif change is LedgerChange.ENDED:
            self._end(name)
        elif change is LedgerChange.LOST:
            self._release_lost_batch(name)
        elif batch.epoch < (self._views.ahead_epoch(name) or 0):
            return
        elif assigned_here and self._store.lacks_history(name, steady_seconds()):
            assert self._tasks is not None
            self._tasks.start_soon(self._open_unless_ended, batch)
        elif assigned_here:
            self._open(batch)
        else:
            self._stop_taken_over(batch)

    async def _open_unless_ended(self, batch: Batch) -> None:
        """Open a batch unless its index entry says that it ended.

        Its end may be among records that the log dropped before they were read here.
        """
        name = batch.header.batch
        while (place := await self._places.find(name)).is_error():
            await anyio.sleep(LOOK_UP_RETRY_SECONDS)
        if place.ok is not None and place.ok.ended:
            self._store.record_ended(name)
        elif self._identity.names(batch.runner) and not self._stopping:
            self._open(batch)

    def ahead_changed(self, batch: Batch, change: LedgerChange) -> None:
        """Apply a change in a partial view to a batch that runs ahead of this node's own view."""
        name = batch.header.batch
        epoch = self._views.ahead_epoch(name)
        if epoch is None:
            return
        match change:
            case LedgerChange.RESULT_ADDED:
                self._loop.execute(self._scheduler.listed(name, batch.results[-1].item))
            case LedgerChange.ENDED:
                self._end(name)
            case LedgerChange.RUNNER_CHANGED:
                if batch.epoch >= epoch and not self._identity.names(batch.runner):
                    self._stop_taken_over(batch)

    def _end(self, batch: str) -> None:
        self._loop.execute(self._scheduler.progress(batch))
        self._close(batch, ENDED)

    def _release_lost_batch(self, batch: str) -> None:
        """Release a batch whose end may have been missed, so that another node can run it."""
        if self.runs(batch):
            self._close(batch, "history lost")
            self._store.post(batch, BatchReleased(batch, str(self._identity)))

    def _stop_taken_over(self, batch: Batch) -> None:
        """Stop running a batch that another process took over."""
        name = batch.header.batch
        if self.runs(name):
            log_event("batch_taken_over", batch=name, runner=batch.runner, epoch=batch.epoch)
            self._close(name, "taken over")

    def _open(self, batch: Batch) -> None:
        self._begin(batch, self._store.ledger.reusable_text)

    def begin_ahead(self, batch: Batch, partial: PartialLedger, epoch: int) -> None:
        """Run a batch that this node's own view does not show yet.

        Parameters
        ----------
        batch, partial
            The batch as a partial view shows it, and that view.
        epoch
            The epoch of this process's claim, or of the batch if it was assigned to this process.
        """
        name = batch.header.batch
        if (
            not batch.open
            or self.runs(name)
            or self._stopping
            or self._is_closed_or_taken_over(name, epoch)
        ):
            return
        assert self._tasks is not None
        self._views.begin_ahead(name, partial, epoch)
        self._begin(batch, partial.ledger.reusable_text)
        self._tasks.start_soon(self._views.follow, name, self._release_lost_batch)

    def _is_closed_or_taken_over(self, name: str, epoch: int) -> bool:
        """Whether this node's own view shows that a batch is closed or another process runs it.

        The own view may be ahead of the partial one; a change that was applied to it before the
        batch was run here didn't stop the batch.
        """
        known = self._store.ledger.get(name)
        if known is None:
            return False
        taken_over = known.epoch >= epoch and not self._identity.names(known.runner)
        return not known.open or taken_over

    def _begin(self, batch: Batch, reusable_text: ReusableTextLookup) -> None:
        name = batch.header.batch
        if not batch.open or name in self._scheduler.batches:
            return
        log_event(
            "batch_opened",
            batch=name,
            step=batch.header.step,
            items=len(batch.items) - len(batch.listed),
            minimum_version=batch.header.minimum_version,
            epoch=batch.epoch,
            ahead=self._views.ahead_epoch(name) is not None,
            read_from=self._views.read_from(name),
            view_age=self._views.age(name, steady_seconds()),
        )
        self._loop.execute(self._scheduler.open(batch, reusable_text, steady_seconds()))
        self._loop.wake()

    def _close(self, batch: str, reason: str) -> None:
        if self.runs(batch):
            view_age = self._views.age(batch, steady_seconds())
            log_event("batch_closed", batch=batch, reason=reason, view_age=view_age)
        self._loop.execute(self._scheduler.close(batch, reason))
        self._views.drop(batch)
