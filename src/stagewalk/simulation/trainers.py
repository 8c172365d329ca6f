"""Trainers: steps of rollouts, pulled with a cursor, trained on, published, and checkpointed.

Owns steps, cursors, checkpoints and the trainers' observations; relies on `client_calls` to reach
nodes.
"""

from __future__ import annotations

import random
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

import simpy

from stagewalk.common.errors import ErrorKind
from stagewalk.common.identities import SampleSlotKey, WeightVersion
from stagewalk.history.answer_text import answer_length, spans_from_text
from stagewalk.history.observations import (
    SampleAccepted,
    StepCompleted,
    StepStarted,
)
from stagewalk.node.core.events import LotSubmitted, SamplesRequested
from stagewalk.node.core.instructions import AcceptLot, DeliverSamples, FailCall
from stagewalk.node.core.rollouts import RolloutLot, RolloutPrompt, Sample, SamplePull, sample_seed
from stagewalk.simulation.client_calls import call_once, other_nodes
from stagewalk.simulation.engine_prefix_cache import prompt_token_count
from stagewalk.simulation.layout import TrainerLoad
from stagewalk.simulation.node_host import NodeHost
from stagewalk.simulation.platform_services import WeightStoreService
from stagewalk.simulation.platform_settings import EngineSettings
from stagewalk.simulation.prompts import PromptSource
from stagewalk.simulation.virtual_time import Scheduler, Steps, derived_generator
from stagewalk.simulation.witness import Witness

STEP_DEADLINE_SECONDS = 120.0
PULL_WAIT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 8.0
SAMPLES_PER_PULL = 64
RETRY_SECONDS = 0.5
RETRIES_BEFORE_FAILOVER = 2
SPONTANEOUS_NODE_CHANGE_FRACTION = 0.02
"""Fraction of pulls that switch to another node without a failure."""

FIRST_VERSION = WeightVersion(1)


@dataclass(frozen=True, slots=True)
class TrainerWorld:
    """Parts of the simulated world that trainers use."""

    seed: int
    scheduler: Scheduler
    witness: Witness
    nodes: Sequence[NodeHost]
    store: WeightStoreService
    engine_settings: EngineSettings


@dataclass(slots=True)
class Checkpoint:
    """A trainer's durable state, written atomically with each accepted sample."""

    step: int = 1
    version: WeightVersion = FIRST_VERSION
    cursor: str = ""
    held: int = 0


@dataclass(slots=True)
class StepNeed:
    """Least work of a step, for the offline bound on idle time."""

    tokens: int
    longest_tokens: int


@dataclass(slots=True)
class _Progress:
    """State that a crash loses."""

    node: NodeHost
    failures: int = 0
    submitted: set[int] = field(default_factory=set)


