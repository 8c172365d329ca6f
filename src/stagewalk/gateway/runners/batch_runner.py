"""Runs this node's batches: carries the scheduler's instructions out, takes over from the dead."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.open_batch_views import PartialLedger
from stagewalk.gateway.batch_service.open_batches import OpenBatches
from stagewalk.gateway.batches.ledger import Batch, LedgerChange, ReusableText
from stagewalk.gateway.batches.messages import (
    RecordItem,
    SchedulerEvent,
    SchedulerInstruction,
    StartItem,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.records import BatchItem, BatchReleased, ItemFinished
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.ports.workers import (
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import CrashReports
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.runners.item_sender import ItemSender
from stagewalk.gateway.runners.score_sender import ScoreSender
from stagewalk.gateway.scoring.messages import SendScore, StopScore
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable

TICK_SECONDS = 0.05
LOOK_UP_RETRY_SECONDS = 0.1
"""Between two looks for a batch's mark while the log does not answer, as between two reads."""

ENDED = "ended"
ReusableTextOf = Callable[[BatchItem], ReusableText | None]


class BatchRunner:
    """Runs the batches whose runner is this process."""

    def __init__(
        self,
        *,
        identity: ProcessId,
        store: BatchStore,
        scheduler: BatchScheduler,
        client: WorkerClient,
        workers: WorkerTable,
        eligibility: Eligibility,
        nodes: NodeService,
        rollouts: VersionRollouts,
        views: BatchViews,
        places: OpenBatches,
        crashes: CrashReports,
        on_item_started: Callable[[float], None] = lambda _view_age: None,
    ) -> None:
        self._identity = identity
        self._store = store
        self._scheduler = scheduler
        self._nodes = nodes
        self._rollouts = rollouts
        self._views = views
        self._places = places
        self._on_item_started = on_item_started
        self._tasks: anyio.abc.TaskGroup | None = None
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._sender = ItemSender(
            client, workers, eligibility, self._handle, views, crashes=crashes
        )
        self._scores = ScoreSender(
            client, workers, eligibility, self._handle, views, crashes=crashes
        )
        self._stopping = False
        self._begun = anyio.Event()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start running."""
        self._tasks = tasks
        self._scores.start(tasks)
        self._store.on_change = self._ledger_changed
        tasks.start_soon(self._tick)

    @property
    def stopping(self) -> bool:
        """Whether this process takes no more batches."""
        return self._stopping

    def runs(self, batch: str) -> bool:
        """Whether a batch is run here."""
        return batch in self._scheduler.batches

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

    def items_of_others(self, trainer: str) -> int:
        """Return how many attempts are under way at items of other trainers."""
        return self._scheduler.running_of_others(trainer)

    @property
    def awaited_scores(self) -> int:
        """Return how many items run here have their text but not their score."""
        return self._scheduler.scoring

    def hand_over(self) -> None:
        """Stop running: tell the log what was made so far and that others may go on."""
        self._stopping = True
        for batch in sorted(self._scheduler.batches):
            self._carry_out(self._scheduler.progress(batch))
            self._close(batch, "stopping")
            self._store.post(batch, BatchReleased(batch, str(self._identity)))
            log_event("batch_released", batch=batch, runner=str(self._identity))

    # From the ledger.

    def _ledger_changed(self, batch: Batch, change: LedgerChange) -> None:
        name = batch.header.batch
        mine = batch.runner == str(self._identity) and not self._stopping
        if change is LedgerChange.OPENED:
            self._rollouts.note_minimum(batch.header.model, batch.header.minimum_version)
        if change is LedgerChange.LISTED:
            self._carry_out(self._scheduler.listed(name, batch.results[-1].item))
        elif change is LedgerChange.ENDED:
            self._end(name)
        elif change is LedgerChange.LOST:
            self._lose(name)
        elif batch.epoch < (self._views.ahead_epoch(name) or 0):
            return
        elif mine and self._store.lacks_history(name, steady_seconds()):
            self._open_unless_ended(batch)
        elif mine:
            self._open(batch)
        else:
            self._yield(batch)

    def _open_unless_ended(self, batch: Batch) -> None:
        """Run a batch whose end may lie in records that the log dropped before they were read."""

        async def check() -> None:
            name = batch.header.batch
            while (place := await self._places.find(name)).is_error():
                await anyio.sleep(LOOK_UP_RETRY_SECONDS)
            if place.ok is not None and place.ok.ended:
                self._store.note_ended(name)
            elif batch.runner == str(self._identity) and not self._stopping:
                self._open(batch)

        assert self._tasks is not None
        self._tasks.start_soon(check)

    def ahead_changed(self, batch: Batch, change: LedgerChange) -> None:
        """Take what a partial view tells of a batch that was begun ahead of this node's view."""
        name = batch.header.batch
        epoch = self._views.ahead_epoch(name)
        if epoch is None:
            return
        match change:
            case LedgerChange.LISTED:
                self._carry_out(self._scheduler.listed(name, batch.results[-1].item))
            case LedgerChange.ENDED:
                self._end(name)
            case LedgerChange.RUNNER:
                if batch.epoch >= epoch and batch.runner != str(self._identity):
                    self._yield(batch)

    def _end(self, batch: str) -> None:
        self._carry_out(self._scheduler.progress(batch))
        self._close(batch, ENDED)

    def _lose(self, batch: str) -> None:
        """Leave a batch that may have ended unread to those who know."""
        if self.runs(batch):
            self._close(batch, "history lost")
            self._store.post(batch, BatchReleased(batch, str(self._identity)))

    def _yield(self, batch: Batch) -> None:
        """Leave a batch to the process that took it over."""
        name = batch.header.batch
        if self.runs(name):
            log_event("batch_taken_over", batch=name, runner=batch.runner, epoch=batch.epoch)
            self._close(name, "taken over")

    def _open(self, batch: Batch) -> None:
        self._begin(batch, self._store.ledger.reusable_text)

    def begin_ahead(self, batch: Batch, partial: PartialLedger, epoch: int) -> None:
        """Run a batch that this node's view does not tell of yet.

        Parameters
        ----------
        batch, partial
            The batch as another view tells it, and that view.
        epoch
            The epoch of this process's claim to it, 0 if it was given the batch.
        """
        name = batch.header.batch
        if not batch.open or self.runs(name) or self._stopping or self._left(name, epoch):
            return
        assert self._tasks is not None
        self._views.begin_ahead(name, partial, epoch)
        self._begin(batch, partial.ledger.reusable_text)
        self._tasks.start_soon(self._views.follow, name, self._lose)

    def _left(self, name: str, epoch: int) -> bool:
        """Whether this node's own view tells that a batch isn't this process's to run.

        It may be ahead of the partial view: what changed before the run begins is told to nobody.
        """
        known = self._store.ledger.get(name)
        if known is None:
            return False
        taken_over = known.epoch >= epoch and known.runner != str(self._identity)
        return not known.open or taken_over

    def _begin(self, batch: Batch, reusable_text: ReusableTextOf) -> None:
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
        self._carry_out(self._scheduler.open(batch, reusable_text, steady_seconds()))
        self._begun.set()
        self._handle(Tick())

    def _close(self, batch: str, reason: str) -> None:
        if self.runs(batch):
            view_age = self._views.age(batch, steady_seconds())
            log_event("batch_closed", batch=batch, reason=reason, view_age=view_age)
        self._carry_out(self._scheduler.close(batch, reason))
        self._views.drop(batch)

    # Attempts.

    async def _tick(self) -> None:
        """Let time pass for the scheduler while there are batches; sleep while there are none."""
        while True:
            if not self._scheduler.batches:
                self._begun = anyio.Event()
                await self._begun.wait()
            await anyio.sleep(TICK_SECONDS)
            self._handle(Tick())
            self._views.log_changes(self._scheduler.batches, steady_seconds())

    def _handle(self, event: SchedulerEvent) -> None:
        self._carry_out(self._scheduler.handle(event, steady_seconds()))

    def _carry_out(self, instructions: list[SchedulerInstruction]) -> None:
        for instruction in instructions:
            match instruction:
                case StartItem():
                    self._start_item(instruction)
                case StopItem():
                    self._stop_item(instruction)
                case RecordItem():
                    self._record(instruction)
                case SendScore():
                    self._scores.send(instruction)
                case StopScore():
                    self._scores.stop(instruction)

    def _record(self, instruction: RecordItem) -> None:
        record = instruction.record
        self._store.post(record.batch, record)
        if isinstance(record, ItemFinished):
            log_event(
                "item_finished",
                item=record.item,
                batch=record.batch,
                succeeded=record.succeeded,
                versions=",".join(map(str, record.versions)),
                characters=len(record.text),
                score=record.score,
            )

    def _start_item(self, start: StartItem) -> None:
        assert self._tasks is not None
        scope = anyio.CancelScope()
        self._scopes[start.attempt] = scope
        self._tasks.start_soon(self._run_item, start, scope)
        view_age = self._views.age(start.batch, steady_seconds())
        self._on_item_started(view_age)
        log_event(
            "item_started",
            item=start.item.item,
            batch=start.batch,
            attempt=start.attempt,
            worker=start.worker,
            resume_after=start.resume_after or 0,
            view_age=view_age,
        )

    def _stop_item(self, stop: StopItem) -> None:
        scope = self._scopes.pop(stop.attempt, None)
        if scope is not None:
            log_event("item_stopped", attempt=stop.attempt, reason=stop.reason)
            scope.cancel()

    async def _run_item(self, start: StartItem, scope: anyio.CancelScope) -> None:
        with scope:
            event = await self._sender.attempt(start)
        if not scope.cancelled_caught:
            self._scopes.pop(start.attempt, None)
            self._handle(event)
