"""Decides which item runs where and when: a pure state machine of one node's running batches.

Items of a step are worth something only as whole groups in time. So the longest start first,
a silent or slow worker is left with what has been made so far (any worker goes on after the
last event held), and what nobody waits for any more stops at once.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from stagewalk.gateway.batches.attempt_starter import AttemptStarter
from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.evidence import note_pace, note_refusal
from stagewalk.gateway.batches.item_run import FAILURE_PAUSE_SECONDS, ItemRun, RunningAttempt
from stagewalk.gateway.batches.item_scores import ItemScores
from stagewalk.gateway.batches.ledger import Batch, ReusableText
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    SchedulerEvent,
    SchedulerInstruction,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.policy import ALL_ON, Policy
from stagewalk.gateway.scoring.core import MayStart, RouteOf, ScoreCalls, ServiceOf
from stagewalk.gateway.scoring.messages import ScoreAnswered, ScoreBroken
from stagewalk.gateway.workers.table import WorkerTable

PUBLISH_SECONDS = 1.0
PUBLISH_EVENTS = 20
"""An item that has made this many events more than the log holds tells them."""

SUCCESS = 200
IMPOSSIBLE = 422
"""The worker says that the item can never be done."""

RUN_FAILED = 500


class BatchScheduler:
    """Runs the batches that were given to it.

    Parameters
    ----------
    may_start
        Tells whether a batch is known to be open from a view that is recent enough at a time:
        nothing of it is sent to a worker otherwise. What is under way goes on.
    """

    def __init__(
        self,
        workers: WorkerTable,
        route_of: RouteOf,
        service_of: ServiceOf,
        eligibility: Eligibility,
        policy: Policy = ALL_ON,
        *,
        may_start: MayStart = lambda _batch, _now: True,
    ) -> None:
        self._policy = policy
        self._may_start = may_start
        self._workers = workers
        self._route_of = route_of
        self._runs: dict[str, BatchRun] = {}
        self._attempts: dict[int, tuple[BatchRun, ItemRun]] = {}
        numbers = itertools.count(1)
        calls = ScoreCalls(
            eligibility,
            route_of,
            service_of,
            numbers=numbers,
            policy=policy,
            may_start=may_start,
        )
        self._scores = ItemScores(calls, self._runs, route_of)
        self._published_at = 0.0
        self._lengths = LengthEstimate()
        self._watch = AttemptWatch(workers, eligibility, route_of, self._lengths)
        self._starts = AttemptStarter(
            self._watch,
            self._lengths,
            numbers,
            proximity=eligibility.proximity,
            policy=policy,
            may_start=may_start,
        )

    @property
    def batches(self) -> set[str]:
        """Return the names of the batches being run."""
        return set(self._runs)

    @property
    def running(self) -> int:
        """Return the number of attempts under way."""
        return len(self._attempts)

    def running_of_others(self, trainer: str) -> int:
        """Return the number of attempts under way at items of other trainers."""
        return sum(run.batch.header.trainer != trainer for run, _ in self._attempts.values())

    @property
    def scoring(self) -> int:
        """Return the number of items whose text is whole and whose score is awaited."""
        return self._scores.pending

    def open(
        self, batch: Batch, reusable_text: Callable[[BatchItem], ReusableText | None], now: float
    ) -> list[SchedulerInstruction]:
        """Begin to run what is left of a batch; `reusable_text` finds what was made of an item."""
        if batch.header.batch in self._runs:
            return []
        run = BatchRun(batch)
        self._runs[batch.header.batch] = run
        instructions: list[SchedulerInstruction] = []
        for name, spec in batch.items.items():
            if name in batch.listed:
                continue
            item = ItemRun.begin(batch.header.host, spec)
            run.items[name] = item
            kept = reusable_text(spec)
            item.known_events = 0 if kept is None else len(kept.events)
            if kept is None or not self._policy.kept_text or not self._fits(batch, spec, kept):
                continue
            item.adopt(kept.events, kept.versions)
            if kept.whole:
                item.score_failures = kept.score_failures
                instructions += self._scores.text_whole(run, item, now, kept.score)
        return instructions

    def close(self, batch: str, reason: str) -> list[SchedulerInstruction]:
        """Stop running a batch."""
        run = self._runs.pop(batch, None)
        if run is None:
            return []
        stops: list[SchedulerInstruction] = []
        for item in run.items.values():
            stops += self._scores.drop(batch, item.spec.item, reason)
            if item.running:
                stops.append(self._stop(item, reason))
        return stops

    def listed(self, batch: str, item: str) -> list[SchedulerInstruction]:
        """Take the news that an item has its result, whoever made it."""
        run = self._runs.get(batch)
        known = None if run is None else run.items.pop(item, None)
        if known is None:
            return []
        stops: list[SchedulerInstruction] = [*self._scores.drop(batch, item, "listed")]
        if known.running is not None:
            stops.append(self._stop(known, "listed"))
        return stops

    def progress(self, batch: str) -> list[SchedulerInstruction]:
        """Return what has been made of a batch's unfinished items since that was last told."""
        run = self._runs.get(batch)
        if run is None:
            return []
        return [run.progress(item) for item in run.unpublished]

    def handle(self, event: SchedulerEvent, now: float) -> list[SchedulerInstruction]:
        """Take an event and return what to do."""
        match event:
            case AttemptHead():
                return self._head(event, now)
            case AttemptEvent():
                return self._event(event, now)
            case AttemptEnded():
                return self._ended(event, now)
            case AttemptBroken():
                return self._broken(event, now)
            case ScoreAnswered() | ScoreBroken():
                return self._scores.handle(event, now)
            case Tick():
                return self._tick(now)

    # What attempts bring.

    def _head(self, event: AttemptHead, now: float) -> list[SchedulerInstruction]:
        known = self._attempts.get(event.attempt)
        if known is None:
            return []
        run, item = known
        assert item.running is not None
        worker = self._workers.worker(item.running.worker)
        if worker is not None:
            worker.note_load(event.head.load, now)
        if event.head.status != SUCCESS:
            return []
        item.running.last_event_at = now
        for version in event.head.versions:
            refused = self._apply_version(run, item, version, now)
            if refused:
                return refused
        return []

    def _event(self, event: AttemptEvent, now: float) -> list[SchedulerInstruction]:
        known = self._attempts.get(event.attempt)
        if known is None:
            return []
        run, item = known
        assert item.running is not None
        if event.event.number != len(item.events) + 1:
            return self._leave(item, now, "event out of order")
        if event.event.version is not None:
            refused = self._apply_version(run, item, event.event.version, now)
            if refused:
                return refused
        item.add_event(event.event.data)
        worker = self._workers.worker(item.running.worker)
        if worker is not None:
            note_pace(worker, item.running, len(item.events), now)
        item.running.last_event_at = now
        return []

    def _apply_version(
        self, run: BatchRun, item: ItemRun, version: int, now: float
    ) -> list[SchedulerInstruction]:
        """Note what makes the events that follow; leave a worker whose weights don't fit.

        A version counts only once an event was made under it: weights may change, or the
        attempt may break, before the first one.
        """
        assert item.running is not None
        header = run.batch.header
        worker = self._workers.worker(item.running.worker)
        if worker is not None:
            worker.versions[item.spec.model] = version
        if version < header.minimum_version:
            return self._leave(item, now, "weights too old")
        route = self._route_of(header.host, item.spec.path)
        mixed = len({version, *item.versions}) > 1
        if mixed and route is not None and route.single_version:
            item.restart()
            return self._leave(item, now, "weights changed")
        item.running.version = version
        return []

    def _ended(self, event: AttemptEnded, now: float) -> list[SchedulerInstruction]:
        known = self._attempts.pop(event.attempt, None)
        if known is None:
            return []
        run, item = known
        attempt = self._finish_attempt(item)
        if event.status == SUCCESS and item.events:
            self._lengths.learn(item)
            return self._scores.text_whole(run, item, now)
        if event.status == IMPOSSIBLE:
            return [run.fail(item)]
        if event.status == RUN_FAILED:
            item.run_failures += 1
            route = self._route_of(run.batch.header.host, item.spec.path)
            if route is not None and item.run_failures >= route.maximum_attempts:
                return [run.fail(item)]
        item.not_before = now + FAILURE_PAUSE_SECONDS
        item.last_worker = attempt.worker
        return self._start_items(now)

    def _broken(self, event: AttemptBroken, now: float) -> list[SchedulerInstruction]:
        known = self._attempts.pop(event.attempt, None)
        if known is None:
            return []
        _, item = known
        attempt = self._finish_attempt(item)
        worker = self._workers.worker(attempt.worker)
        if worker is not None:
            note_refusal(worker, item.spec.model, event.failure, now)
        item.not_before = now + FAILURE_PAUSE_SECONDS
        item.last_worker = attempt.worker
        return self._start_items(now)

    # What time brings.

    def _tick(self, now: float) -> list[SchedulerInstruction]:
        instructions: list[SchedulerInstruction] = []
        for run, item in list(self._attempts.values()):
            if item.running is not None and self._watch.silent(run.batch, item, now):
                worker = self._workers.worker(item.running.worker)
                if worker is not None:
                    worker.note_failure(now)
                instructions += self._leave(item, now, "silent")
        instructions += self._give_up(now)
        instructions += self._publish_progress(now)
        instructions += self._move_from_evacuated(now)
        instructions += self._move_from_slow(now)
        instructions += self._start_items(now)
        instructions += self._scores.due(now)
        return instructions

    def _publish_progress(self, now: float) -> list[SchedulerInstruction]:
        """Tell now and then what long items have made, and which texts wait long for a score.

        Whoever takes over goes on from there.
        """
        if now - self._published_at < PUBLISH_SECONDS:
            return []
        self._published_at = now
        instructions: list[SchedulerInstruction] = []
        for run, item in self._attempts.values():
            if len(item.events) >= item.published_events + PUBLISH_EVENTS:
                instructions.append(run.progress(item))
        instructions += self._scores.publish_overdue(now)
        return instructions

    def _give_up(self, now: float) -> list[SchedulerInstruction]:
        instructions: list[SchedulerInstruction] = []
        for run in self._runs.values():
            for item in run.items.values():
                route = self._route_of(run.batch.header.host, item.spec.path)
                if route is None or item.recording:
                    continue
                if now - run.batch.seen_at > route.give_up_seconds:
                    if item.running is not None:
                        instructions.append(self._stop(item, "given up"))
                    instructions += self._scores.drop(run.name, item.spec.item, "given up")
                    instructions.append(run.fail(item))
        return instructions

    def _move_from_evacuated(self, now: float) -> list[SchedulerInstruction]:
        """Have items go on elsewhere whose engines' zone is being evacuated."""
        instructions: list[SchedulerInstruction] = []
        if not self._watch.evacuating:
            return instructions
        for run, item in list(self._attempts.values()):
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.evacuated(run.batch, item, now):
                instructions += self._leave(item, now, "zone evacuated")
                instructions += self._start_item(run, item, now)
        return instructions

    def _move_from_slow(self, now: float) -> list[SchedulerInstruction]:
        instructions: list[SchedulerInstruction] = []
        if not self._policy.moves:
            return instructions
        for run, item in list(self._attempts.values()):
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.faster_elsewhere(run.batch, item, now):
                instructions += self._leave(item, now, "faster elsewhere")
                item.not_before = now
                item.moved_at = now
        return instructions

    def _start_items(self, now: float) -> list[SchedulerInstruction]:
        instructions: list[SchedulerInstruction] = []
        for run, item in self._starts.due(self._runs.values(), now):
            instructions += self._start_item(run, item, now)
        return instructions

    def _start_item(self, run: BatchRun, item: ItemRun, now: float) -> list[SchedulerInstruction]:
        start = self._starts.begin(run, item, now)
        if start is None:
            return []
        self._attempts[start.attempt] = (run, item)
        return [start]

    # How attempts end here.

    def _leave(self, item: ItemRun, now: float, reason: str) -> list[SchedulerInstruction]:
        assert item.running is not None
        worker = item.running.worker
        stop = self._stop(item, reason)
        item.not_before = now + FAILURE_PAUSE_SECONDS
        item.last_worker = worker
        return [stop]

    def _stop(self, item: ItemRun, reason: str) -> StopItem:
        assert item.running is not None
        attempt = item.running.attempt
        self._attempts.pop(attempt, None)
        self._finish_attempt(item)
        return StopItem(attempt, reason)

    def _finish_attempt(self, item: ItemRun) -> RunningAttempt:
        attempt = item.running
        assert attempt is not None
        item.running = None
        worker = self._workers.worker(attempt.worker)
        if worker is not None:
            worker.note_ended()
        return attempt

    def _fits(self, batch: Batch, spec: BatchItem, kept: ReusableText) -> bool:
        """Whether text that was made before may be used in a batch."""
        if any(version < batch.header.minimum_version for version in kept.versions):
            return False
        route = self._route_of(batch.header.host, spec.path)
        return len(kept.versions) <= 1 or route is None or not route.single_version
