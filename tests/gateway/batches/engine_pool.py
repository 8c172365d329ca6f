"""Simulates schedulers and engines that run, queue and preempt items within a bounded memory.

Time advances in steps of `STEP_SECONDS`. Several schedulers, one for each trainer, share the
engines and learn of each other only from the loads reported with response heads.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    RecordItem,
    SchedulerEvent,
    SchedulerInstruction,
    StartItem,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.prompt import Prompt, PromptPart
from stagewalk.gateway.batches.records import BatchItem, ItemFinished
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.ports.workers import StreamEvent, StreamHead, WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import RecordingLedger, batch_route, submitted
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.workers.support import announcement

STEP_SECONDS = 0.01
TICK_STEPS = 5
ZONES = ("z1", "z2", "z3")
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Engines and items of a simulated deployment."""

    engines: int = 24
    slots: int = 6
    memory_tokens: int = 27_650
    tokens_per_event: int = 59
    event_seconds: float = 0.05
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2)
    """Factors of the usual time per event, assigned to engines in turn."""
    prompt_tokens: int = 260
    mean_events: float = 14.5
    maximum_events: int = 104
    groups: tuple[tuple[int, int], ...] = ((12, 8), (4, 16), (12, 8))
    """Number of groups in a batch and items in a group, by trainer."""
    step_interval_seconds: float = 4.0
    expected_tokens_spread: float = 0.6


@dataclass(slots=True)
class Run:
    """An attempt at an engine."""

    trainer: int
    attempt: int
    item: BatchItem
    events: int
    generated: float
    order: int
    begun: bool = False


@dataclass(slots=True)
class Engine:
    """An engine that preempts its newest runs if out of memory, and resumes them later."""

    name: str
    speed: float
    running: list[Run] = field(default_factory=list)
    queue: list[Run] = field(default_factory=list)
    preempted: int = 0
    slowdown: float = 1.0


class EnginePool:
    """Engines, the trainers' schedulers and the results of their steps."""

    def __init__(self, config: PoolConfig, seed: int, policy: Policy = DEFAULT_POLICY) -> None:
        self.config = config
        self.now = 0.0
        self.random = random.Random(seed)
        self.engines = {
            f"e{i}": Engine(f"e{i}", config.speeds[i % len(config.speeds)])
            for i in range(config.engines)
        }
        self.lengths: dict[str, int] = {}
        self.steps: dict[str, Step] = {}
        self.ended_at: dict[str, float] = {}
        """When the text of each item was complete."""
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._runs: dict[tuple[int, int], tuple[Engine, Run]] = {}
        self._trainers = [Trainer(self, number, policy) for number in range(len(config.groups))]

    @property
    def runs(self) -> list[tuple[Engine, Run]]:
        """Return the attempts at engines, including queued ones."""
        return list(self._runs.values())

    def pace(self, engine: Engine) -> float:
        """Return an engine's current seconds per event."""
        usual = self.config.event_seconds * engine.speed * engine.slowdown
        return usual * (1 + 0.03 * len(engine.running))

    @property
    def preempted(self) -> int:
        """Return the number of preempted runs."""
        return sum(engine.preempted for engine in self.engines.values())

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._due, (seconds, next(self._numbers), action))

    def run_steps(self, steps: int) -> None:
        """Submit a number of steps of each trainer and run until all are complete."""
        for step in range(steps):
            for trainer in self._trainers:
                offset = 0.3 * trainer.number
                self.at(step * self.config.step_interval_seconds + offset, trainer.next_step)
        for count in itertools.count():
            self.now = count * STEP_SECONDS
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            if count % TICK_STEPS == 0:
                for trainer in self._trainers:
                    trainer.handle(Tick())
            for engine in self.engines.values():
                self._advance(engine)
            if not self._due and all(step.remaining == 0 for step in self.steps.values()):
                return
            assert self.now < 300.0, "items never end"

    def start(self, trainer: int, start: StartItem) -> None:
        """Queue an attempt at an engine."""
        engine = self.engines[start.worker]
        generated = float(start.resume_after or 0)
        length = self.lengths[start.item.item]
        run = Run(trainer, start.attempt, start.item, length, generated, next(self._numbers))
        self._runs[trainer, start.attempt] = engine, run
        engine.queue.append(run)

    def stop(self, trainer: int, attempt: int) -> None:
        """Remove an attempt from its engine."""
        engine, run = self._runs.pop((trainer, attempt))
        for runs in (engine.running, engine.queue):
            if run in runs:
                runs.remove(run)

    def _tokens(self, runs: Sequence[Run]) -> int:
        groups = {run.item.group for run in runs}
        texts = sum(math.ceil(run.generated) for run in runs) * self.config.tokens_per_event
        return len(groups) * self.config.prompt_tokens + 16 * len(runs) + texts

    def _advance(self, engine: Engine) -> None:
        config = self.config
        while engine.queue and len(engine.running) < config.slots:
            if self._tokens([*engine.running, engine.queue[0]]) > config.memory_tokens:
                break
            engine.running.append(engine.queue.pop(0))
        pace = self.pace(engine)
        for run in list(engine.running):
            if run in engine.running:
                self._generate(engine, run, STEP_SECONDS / pace)
        while self._tokens(engine.running) > config.memory_tokens and len(engine.running) > 1:
            newest = max(engine.running, key=lambda run: run.order)
            engine.running.remove(newest)
            engine.queue.insert(0, newest)
            engine.preempted += 1

    def _generate(self, engine: Engine, run: Run, events: float) -> None:
        trainer = self._trainers[run.trainer]
        before = math.floor(run.generated)
        run.generated = min(float(run.events), run.generated + events)
        if not run.begun:
            run.begun = True
            load = WorkerLoad(len(engine.running), len(engine.queue), self.config.slots)
            trainer.handle(AttemptHead(run.attempt, StreamHead(HTTP_OK, (), (1,), load)))
        for number in range(before + 1, math.floor(run.generated) + 1):
            if (run.trainer, run.attempt) in self._runs:
                event = StreamEvent(number, "text", None, b"")
                trainer.handle(AttemptEvent(run.attempt, event))
        if run.generated >= run.events and (run.trainer, run.attempt) in self._runs:
            self.stop(run.trainer, run.attempt)
            self.ended_at[run.item.item] = self.now
            trainer.handle(AttemptEnded(run.attempt, HTTP_OK))


