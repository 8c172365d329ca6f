"""A continuously batching model engine as a pure state machine.

The simulation and the stand-in process run the same class. It does no I/O and reads no
clock: its driver calls `advance` no later than `next_wakeup` and carries out its outputs.

Owns admission of attempts, the lagging report and the order of events; relies on
`engine_scheduler` for the batch, `engine_weights` for versions and orders, `engine_prefix_cache`
for cached prompts.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import replace

from stagewalk.common.identities import (
    AttemptId,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    WeightVersion,
)
from stagewalk.history.answer_text import answer_length, content_key
from stagewalk.node.core.platform import EngineOrder, EngineReport, EngineState
from stagewalk.simulation.engine_messages import (
    Accepted,
    CacheEvent,
    Duplicate,
    EngineOutput,
    EngineRequest,
    OrderAnswer,
    Refused,
    Submission,
    WorkOutcome,
)
from stagewalk.simulation.engine_prefix_cache import (
    PrefixCache,
    prefix_hashes,
    prompt_token_count,
)
from stagewalk.simulation.engine_scheduler import BatchScheduler
from stagewalk.simulation.engine_sequence import Sequence
from stagewalk.simulation.engine_weights import WeightHolder
from stagewalk.simulation.platform_settings import EngineSettings

ATTEMPTS_REMEMBERED = 8192
STOPPED_RETRY_SECONDS = 5.0
QUEUE_RETRY_SECONDS = 1.0


class SimulatedEngine:
    """One engine, from its start to its crash or end.

    Parameters
    ----------
    generator
        Decides failures of activations and gaps of cache events.
    started_at
        Time of its start, seconds; no later call may name an earlier time.
    """

    def __init__(
        self,
        settings: EngineSettings,
        *,
        engine: EngineName,
        incarnation: Incarnation,
        model: ModelName,
        active_version: WeightVersion,
        generator: random.Random,
        started_at: float,
    ) -> None:
        self.settings = settings
        self.engine = engine
        self.incarnation = incarnation
        self.model = model
        self.weights = WeightHolder(settings, model, active_version, generator)
        self._time = started_at
        self._next_event_at = math.inf
        self._known: OrderedDict[AttemptId, None] = OrderedDict()
        self._cache = PrefixCache(
            settings.cache_event_lag_seconds, settings.cache_event_loss_fraction, generator
        )
        self._scheduler = BatchScheduler(settings, self._cache)
        self._next_serial = 0
        self._leaving = False
        self._crashed = False
        self._report = self.true_report()
        self._report_due_at = started_at + settings.report_lag_seconds

    @property
    def state(self) -> EngineState:
        """Return the engine's current state, without the lag of its reports."""
        if self._leaving:
            return EngineState.LEAVING
        if self.weights.draining:
            return EngineState.DRAINING
        if self.weights.activating:
            return EngineState.LOADING
        return EngineState.SERVING

    @property
    def idle(self) -> bool:
        """Return whether no attempt is running or waiting."""
        return not self._scheduler.live

    @property
    def crashed(self) -> bool:
        """Return whether the engine has crashed."""
        return self._crashed

    def submit(self, request: EngineRequest, now: float) -> Submission:
        """Accept an attempt, or return why it will not run."""
        self._move_to(now)
        if request.attempt in self._known:
            return Duplicate()
        refusal = self._refusal(request, now)
        if refusal is not None:
            return refusal
        self._known[request.attempt] = None
        if len(self._known) > ATTEMPTS_REMEMBERED:
            self._known.popitem(last=False)
        self._scheduler.add(self._sequence(request))
        self._settle()
        return Accepted()

    def advance(self, now: float) -> list[EngineOutput]:
        """Advance to `now` and return all outputs since the last call."""
        self._move_to(now)
        outputs, self._scheduler.outputs = self._scheduler.outputs, []
        return outputs

    def next_wakeup(self) -> float | None:
        """Return when `advance` must be called next if nothing else happens, or None for never."""
        if self._scheduler.outputs:
            return self._time
        if self._crashed or self._next_event_at == math.inf:
            return None
        return max(self._time, self._next_event_at)

    def order(self, order: EngineOrder, now: float) -> OrderAnswer:
        """Handle a fenced order; `ACCEPTED` means begun."""
        self._move_to(now)
        if self._leaving:
            return self.weights.refuse_leaving(order)
        self._scheduler.flush(self.weights.active_version)
        answer = self.weights.order(order, now)
        self._settle()
        return answer

    def stage_ended(self, version: WeightVersion, succeeded: bool, now: float) -> None:
        """Record the end of the fetch that the engine began."""
        self._move_to(now)
        self.weights.stage_ended(version, succeeded)

    def fail_next_activation(self) -> None:
        """Make the next swap of weights end on another version than ordered."""
        self.weights.fail_next_activation()

    def cancel(self, attempt: AttemptId, now: float) -> bool:
        """Stop an attempt; returns whether the engine ever knew it."""
        self._move_to(now)
        sequence = self._scheduler.live.get(attempt)
        if sequence is not None:
            self._scheduler.end(sequence, WorkOutcome.CANCELLED, self.weights.active_version)
            self._settle()
        return attempt in self._known

    def leave(self, now: float) -> None:
        """Refuse all new attempts from now on; accepted ones are finished."""
        self._move_to(now)
        self._leaving = True

    def crash(self, now: float) -> tuple[AttemptId, ...]:
        """Crash at once and return the interrupted attempts; no output follows."""
        self._move_to(now)
        cut = tuple(self._scheduler.live)
        self._crashed = True
        self._scheduler = BatchScheduler(self.settings, self._cache)
        return cut

    def report(self, now: float) -> EngineReport:
        """Return the engine's report, which is up to `report_lag_seconds` old."""
        self._move_to(now)
        return self._report

    def true_report(self) -> EngineReport:
        """Return an up-to-date report, without the lag that nodes see."""
        live = self._scheduler.live.values()
        return EngineReport(
            engine=self.engine,
            incarnation=self.incarnation,
            model=self.model,
            state=self.state,
            active_version=self.weights.active_version,
            staged_versions=tuple(sorted(self.weights.staged_versions)),
            epoch=Epoch(self.weights.epoch),
            running=self._scheduler.running_count,
            waiting=self._scheduler.waiting_count,
            pending_tokens=sum(self._expected_tokens(each) for each in live),
            tokens_per_second=self._scheduler.tokens_per_second,
            batch_limit=self.settings.batch_limit,
            kv_used_tokens=self._scheduler.kv_used_tokens(),
            kv_capacity_tokens=self.settings.kv_capacity_tokens,
            generated_at=self._time,
        )

    def cache_events(self, after: int, now: float) -> tuple[tuple[CacheEvent, ...], int]:
        """Return changes of the prefix cache from sequence `after` on, delayed and with gaps."""
        return self._cache.events(after, now)

    def _refusal(self, request: EngineRequest, now: float) -> Refused | None:
        if request.model != self.model:
            return Refused(f"model {request.model} is not held", STOPPED_RETRY_SECONDS)
        if self._crashed or self.state in (EngineState.LEAVING, EngineState.DRAINING):
            return Refused(f"engine is {self.state}", STOPPED_RETRY_SECONDS)
        if self.weights.activating:
            return Refused("engine is loading", self.weights.activation_ends_at - now)
        if self._scheduler.waiting_count >= self.settings.queue_limit:
            return Refused("queue is full", QUEUE_RETRY_SECONDS)
        return None

    def _sequence(self, request: EngineRequest) -> Sequence:
        total = answer_length(
            request.prompt, request.seed, request.max_tokens, self.settings.lengths
        )
        self._next_serial += 1
        return Sequence(
            request=request,
            serial=self._next_serial,
            content_key=content_key(request.prompt, request.seed),
            prompt_tokens=prompt_token_count(request.prompt),
            prefix_hashes=prefix_hashes(request.prompt),
            total_tokens=total,
            held_tokens=min(request.resume_offset, total),
        )

    def _move_to(self, now: float) -> None:
        self._refresh_report(now)
        while self._next_event_at <= now and not self._crashed:
            self._pass_time(max(self._time, self._next_event_at))
            self._settle()
        self._pass_time(max(now, self._time))

    def _pass_time(self, until: float) -> None:
        elapsed = until - self._time
        self._time = until
        if not self.weights.activating:
            self._scheduler.pass_time(elapsed)

    def _settle(self) -> None:
        """Carry out everything that is due at this moment."""
        if self.weights.activating and self._time >= self.weights.activation_ends_at:
            self._cache.clear(self._time)
            self.weights.end_activation()
        self._scheduler.outputs.extend(self.weights.take_outputs())
        if self.weights.activating:
            self._next_event_at = self.weights.activation_ends_at
            return
        self._scheduler.settle(self._time, self.weights.active_version)
        self._next_event_at = self._time + self._scheduler.seconds_to_next_event(self._time)

    def _expected_tokens(self, sequence: Sequence) -> int:
        limit = min(sequence.request.max_tokens, self.settings.expected_answer_tokens)
        return max(limit - sequence.held_tokens, 1)

    def _refresh_report(self, now: float) -> None:
        """Renew the report served from now on: the state before this moment's change."""
        lag = self.settings.report_lag_seconds
        if now >= self._report_due_at:
            generated_at = max(self._time, now - lag)
            self._report = replace(self.true_report(), generated_at=generated_at)
            self._report_due_at = now + lag
