"""Schedules a node's batches: applies events to their items and returns instructions. Pure.

Holds the batches that this node runs and their items without a result. `attempt_events` handles the
outcomes of attempts, `attempt_starter` begins attempts, `item_moves` moves items to other workers,
`retry_rules` decides when to give up, and `item_scores` obtains scores.

A trainer needs complete groups in time. So the longest items start first, items move away from
silent or slow workers (any worker can resume after the last event received), and attempts that are
no longer needed are stopped at once.
"""

from __future__ import annotations

import itertools

from stagewalk.gateway.batches.attempt_events import AttemptEvents
from stagewalk.gateway.batches.attempt_starter import AttemptStarter
from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.attempts import RunningAttempts
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.batch_waits import BatchWaitWatch
from stagewalk.gateway.batches.engine_memory import EngineMemory, ServiceLookup, unknown_service
from stagewalk.gateway.batches.item_moves import ItemMoves
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.item_scores import ItemScores
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import UnknownRoom
from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    AttemptRaised,
    ItemAttemptFailed,
    SchedulerEvent,
    SchedulerInstruction,
    Tick,
)
from stagewalk.gateway.batches.place_demand import ClaimantPlaces, ShareLimitedBatch
from stagewalk.gateway.batches.prompt import PromptReader, unknown_prompt
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.batches.retry_rules import is_overdue
from stagewalk.gateway.batches.reusable_texts import ReusableText, ReusableTextLookup
from stagewalk.gateway.batches.version_rules import may_reuse
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.place_shares.demand import PlaceDemand, PlaceLimits, UnlimitedPlaces
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.scoring.core import MayStart, RouteLookup, ScoreCalls, ServiceChooser
from stagewalk.gateway.scoring.messages import ScoreAnswered, ScoreAttemptFailed
from stagewalk.gateway.workers.table import WorkerTable

PUBLISH_SECONDS = 1.0
PUBLISH_EVENTS = 20
"""Every `PUBLISH_SECONDS`, the progress of items with at least `PUBLISH_EVENTS` events beyond those
in the log is recorded. This limits the work lost when another node takes over a batch. Recording
each event would write four times the bytes to save 1 s of work."""

GIVEN_UP = "given up"


