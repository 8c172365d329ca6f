"""Passes events and the time to the scheduler, and carries out its instructions.

Owns the attempts' tasks and the tick. Relies on the scheduler for every decision, on the senders
for each attempt, and on the batch store to append results.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batches.messages import (
    BatchWaits,
    ItemAwaitingMemory,
    RecordItem,
    SchedulerEvent,
    SchedulerInstruction,
    StartItem,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.records import ItemFinished
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.runners.attempt_tasks import AttemptTasks
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.runners.checked_sends import CheckedSends
from stagewalk.gateway.runners.item_sender import ItemSender
from stagewalk.gateway.runners.score_sender import ScoreSender
from stagewalk.gateway.scoring.messages import SendScore, StopScore

TICK_SECONDS = 0.05
"""Interval at which the scheduler handles what depends on time alone."""


class SchedulerLoop:
    """Runs a scheduler.

    Parameters
    ----------
    on_item_started
        Called with the age of the view from which an item was started, in seconds.
    on_opened
        Called before items of a batch that was opened are started.
    on_raised
        Called for each attempt that ended with an exception of this process.
    """

    def __init__(
        self,
        scheduler: BatchScheduler,
        store: BatchStore,
        views: BatchViews,
        sends: CheckedSends,
        on_item_started: Callable[[float], None] = lambda _view_age: None,
        *,
        on_opened: Callable[[], None] = lambda: None,
        on_raised: Callable[[], None] = lambda: None,
    ) -> None:
        self._scheduler = scheduler
        self._store = store
        self._views = views
        self._on_item_started = on_item_started
        self._on_opened = on_opened
        self._items = ItemSender(sends, self.handle)
        self._scores = ScoreSender(sends)
        self._attempts = AttemptTasks(self.handle, on_raised)
        self._batch_opened = anyio.Event()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the tick; attempts run in the same task group."""
        self._attempts.start(tasks)
        tasks.start_soon(self._tick)

    def wake(self) -> None:
        """Have the scheduler handle a newly opened batch without waiting for the next tick."""
        self._batch_opened.set()
        self._on_opened()
        self.handle(Tick())

    def handle(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler, and carry out what it decides."""
        self.execute(self._scheduler.handle(event, steady_seconds()))

    def execute(self, instructions: Iterable[SchedulerInstruction]) -> None:
        """Carry out instructions in order."""
        for instruction in instructions:
            match instruction:
                case StartItem():
                    self._start_item(instruction)
                case ItemAwaitingMemory():
                    self._log_withheld(instruction)
                case BatchWaits():
                    self._log_wait(instruction)
                case StopItem():
                    self._stop_item(instruction)
                case RecordItem():
                    self._record(instruction)
                case SendScore():
                    attempt = partial(self._scores.attempt, instruction)
                    self._attempts.begin(instruction.attempt, instruction.call.call, attempt)
                case StopScore():
                    self._attempts.cancel(instruction.attempt)

    async def _tick(self) -> None:
        """Tick while there are batches; wait while there are none."""
        while True:
            if not self._scheduler.batches:
                self._batch_opened = anyio.Event()
                await self._batch_opened.wait()
            await anyio.sleep(TICK_SECONDS)
            self.handle(Tick())
            self._views.log_changes(self._scheduler.batches, steady_seconds())

    def _start_item(self, start: StartItem) -> None:
        attempt = partial(self._items.attempt, start)
        self._attempts.begin(start.attempt, start.item.item, attempt)
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

    @staticmethod
    def _log_withheld(withheld: ItemAwaitingMemory) -> None:
        log_event(
            "item_withheld",
            item=withheld.item,
            engines=withheld.engines,
            lacking_tokens=withheld.lacking_tokens,
        )

    @staticmethod
    def _log_wait(waits: BatchWaits) -> None:
        log_event(
            "batch_waits",
            "warning",
            batch=waits.batch,
            items=waits.items,
            candidates=waits.candidates,
            minimum_version=waits.minimum_version,
            may_start=waits.may_start,
            seconds=waits.seconds,
        )

    def _stop_item(self, stop: StopItem) -> None:
        if self._attempts.cancel(stop.attempt):
            log_event("item_stopped", attempt=stop.attempt, reason=stop.reason)

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