class Trainer:
    """One trainer; `needs` holds each completed step's need."""

    def __init__(
        self, world: TrainerWorld, load: TrainerLoad, home: NodeHost, generator: random.Random
    ) -> None:
        self.load = load
        self.needs: list[StepNeed] = []
        self._world = world
        self._home = home
        self._generator = generator
        self._checkpoint = Checkpoint()
        self._incarnation = 0
        self._running = False
        self._lots: dict[int, tuple[RolloutPrompt, ...]] = {}

    @property
    def name(self) -> str:
        """Return the trainer's name."""
        return self.load.trainer

    def start(self) -> None:
        """Start, or start again from the checkpoint."""
        if self._running:
            return
        self._running = True
        self._incarnation += 1
        self._world.scheduler.start(self._run(self._incarnation))

    def crash(self, restart_after_seconds: float) -> None:
        """Lose everything but the checkpoint."""
        self._running = False
        self._incarnation += 1
        self._world.scheduler.after(restart_after_seconds, self.start)

    def _run(self, incarnation: int) -> Steps:
        progress = _Progress(self._home)
        while self._incarnation == incarnation:
            waiting_since = self._world.scheduler.now
            step = self._checkpoint.step
            while self._incarnation == incarnation and not (
                yield from self._pull(incarnation, progress)
            ):
                pass
            if self._incarnation != incarnation:
                return
            idle_seconds = self._world.scheduler.now - waiting_since
            yield from self._train(incarnation, progress, step, idle_seconds)

    def _train(
        self, incarnation: int, progress: _Progress, step: int, idle_seconds: float
    ) -> Steps:
        """Train on a whole step and publish the next version."""
        if self.load.steps_ahead:
            yield from self._submit(incarnation, progress, step + 1)
        yield self._world.scheduler.sleep(self.load.training_seconds)
        if self._incarnation != incarnation:
            return
        self._world.witness.observe(
            StepCompleted(
                at=self._world.scheduler.now,
                tenant=self.load.tenant,
                trainer=self.name,
                step=step,
                idle_seconds=idle_seconds,
                training_seconds=self.load.training_seconds,
            )
        )
        self.needs.append(self._need(step))
        self._lots.pop(step, None)
        self._checkpoint = Checkpoint(step + 1, self._checkpoint.version)
        self._publish_next()

    def _pull(self, incarnation: int, progress: _Progress) -> Generator[simpy.Event, Any, bool]:
        """Pull once; return whether the step is whole."""
        checkpoint = self._checkpoint
        if checkpoint.step not in progress.submitted:
            yield from self._submit(incarnation, progress, checkpoint.step)
            return False
        if self._generator.random() < SPONTANEOUS_NODE_CHANGE_FRACTION:
            self._change_node(progress)
        answer = yield from call_once(
            self._world.scheduler,
            self._home.endpoint,
            progress.node,
            lambda call, node_time: SamplesRequested(
                call, self._pull_request(checkpoint, node_time + PULL_WAIT_SECONDS)
            ),
            CALL_TIMEOUT_SECONDS,
        )
        if self._incarnation != incarnation:
            return False
        match answer:
            case DeliverSamples(batch=batch):
                progress.failures = 0
                for sample in batch.samples:
                    self._accept(sample)
                checkpoint.cursor = batch.cursor
                checkpoint.held += len(batch.samples)
                if not batch.samples and not batch.complete:
                    yield self._world.scheduler.sleep(0.1)
                if not batch.complete and self._updates_early():
                    self._publish_next()
                return batch.complete
            case FailCall(error=error) if error.kind is ErrorKind.UNKNOWN_LOT:
                progress.submitted.discard(checkpoint.step)
            case _:
                yield from self._failed(progress)
        return False

    def _updates_early(self) -> bool:
        fraction = self.load.partial_update_fraction
        return fraction > 0.0 and self._generator.random() < fraction

    def _publish_next(self) -> None:
        self._checkpoint.version = WeightVersion(self._checkpoint.version + 1)
        self._world.store.publish(self.load.model, self._checkpoint.version)

    def _submit(self, incarnation: int, progress: _Progress, step: int) -> Steps:
        """Submit a step's lot until some node takes it."""
        self._record_started(step)
        while self._incarnation == incarnation:
            answer = yield from call_once(
                self._world.scheduler,
                self._home.endpoint,
                progress.node,
                lambda call, node_time: LotSubmitted(
                    call, self._lot(step, node_time + STEP_DEADLINE_SECONDS)
                ),
                CALL_TIMEOUT_SECONDS,
            )
            if isinstance(answer, AcceptLot):
                progress.submitted.add(step)
                return
            yield from self._failed(progress)

    def _failed(self, progress: _Progress) -> Steps:
        progress.failures += 1
        if progress.failures >= RETRIES_BEFORE_FAILOVER:
            progress.failures = 0
            self._change_node(progress)
        yield self._world.scheduler.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))

    def _change_node(self, progress: _Progress) -> None:
        progress.node = self._generator.choice(other_nodes(self._world.nodes, progress.node))

    def _pull_request(self, checkpoint: Checkpoint, wait_until: float) -> SamplePull:
        return SamplePull(
            tenant=self.load.tenant,
            trainer=self.name,
            step=checkpoint.step,
            cursor=checkpoint.cursor,
            trainer_version=checkpoint.version,
            max_samples=SAMPLES_PER_PULL,
            wait_until=wait_until,
        )

    def _lot(self, step: int, deadline: float) -> RolloutLot:
        return RolloutLot(
            tenant=self.load.tenant,
            trainer=self.name,
            step=step,
            model=self.load.model,
            trainer_version=self._checkpoint.version,
            prompts=self._prompts(step),
            samples_per_prompt=self.load.samples_per_prompt,
            deadline=deadline,
        )

    def _prompts(self, step: int) -> tuple[RolloutPrompt, ...]:
        """Return a step's prompts: the same whenever they are asked for."""
        if step not in self._lots:
            generator = derived_generator(self._world.seed, "prompts", self.name, step)
            source = PromptSource(f"{self.name} step {step}", 4, generator)
            texts = [source.draw() for _ in range(self.load.prompts_per_step)]
            self._lots[step] = tuple(
                RolloutPrompt(f"p{index}", text, self.load.max_tokens, prompt_token_count(text))
                for index, text in enumerate(texts)
            )
        return self._lots[step]

    def _record_started(self, step: int) -> None:
        self._world.witness.observe(
            StepStarted(
                at=self._world.scheduler.now,
                tenant=self.load.tenant,
                trainer=self.name,
                step=step,
                slots=self.load.slots_per_step,
            )
        )

    def _accept(self, sample: Sample) -> None:
        """Accept a delivered sample without validating it; the checker does that."""
        slot = sample.slot
        prompt = self._prompt(slot)
        spans = spans_from_text(sample.text)
        oldest = min((span.version for span in spans), default=WeightVersion(0))
        now = self._world.scheduler.now
        superseded_at = self._world.store.superseded_at(self.load.model, oldest)
        self._world.witness.observe(
            SampleAccepted(
                at=now,
                tenant=slot.tenant,
                trainer=slot.trainer,
                step=slot.step,
                prompt_id=slot.prompt_id,
                sample_index=slot.sample_index,
                sample_id=sample.sample_id,
                prompt=prompt,
                seed=sample_seed(slot),
                expected_tokens=self._length(prompt, slot),
                text=sample.text,
                spans=sample.spans,
                trainer_version=self._checkpoint.version,
                age_seconds=0.0 if superseded_at is None else now - superseded_at,
            )
        )

    def _prompt(self, slot: SampleSlotKey) -> str:
        """Return a slot's prompt, or nothing if the trainer never asked for it."""
        if slot.trainer != self.name:
            return ""
        prompts = self._prompts(slot.step)
        index = slot.prompt_id.removeprefix("p")
        known = index.isdecimal() and int(index) < len(prompts)
        return prompts[int(index)].prompt if known else ""

    def _length(self, prompt: str, slot: SampleSlotKey) -> int:
        lengths = self._world.engine_settings.lengths
        return answer_length(prompt, sample_seed(slot), self.load.max_tokens, lengths)

    def _need(self, step: int) -> StepNeed:
        lengths = [
            self._length(
                prompt.prompt,
                SampleSlotKey(self.load.tenant, self.name, step, prompt.prompt_id, index),
            )
            for prompt in self._prompts(step)
            for index in range(self.load.samples_per_prompt)
        ]
        return StepNeed(sum(lengths), max(lengths))