class BatchScheduler:
    """Schedules the batches run on this node.

    Parameters
    ----------
    may_start
        Whether a recent enough view of the log shows a batch as open at a given time. Otherwise
        none of its items is sent to a worker; running attempts continue.
    service
        Finds a service, with its engines' limits, by name.
    prompt_of
        Reads an item's prompt.
    limits
        How many places each trainer's items may take.
    """

    def __init__(
        self,
        workers: WorkerTable,
        route_of: RouteLookup,
        service_of: ServiceChooser,
        eligibility: Eligibility,
        policy: Policy = DEFAULT_POLICY,
        *,
        may_start: MayStart = lambda _batch, _now: True,
        service: ServiceLookup = unknown_service,
        prompt_of: PromptReader = unknown_prompt,
        limits: PlaceLimits | None = None,
    ) -> None:
        self._policy = policy
        self._route_of = route_of
        self._prompt_of = prompt_of
        self._runs: dict[str, BatchRun] = {}
        self._attempts = RunningAttempts(workers)
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
        lengths = LengthEstimate()
        self._memory = EngineMemory(workers, self._attempts, lengths, service)
        room = self._memory if policy.engine_memory else UnknownRoom()
        watch = AttemptWatch(workers, eligibility, route_of, lengths, room=room)
        self._starter = AttemptStarter(
            self._runs,
            self._attempts,
            watch,
            lengths,
            numbers,
            workers=workers,
            route_of=route_of,
            proximity=eligibility.proximity,
            policy=policy,
            may_start=may_start,
            room=room,
            limits=limits or UnlimitedPlaces(),
            rng=eligibility.rng,
        )
        self._waits = BatchWaitWatch(watch, may_start)
        self._moves = ItemMoves(
            self._attempts, workers, watch, self._starter, policy=policy, may_start=may_start
        )
        self._events = AttemptEvents(
            self._attempts,
            workers,
            route_of,
            starter=self._starter,
            scores=self._scores,
            lengths=lengths,
            memory=self._memory,
        )

    @property
    def batches(self) -> set[str]:
        """Return the names of the batches being run."""
        return set(self._runs)

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return len(self._attempts)

    def engine_tokens(self, now: float) -> dict[str, int]:
        """Return the expected peak of tokens at each engine with running attempts."""
        return self._memory.expected_tokens(now)

    def running_for_other_trainers(self, trainer: str) -> int:
        """Return the number of running attempts at items of other trainers."""
        return sum(running.run.batch.header.trainer != trainer for running in self._attempts)

    @property
    def place_demands(self) -> list[PlaceDemand]:
        """Return the demand for places of this node's items, by claimant and service."""
        return self._starter.place_demands()

    def claimant_places(self, now: float) -> list[ClaimantPlaces]:
        """Return the places that each claimant's items take, and their limit."""
        return self._starter.claimant_places(now)

    def withheld(self, now: float) -> list[ShareLimitedBatch]:
        """Return the batches with items that wait because their claimant's places are used up."""
        return self._starter.withheld(now)

    @property
    def scoring(self) -> int:
        """Return the number of items whose text is complete and whose score is pending."""
        return self._scores.pending

    def open(
        self, batch: Batch, reusable_text: ReusableTextLookup, now: float
    ) -> list[SchedulerInstruction]:
        """Begin to run a batch's remaining items, resuming from their `reusable_text`."""
        if batch.header.batch in self._runs:
            return []
        run = BatchRun(batch, waits_since=now)
        self._runs[batch.header.batch] = run
        instructions: list[SchedulerInstruction] = []
        for name, spec in batch.items.items():
            if name in batch.listed:
                continue
            item = ItemRun.begin(batch.header.host, spec, self._prompt_of(spec))
            run.items[name] = item
            kept = reusable_text(spec)
            item.known_events = 0 if kept is None else len(kept.events)
            if kept is None or not self._may_reuse(batch, spec, kept):
                continue
            item.adopt(kept.events, kept.versions)
            if kept.whole:
                item.score_failures = kept.score_failures
                instructions += self._scores.text_completed(run, item, now, kept.score)
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
                stops.append(self._attempts.stop(item, reason))
        return stops

    def listed(self, batch: str, item: str) -> list[SchedulerInstruction]:
        """Drop an item that has its result in the log, whichever node recorded it."""
        run = self._runs.get(batch)
        known = None if run is None else run.items.pop(item, None)
        if known is None:
            return []
        stops: list[SchedulerInstruction] = [*self._scores.drop(batch, item, "listed")]
        if known.running is not None:
            stops.append(self._attempts.stop(known, "listed"))
        return stops

    def progress(self, batch: str) -> list[SchedulerInstruction]:
        """Return records of the unpublished progress of a batch's unfinished items."""
        run = self._runs.get(batch)
        if run is None:
            return []
        return [run.progress(item) for item in run.unpublished]

    def handle(self, event: SchedulerEvent, now: float) -> list[SchedulerInstruction]:
        """Handle an event and return what to do."""
        match event:
            case AttemptHead():
                return self._events.head(event, now)
            case AttemptEvent():
                return self._events.event(event, now)
            case AttemptEnded():
                return self._events.ended(event, now)
            case ItemAttemptFailed():
                return self._events.failed(event, now)
            case AttemptRaised():
                return self._raised(event)
            case ScoreAnswered() | ScoreAttemptFailed():
                return self._scores.handle(event, now)
            case Tick():
                return self._tick(now)

    def _raised(self, event: AttemptRaised) -> list[SchedulerInstruction]:
        """Fail the item of an attempt, or of a score call, that ended with an exception."""
        ended = self._attempts.end(event.attempt)
        if ended is not None:
            return [ended.run.fail(ended.item)]
        return self._scores.raised(event.attempt)

    def _tick(self, now: float) -> list[SchedulerInstruction]:
        """Handle what depends on time: timeouts, giving up, progress, moves, starts and scores."""
        instructions = self._moves.abandon_silent(now)
        instructions += self._give_up(now)
        instructions += self._publish_progress(now)
        instructions += self._moves.abandon_evacuated(now)
        instructions += self._moves.abandon_slow(now)
        instructions += self._starter.start_due(now)
        instructions += self._memory.take_withheld()
        instructions += self._scores.due(now)
        instructions += self._waits.check(self._runs.values(), now)
        return instructions

    def _publish_progress(self, now: float) -> list[SchedulerInstruction]:
        """Record the progress of long items, and texts that have waited too long for a score.

        A node that takes the batch over resumes from there.
        """
        if now - self._published_at < PUBLISH_SECONDS:
            return []
        self._published_at = now
        instructions: list[SchedulerInstruction] = []
        for running in self._attempts:
            if len(running.item.events) >= running.item.published_events + PUBLISH_EVENTS:
                instructions.append(running.run.progress(running.item))
        instructions += self._scores.publish_overdue(now)
        return instructions

    def _give_up(self, now: float) -> list[SchedulerInstruction]:
        instructions: list[SchedulerInstruction] = []
        for run in self._runs.values():
            for item in run.items.values():
                route = self._route_of(run.batch.header.host, item.spec.path)
                if item.recording or not is_overdue(run.batch.seen_at, route, now):
                    continue
                if item.running is not None:
                    instructions.append(self._attempts.stop(item, GIVEN_UP))
                instructions += self._scores.drop(run.name, item.spec.item, GIVEN_UP)
                instructions.append(run.fail(item))
        return instructions

    def _may_reuse(self, batch: Batch, spec: BatchItem, kept: ReusableText) -> bool:
        route = self._route_of(batch.header.host, spec.path)
        minimum = batch.header.minimum_version
        return self._policy.kept_text and may_reuse(kept.versions, minimum, route)
