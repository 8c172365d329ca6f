"""Few runs are stopped and steps end no later on machines of different and varying speed."""

from __future__ import annotations

import heapq
import itertools
import math
from random import Random

import testtools

from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    RecordItem,
    StartItem,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.records import ItemFinished
from stagewalk.gateway.batches.retry_rules import HTTP_OK
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.ports.workers import StreamEvent, StreamHead, WorkerLoad
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import RecordingLedger, batch_route, item, submitted
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.workers.support import announcement

ENGINES, SLOTS = 12, 6
STEPS, ITEMS = 6, 96
STEP_SECONDS = 4.0
TICK_SECONDS = 0.05
EVENT_SECONDS = 0.06
FASTEST, SLOWEST = 1.0, 1.3
SLOW_PACE, SLOW_SHARE, SLOW_SECONDS = 2.5, 0.15, 0.1
MEAN_EVENTS, SPREAD, MAXIMUM_EVENTS = 14.5, 0.84, 104
MAXIMUM_STOPPED_SHARE = 40 / 1584
"""Largest share of runs that may be stopped."""


class _Engine:
    """A machine with its own speed and random moments of slowness."""

    def __init__(self, name: str, factor: float, seed: int) -> None:
        self.name = name
        self.running: set[int] = set()
        self._factor = factor
        self._rng = Random(seed)
        self._until, self._pace = 0.0, 1.0

    def pace(self, now: float) -> float:
        while now >= self._until:
            self._pace = SLOW_PACE if self._pace == 1.0 else 1.0
            share = SLOW_SHARE if self._pace > 1.0 else 1.0 - SLOW_SHARE
            self._until += self._rng.expovariate(SLOW_SHARE / (SLOW_SECONDS * share))
        return self._pace

    def event_seconds(self, now: float) -> float:
        return EVENT_SECONDS * self._factor * self.pace(now) * self._rng.uniform(0.95, 1.05)

    def load(self, now: float) -> WorkerLoad:
        running = min(len(self.running), SLOTS)
        return WorkerLoad(running, len(self.running) - running, SLOTS, self.pace(now))


class _LoadSimulation:
    """A scheduler that runs steps on simulated machines, with a simulated clock."""

    def __init__(self, seed: int, policy: Policy) -> None:
        self._random = Random(seed)
        self._lengths: dict[str, int] = {}
        self._due: list[tuple[float, int, int]] = []
        self._order = itertools.count()
        self._generated: dict[int, tuple[StartItem, int]] = {}
        self.now, self.runs, self.stopped = 0.0, 0, 0
        self.begun: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        workers = WorkerTable(uses_reported_pace=policy.reported_pace)
        route = batch_route()
        spread = (SLOWEST - FASTEST) / (ENGINES - 1)
        self._engines = {}
        for n in range(ENGINES):
            name = f"e{n}"
            workers.announce(announcement(name, slots=SLOTS, versions={"m": 1}), 0.0)
            self._engines[name] = _Engine(name, FASTEST + n * spread, seed * 100 + n)
        self._scheduler = BatchScheduler(
            workers,
            lambda _host, _path: route,
            lambda _route: "scorers",
            unrestricted(workers, route),
            policy,
        )

    def run(self) -> None:
        ledger, step = RecordingLedger(), 0
        while step < STEPS or len(self.ended) < len(self.begun):
            if step < STEPS and self.now >= step * STEP_SECONDS:
                batch = ledger.open(submitted(*self._items(step), batch=f"b{step}"))
                self._execute(self._scheduler.open(batch, lambda _item: None, self.now))
                step += 1
            self._execute(self._scheduler.handle(Tick(), self.now))
            self._advance(self.now + TICK_SECONDS)

    def _items(self, step: int):
        for n in range(ITEMS):
            name = f"{step}-{n}"
            log_mean = math.log(MEAN_EVENTS) - SPREAD**2 / 2
            events = self._random.lognormvariate(log_mean, SPREAD)
            self._lengths[name] = max(1, min(MAXIMUM_EVENTS, round(events)))
            expected_tokens = self._lengths[name] * self._random.lognormvariate(0.0, 0.5)
            self.begun[name] = self.now
            yield item(name, max(1, round(expected_tokens)), group=f"{step}-{n // 8}")

    def _advance(self, until: float) -> None:
        while self._due and self._due[0][0] < until:
            self.now, _, attempt = heapq.heappop(self._due)
            if attempt in self._generated:
                self._event(attempt)
        self.now = until

    def _event(self, attempt: int) -> None:
        start, generated = self._generated[attempt]
        engine = self._engines[start.worker]
        if generated == (start.resume_after or 0):
            head = StreamHead(HTTP_OK, (), (1,), engine.load(self.now))
            self._execute(self._scheduler.handle(AttemptHead(attempt, head), self.now))
        generated += 1
        self._generated[attempt] = start, generated
        event = StreamEvent(generated, "text", None, b"")
        self._execute(self._scheduler.handle(AttemptEvent(attempt, event), self.now))
        if generated < self._lengths[start.item.item]:
            self._push(attempt, engine.event_seconds(self.now))
            return
        del self._generated[attempt]
        engine.running.discard(attempt)
        self._execute(self._scheduler.handle(AttemptEnded(attempt, HTTP_OK), self.now))

    def _push(self, attempt: int, seconds: float) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._order), attempt))

    def _execute(self, instructions) -> None:
        for instruction in instructions:
            match instruction:
                case StartItem():
                    self.runs += 1
                    engine = self._engines[instruction.worker]
                    engine.running.add(instruction.attempt)
                    self._generated[instruction.attempt] = (
                        instruction,
                        instruction.resume_after or 0,
                    )
                    self._push(instruction.attempt, engine.event_seconds(self.now))
                case StopItem():
                    self.stopped += 1
                    start, _ = self._generated.pop(instruction.attempt)
                    self._engines[start.worker].running.discard(instruction.attempt)
                case RecordItem(ItemFinished() as finished):
                    self.ended.setdefault(finished.item, self.now)

    def step_seconds(self) -> list[float]:
        """Return how long each step took until 90% of its items had their result."""
        steps = []
        for step in range(STEPS):
            names = [name for name in self.begun if name.startswith(f"{step}-")]
            durations = sorted(self.ended[name] - self.begun[name] for name in names)
            steps.append(durations[int(0.9 * len(durations))])
        return steps


def simulate(seed: int, policy: Policy = DEFAULT_POLICY) -> _LoadSimulation:
    simulation = _LoadSimulation(seed, policy)
    simulation.run()
    return simulation


class UnevenLoadTests(testtools.TestCase):
    def test_few_runs_are_stopped_and_steps_end_no_later_than_without_reported_pace(self) -> None:
        for seed in (1, 2, 3):
            paced, unpaced = simulate(seed), simulate(seed, Policy(reported_pace=False))
            self.assertLess(paced.stopped / paced.runs, MAXIMUM_STOPPED_SHARE, seed)
            self.assertLessEqual(sum(paced.step_seconds()), sum(unpaced.step_seconds()), seed)
