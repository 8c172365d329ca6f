"""A continuously batching model engine as a pure state machine.

The simulation and the stand-in process run the same class. It does no I/O and reads no
clock: whoever drives it calls `advance` no later than `next_wakeup` and hands its outputs on.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict

from stagewalk.core.identities import (
    AttemptId,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    WeightVersion,
)
from stagewalk.core.platform import EngineOrder, EngineReport, EngineState
from stagewalk.history.answer_text import answer_length, content_key
from stagewalk.simulation.engine_messages import (
    Accepted,
    AttemptDone,
    AttemptPreempted,
    CacheEvent,
    Duplicate,
    EngineOutput,
    EngineRequest,
    KvSnapshot,
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
from stagewalk.simulation.engine_sequence import DecodeBatch, Sequence
from stagewalk.simulation.engine_weights import WeightHolder
from stagewalk.simulation.platform_settings import EngineSettings

ATTEMPTS_REMEMBERED = 8192
IMPORTS_KEPT = 64
STOPPED_RETRY_SECONDS = 5.0
QUEUE_RETRY_SECONDS = 1.0
ROUNDING_SECONDS = 1e-9
"""Work that would take less than this counts as done, so that time always moves on."""


class EngineModel:
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
        self._outputs: list[EngineOutput] = []
        self._known: OrderedDict[AttemptId, None] = OrderedDict()
        self._live: dict[AttemptId, Sequence] = {}
        self._waiting: list[Sequence] = []
        self._prefilling: list[Sequence] = []
        self._batch = DecodeBatch()
        self._imported: OrderedDict[str, KvSnapshot] = OrderedDict()
        self._cache = PrefixCache(
            settings.cache_event_lag_seconds, settings.cache_event_loss_fraction, generator
        )
        self._next_serial = 0
        self._next_chunk_at = math.inf
        self._leaving = False
        self._crashed = False
        self._report: EngineReport | None = None

    @property
    def state(self) -> EngineState:
        """Return what the engine truly is, without the lag of its reports."""
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
        return not self._live

    @property
    def crashed(self) -> bool:
        """Return whether the engine is dead for good."""
        return self._crashed

    def submit(self, request: EngineRequest, now: float) -> Submission:
        """Take an attempt, or say why it will not run."""
        self._move_to(now)
        if request.attempt in self._known:
            return Duplicate()
        refusal = self._refusal(request, now)
        if refusal is not None:
            return refusal
        self._known[request.attempt] = None
        if len(self._known) > ATTEMPTS_REMEMBERED:
            self._known.popitem(last=False)
        sequence = self._sequence(request)
        self._live[request.attempt] = sequence
        self._waiting.append(sequence)
        self._settle()
        return Accepted()

    def advance(self, now: float) -> list[EngineOutput]:
        """Let time pass until `now` and return everything that came out since the last call."""
        self._move_to(now)
        outputs, self._outputs = self._outputs, []
        return outputs

    def next_wakeup(self) -> float | None:
        """Return when `advance` must be called next if nothing else happens, or None for never."""
        if self._outputs:
            return self._time
        if self._crashed:
            return None
        wakeup = self._next_event()
        return None if wakeup == math.inf else wakeup

    def order(self, order: EngineOrder, now: float) -> OrderAnswer:
        """Take a fenced order; `ACCEPTED` means begun."""
        self._move_to(now)
        if self._leaving:
            return self.weights.refuse_leaving(order)
        self._flush()
        answer = self.weights.order(order, now)
        self._settle()
        return answer

    def stage_ended(self, version: WeightVersion, succeeded: bool, now: float) -> None:
        """Tell the engine that the fetch it began has ended."""
        self._move_to(now)
        self.weights.stage_ended(version, succeeded)

    def fail_next_activation(self) -> None:
        """Make the next swap of weights end on another version than ordered."""
        self.weights.fail_next_activation()

    def cancel(self, attempt: AttemptId, now: float) -> bool:
        """Stop an attempt; returns whether the engine ever knew it."""
        self._move_to(now)
        sequence = self._live.get(attempt)
        if sequence is not None:
            self._end(sequence, WorkOutcome.CANCELLED)
            self._settle()
        return attempt in self._known

    def leave(self, now: float) -> None:
        """Take no new work for good; what runs is finished."""
        self._move_to(now)
        self._leaving = True

    def crash(self, now: float) -> tuple[AttemptId, ...]:
        """Die at once and return the attempts cut off; no output follows."""
        self._move_to(now)
        cut = tuple(self._live)
        self._crashed = True
        self._live.clear()
        self._waiting.clear()
        self._prefilling.clear()
        self._batch = DecodeBatch()
        self._outputs.clear()
        return cut

    def report(self, now: float) -> EngineReport:
        """Return the engine's report, which is up to `report_lag_seconds` old."""
        self._move_to(now)
        self._refresh_report()
        assert self._report is not None
        return self._report

    def true_report(self) -> EngineReport:
        """Return the report of this moment, as only the checker may see it."""
        running = len(self._batch) + len(self._prefilling)
        rate = max(1, len(self._batch)) / self.settings.step_seconds(max(1, len(self._batch)))
        return EngineReport(
            engine=self.engine,
            incarnation=self.incarnation,
            model=self.model,
            state=self.state,
            active_version=self.weights.active_version,
            staged_versions=tuple(sorted(self.weights.staged_versions)),
            epoch=Epoch(self.weights.epoch),
            running=running,
            waiting=len(self._waiting),
            pending_tokens=sum(self._expected_tokens(each) for each in self._live.values()),
            tokens_per_second=rate,
            batch_limit=self.settings.batch_limit,
            kv_used_tokens=self._kv_used(),
            kv_capacity_tokens=self.settings.kv_capacity_tokens,
            generated_at=self._time,
        )

    def cache_events(self, after: int, now: float) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the changes of the prefix cache from sequence `after` on: late, with gaps."""
        return self._cache.events(after, now)

    def export_kv(self, attempt: AttemptId, now: float) -> KvSnapshot | None:
        """Return the KV cache of a decoding attempt."""
        self._move_to(now)
        self._flush()
        sequence = self._batch.sequences.get(attempt)
        if sequence is None:
            return None
        return KvSnapshot(sequence.content_key, sequence.prompt_tokens, sequence.held_tokens)

    def import_kv(self, snapshot: KvSnapshot, now: float) -> int:
        """Hold a KV cache for the attempt that will resume its answer; returns its tokens."""
        self._move_to(now)
        self._imported[snapshot.content_key] = snapshot
        self._imported.move_to_end(snapshot.content_key)
        if len(self._imported) > IMPORTS_KEPT:
            self._imported.popitem(last=False)
        return snapshot.prompt_tokens + snapshot.answer_tokens

    def _refusal(self, request: EngineRequest, now: float) -> Refused | None:
        if request.model != self.model:
            return Refused(f"model {request.model} is not held", STOPPED_RETRY_SECONDS)
        if self._crashed or self.state in (EngineState.LEAVING, EngineState.DRAINING):
            return Refused(f"engine is {self.state}", STOPPED_RETRY_SECONDS)
        if self.weights.activating:
            return Refused("engine is loading", self.weights.activation_ends_at - now)
        if len(self._waiting) >= self.settings.queue_limit:
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
        while not self._crashed:
            event_at = self._next_event()
            if event_at > now:
                break
            self._pass_time(event_at)
            self._settle()
        self._pass_time(max(now, self._time))

    def _next_event(self) -> float:
        if self.weights.activating:
            return max(self._time, self.weights.activation_ends_at)
        upcoming = self._next_chunk_at
        if self._prefilling:
            remaining = self._prefilling[0].prefill_tokens
            upcoming = min(
                upcoming, self._time + remaining / self.settings.prefill_tokens_per_second
            )
        tokens = self._batch.tokens_to_finish()
        if tokens != math.inf:
            upcoming = min(upcoming, self._time + tokens / self._decode_rate())
        return max(self._time, upcoming)

    def _decode_rate(self) -> float:
        rate = 1.0 / self.settings.step_seconds(len(self._batch))
        return rate * self.settings.prefill_decode_factor if self._prefilling else rate

    def _pass_time(self, until: float) -> None:
        elapsed = until - self._time
        self._time = until
        if elapsed <= 0.0 or self.weights.activating:
            return
        if len(self._batch):
            self._batch.progress += elapsed * self._decode_rate()
        if self._prefilling:
            done = elapsed * self.settings.prefill_tokens_per_second
            self._prefilling[0].prefill_tokens -= done

    def _settle(self) -> None:
        """Do everything that is due at this moment."""
        if self.weights.activating and self._time >= self.weights.activation_ends_at:
            self._cache.clear(self._time)
            self.weights.end_activation()
        self._outputs.extend(self.weights.take_outputs())
        if self.weights.activating:
            return
        if self._time >= self._next_chunk_at:
            self._flush()
            self._next_chunk_at = self._time + self.settings.chunk_seconds
        for sequence in self._batch.finished():
            self._end(sequence, WorkOutcome.FINISHED)
        self._finish_prefills()
        self._preempt()
        self._admit()
        self._schedule_chunks()

    def _schedule_chunks(self) -> None:
        if not len(self._batch):
            self._next_chunk_at = math.inf
        elif self._next_chunk_at == math.inf:
            self._next_chunk_at = self._time + self.settings.chunk_seconds

    def _flush(self) -> None:
        self._outputs.extend(self._batch.cut_chunks(self.weights.active_version))

    def _finish_prefills(self) -> None:
        least = ROUNDING_SECONDS * self.settings.prefill_tokens_per_second
        while self._prefilling and self._prefilling[0].prefill_tokens <= least:
            sequence = self._prefilling.pop(0)
            self._cache.store(sequence.prefix_hashes, self._time)
            self._batch.enter(sequence)
        self._cache.shrink_to(self.settings.kv_capacity_tokens - self._kv_used(), self._time)

    def _admit(self) -> None:
        while self._waiting:
            if len(self._batch) + len(self._prefilling) >= self.settings.batch_limit:
                return
            sequence = min(self._waiting, key=lambda each: each.rank)
            occupied = self._kv_used()
            room = self.settings.kv_capacity_tokens - occupied
            if occupied and sequence.kv_tokens > room:
                return
            self._waiting.remove(sequence)
            sequence.prefill_tokens = self._prefill_needed(sequence)
            self._prefilling.append(sequence)
            self._prefilling.sort(key=lambda each: each.rank)
            self._finish_prefills()

    def _prefill_needed(self, sequence: Sequence) -> float:
        snapshot = self._imported.pop(sequence.content_key, None)
        if snapshot is not None and snapshot.answer_tokens >= sequence.held_tokens:
            return 0.0
        cached = self._cache.match(sequence.prefix_hashes)
        return float(sequence.kv_tokens - cached)

    def _preempt(self) -> None:
        """Give the least urgent sequences' memory back until the others fit."""
        while len(self._batch) > 1 and self._kv_used() > self.settings.kv_capacity_tokens:
            victim = max(self._batch.sequences.values(), key=lambda each: each.rank)
            self._flush_one(victim)
            self._batch.remove(victim)
            self._waiting.append(victim)
            self._outputs.append(AttemptPreempted(victim.request.attempt))

    def _end(self, sequence: Sequence, outcome: WorkOutcome) -> None:
        attempt = sequence.request.attempt
        if attempt in self._batch.sequences:
            self._flush_one(sequence)
            self._batch.remove(sequence)
        elif sequence in self._prefilling:
            self._prefilling.remove(sequence)
        else:
            self._waiting.remove(sequence)
        del self._live[attempt]
        cut_short = sequence.total_tokens >= sequence.request.max_tokens
        self._outputs.append(
            AttemptDone(
                attempt,
                outcome,
                sequence.held_tokens,
                sequence.prompt_tokens,
                "length" if cut_short else "stop",
            )
        )

    def _flush_one(self, sequence: Sequence) -> None:
        chunk = sequence.cut_chunk(self._batch.made_tokens(sequence), self.weights.active_version)
        if chunk is not None:
            self._outputs.append(chunk)

    def _kv_used(self) -> int:
        decoding = sum(
            each.prompt_tokens + self._batch.made_tokens(each)
            for each in self._batch.sequences.values()
        )
        return decoding + sum(each.kv_tokens for each in self._prefilling)

    def _expected_tokens(self, sequence: Sequence) -> int:
        limit = min(sequence.request.max_tokens, self.settings.expected_answer_tokens)
        return max(limit - sequence.held_tokens, 1)

    def _refresh_report(self) -> None:
        lag = self.settings.report_lag_seconds
        if self._report is None or self._time - self._report.generated_at >= lag:
            self._report = self.true_report()
