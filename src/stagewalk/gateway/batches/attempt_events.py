"""Applies the outcomes of attempts to their items: heads, events, completions and failures.

Holds no state: items, attempts and workers belong to the scheduler. `version_rules` and
`retry_rules` decide what an event or a completion means for the item, `engine_observations` what
it says about the worker.
"""

from __future__ import annotations

from stagewalk.gateway.batches.attempt_starter import AttemptStarter
from stagewalk.gateway.batches.attempts import RunningAttempts, RunningItem
from stagewalk.gateway.batches.engine_memory import EngineMemory
from stagewalk.gateway.batches.engine_observations import record_pace, record_refusal
from stagewalk.gateway.batches.item_scores import ItemScores
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    ItemAttemptFailed,
    SchedulerInstruction,
    StopItem,
)
from stagewalk.gateway.batches.retry_rules import (
    HTTP_OK,
    RUN_FAILED,
    AttemptOutcome,
    judge_item_answer,
)
from stagewalk.gateway.batches.version_rules import VersionConflict, find_conflict
from stagewalk.gateway.scoring.core import RouteLookup
from stagewalk.gateway.workers.table import WorkerTable


class AttemptEvents:
    """Applies the events of running attempts and ignores those of attempts that have ended.

    Parameters
    ----------
    lengths
        Updated with each complete text.
    memory
        Updated with the load that engines report.
    """

    def __init__(
        self,
        attempts: RunningAttempts,
        workers: WorkerTable,
        route_of: RouteLookup,
        *,
        starter: AttemptStarter,
        scores: ItemScores,
        lengths: LengthEstimate,
        memory: EngineMemory,
    ) -> None:
        self._attempts = attempts
        self._workers = workers
        self._route_of = route_of
        self._starter = starter
        self._scores = scores
        self._lengths = lengths
        self._memory = memory

    def head(self, event: AttemptHead, now: float) -> list[SchedulerInstruction]:
        """Handle a response head: the worker's load and the weight version of the next events."""
        known = self._attempts.get(event.attempt)
        if known is None:
            return []
        running = known.item.running
        assert running is not None
        worker = self._workers.worker(running.worker)
        if worker is not None:
            worker.record_load(event.head.load, now)
            self._memory.record_report(worker, event.head.load, now)
        if event.head.status != HTTP_OK:
            return []
        running.last_event_at = now
        running.answering = True
        for version in event.head.versions:
            stop = self._apply_version(known, version, now)
            if stop is not None:
                return [stop]
        return []

    def event(self, event: AttemptEvent, now: float) -> list[SchedulerInstruction]:
        """Handle one event of an item's text."""
        known = self._attempts.get(event.attempt)
        if known is None:
            return []
        item = known.item
        running = item.running
        assert running is not None
        if event.event.number != len(item.events) + 1:
            return [self._attempts.abandon(item, "event out of order", now)]
        if event.event.version is not None:
            stop = self._apply_version(known, event.event.version, now)
            if stop is not None:
                return [stop]
        item.add_event(event.event.data)
        worker = self._workers.worker(running.worker)
        if worker is not None:
            record_pace(worker, running, len(item.events), now)
        running.last_event_at = now
        return []

    def ended(self, event: AttemptEnded, now: float) -> list[SchedulerInstruction]:
        """Handle a complete response: record or score the text, fail the item, or retry it."""
        ended = self._attempts.end(event.attempt)
        if ended is None:
            return []
        run, item = ended.run, ended.item
        if event.status == RUN_FAILED:
            item.run_failures += 1
        outcome = judge_item_answer(
            event.status,
            has_events=bool(item.events),
            run_failures=item.run_failures,
            route=self._route_of(run.batch.header.host, item.spec.path),
        )
        worker = self._workers.worker(ended.worker)
        if worker is not None:
            worker.record_connection(True, now)
        if outcome is AttemptOutcome.TEXT_WHOLE:
            self._lengths.learn(item)
            return self._scores.text_completed(run, item, now)
        if outcome is AttemptOutcome.FAILED:
            return [run.fail(item)]
        self._attempts.retry_later(item, ended.worker, now)
        return [*self._starter.start_due(now)]

    def failed(self, event: ItemAttemptFailed, now: float) -> list[SchedulerInstruction]:
        """Handle an attempt that ended without a complete response: retry the item later."""
        ended = self._attempts.end(event.attempt)
        if ended is None:
            return []
        worker = self._workers.worker(ended.worker)
        if worker is not None:
            self._memory.record_report(worker, event.failure.load, now)
            record_refusal(worker, ended.item.spec.model, event.failure, now)
        self._attempts.retry_later(ended.item, ended.worker, now)
        return [*self._starter.start_due(now)]

    def _apply_version(self, known: RunningItem, version: int, now: float) -> StopItem | None:
        """Set the weight version of the following events; stop the attempt on a conflict."""
        item, header = known.item, known.run.batch.header
        assert item.running is not None
        worker = self._workers.worker(item.running.worker)
        if worker is not None:
            worker.versions[item.spec.model] = version
        route = self._route_of(header.host, item.spec.path)
        conflict = find_conflict(version, item.versions, header.minimum_version, route)
        if conflict is None:
            item.running.version = version
            return None
        if conflict is VersionConflict.CHANGED:
            item.restart()
        return self._attempts.abandon(item, conflict.value, now)