@dataclass(slots=True)
class Step:
    """The progress of a trainer's batch."""

    submitted_at: float
    groups: dict[str, int]
    """Number of items without a result, by group."""
    completed_at: list[float] = field(default_factory=list)
    """When each group was complete."""

    @property
    def remaining(self) -> int:
        """Return the number of items without a result."""
        return sum(self.groups.values())

    def seconds(self, share: float = 0.9) -> float:
        """Return how long the share of groups took that the trainer waits for."""
        return (
            sorted(self.completed_at)[math.ceil(share * len(self.groups)) - 1] - self.submitted_at
        )


class Trainer:
    """A trainer's batches, run by its own scheduler."""

    def __init__(self, pool: EnginePool, number: int, policy: Policy) -> None:
        self.number = number
        self._pool = pool
        self._step = 0
        config = pool.config
        self.workers = WorkerTable()
        for i, name in enumerate(pool.engines):
            entry = announcement(name, zone=ZONES[i % 3], slots=config.slots, versions={"m": 1})
            self.workers.announce(entry, 0.0)
        route = batch_route()
        limits = EngineLimits(config.memory_tokens, config.tokens_per_event)
        self.scheduler = BatchScheduler(
            self.workers,
            lambda _host, _path: route,
            lambda _route: "scorers",
            unrestricted(self.workers, route),
            policy,
            service=lambda name: Service(name, engine=limits),
            prompt_of=self._prompt_of,
        )
        self._ledger = RecordingLedger()

    def next_step(self) -> None:
        """Submit the next batch."""
        config, rng = self._pool.config, self._pool.random
        name = f"t{self.number}-{self._step}"
        self._step += 1
        groups, group_size = config.groups[self.number]
        items: list[BatchItem] = []
        for group in range(groups):
            for number in range(group_size):
                item = f"{name}-{group}-{number}"
                length = self._pool.lengths[item] = _length(config, rng)
                expected_tokens = (
                    length
                    * config.tokens_per_event
                    * rng.lognormvariate(0.0, config.expected_tokens_spread)
                )
                group_name = f"{name}-{group}"
                items.append(
                    BatchItem(
                        item, f"/run/{item}", (), b"", group_name, "m", round(expected_tokens)
                    )
                )
        counts = {f"{name}-{group}": group_size for group in range(groups)}
        self._pool.steps[name] = Step(self._pool.now, counts)
        batch = self._ledger.open(submitted(*items, batch=name))
        find = self._ledger.ledger.reusable_text
        self._execute(self.scheduler.open(batch, find, self._pool.now))
        self.handle(Tick())

    def handle(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler."""
        self._execute(self.scheduler.handle(event, self._pool.now))

    def _execute(self, instructions: Sequence[SchedulerInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, StartItem):
                self._pool.start(self.number, instruction)
            elif isinstance(instruction, StopItem):
                self._pool.stop(self.number, instruction.attempt)
            elif isinstance(instruction, RecordItem):
                self._record(instruction)

    def _record(self, instruction: RecordItem) -> None:
        record = instruction.record
        if not isinstance(record, ItemFinished):
            return
        assert record.succeeded, record
        step = self._pool.steps[record.batch]
        group = record.item.rpartition("-")[0]
        step.groups[group] -= 1
        if step.groups[group] == 0:
            step.completed_at.append(self._pool.now)
        self._execute(self.scheduler.listed(record.batch, record.item))
        if step.remaining == 0:
            self._execute(self.scheduler.close(record.batch, "ended"))

    def _prompt_of(self, item: BatchItem) -> Prompt:
        config = self._pool.config
        parts = PromptPart(item.group, config.prompt_tokens), PromptPart(item.item, 16)
        return Prompt(parts, config.maximum_events * config.tokens_per_event)


def _length(config: PoolConfig, rng: random.Random) -> int:
    """Return a random length in events, from a long-tailed distribution."""
    spread = 0.84
    length = config.mean_events * rng.lognormvariate(-spread * spread / 2, spread)
    if rng.random() < 0.08:
        length *= 5.0
    return max(2, min(config.maximum_events, round(length)))
