"""Continuous batching: which of an engine's attempts wait, are prefilled or decode.

Owns queue, prefills and batch of one engine; relies on `engine_sequence` for progress within the
batch and on `engine_prefix_cache` for tokens that need no prefill.
"""

from __future__ import annotations

import math

from stagewalk.common.identities import AttemptId, WeightVersion
from stagewalk.simulation.engine_messages import (
    AttemptDone,
    AttemptPreempted,
    EngineOutput,
    WorkOutcome,
)
from stagewalk.simulation.engine_prefix_cache import PrefixCache
from stagewalk.simulation.engine_sequence import DecodeBatch, Sequence
from stagewalk.simulation.platform_settings import EngineSettings

ADMISSION_RESERVE_FRACTION = 0.02
"""Part of the KV cache left free on admission, so that the batch can grow for a while."""
ROUNDING_SECONDS = 1e-6
"""Prefill that would take less than this counts as done, so that time always advances."""


class BatchScheduler:
    """Continuous batching of one engine.

    The caller advances time in steps no longer than `seconds_to_next_event` and calls
    `settle` after each; outputs gather in `outputs`.
    """

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self.live: dict[AttemptId, Sequence] = {}
        self.outputs: list[EngineOutput] = []
        self._settings = settings
        self._cache = cache
        self._waiting: list[Sequence] = []
        self._prefilling: list[Sequence] = []
        self._batch = DecodeBatch()
        self._next_chunk_at = math.inf
        self._reserve_tokens = round(ADMISSION_RESERVE_FRACTION * settings.kv_capacity_tokens)

    @property
    def running_count(self) -> int:
        """Return the size of the batch, sequences in prefill included."""
        return len(self._batch) + len(self._prefilling)

    @property
    def waiting_count(self) -> int:
        """Return how many attempts wait for the batch."""
        return len(self._waiting)

    @property
    def tokens_per_second(self) -> float:
        """Return the rate of the whole batch, or of a lone sequence if nothing decodes."""
        sequences = max(1, len(self._batch))
        return sequences / self._settings.step_seconds(sequences)

    def add(self, sequence: Sequence) -> None:
        """Queue an attempt."""
        self.live[sequence.request.attempt] = sequence
        self._waiting.append(sequence)

    def end(self, sequence: Sequence, outcome: WorkOutcome, version: WeightVersion) -> None:
        """Remove an attempt, wherever it is, and emit its outcome."""
        attempt = sequence.request.attempt
        if attempt in self._batch.sequences:
            self._leave_batch(sequence, version)
        elif sequence in self._prefilling:
            self._prefilling.remove(sequence)
        else:
            self._waiting.remove(sequence)
        del self.live[attempt]
        at_limit = sequence.total_tokens >= sequence.request.max_tokens
        self.outputs.append(
            AttemptDone(
                attempt=attempt,
                outcome=outcome,
                token_count=sequence.held_tokens,
                prompt_tokens=sequence.prompt_tokens,
                finish_reason="length" if at_limit else "stop",
            )
        )

    def flush(self, version: WeightVersion) -> None:
        """Send the tokens made so far; `version` made them."""
        self.outputs.extend(self._batch.cut_chunks(version))

    def kv_used_tokens(self) -> int:
        """Return what the batch holds of the KV cache."""
        return self._batch.kv_tokens() + sum(each.kv_tokens for each in self._prefilling)

    def seconds_to_next_event(self, now: float) -> float:
        """Return the seconds until `settle` is next needed, or infinity."""
        seconds = self._next_chunk_at - now
        if self._prefilling:
            tokens = self._prefilling[0].prefill_tokens
            seconds = min(seconds, tokens / self._settings.prefill_tokens_per_second)
        if len(self._batch):
            seconds = min(seconds, self._batch.tokens_to_finish() / self._decode_rate())
        return max(0.0, seconds)

    def pass_time(self, seconds: float) -> None:
        """Advance the batch by a time."""
        if len(self._batch):
            self._batch.progress += seconds * self._decode_rate()
        if self._prefilling:
            done = seconds * self._settings.prefill_tokens_per_second
            self._prefilling[0].prefill_tokens -= done

    def settle(self, now: float, version: WeightVersion) -> None:
        """Carry out what is due: chunks, completions, prefills, preemption, admission."""
        if now >= self._next_chunk_at:
            self.flush(version)
            self._next_chunk_at = now + self._settings.chunk_seconds
        for sequence in self._batch.finished():
            self.end(sequence, WorkOutcome.FINISHED, version)
        self._finish_prefills(now)
        self._preempt(version)
        self._admit(now)
        if not len(self._batch):
            self._next_chunk_at = math.inf
        elif self._next_chunk_at == math.inf:
            self._next_chunk_at = now + self._settings.chunk_seconds

    def _decode_rate(self) -> float:
        rate = 1.0 / self._settings.step_seconds(len(self._batch))
        return rate * self._settings.prefill_decode_factor if self._prefilling else rate

    def _finish_prefills(self, now: float) -> None:
        least = ROUNDING_SECONDS * self._settings.prefill_tokens_per_second
        while self._prefilling and self._prefilling[0].prefill_tokens <= least:
            sequence = self._prefilling.pop(0)
            self._cache.store(sequence.prefix_hashes, now)
            self._batch.enter(sequence)
        self._cache.shrink_to(self._settings.kv_capacity_tokens - self.kv_used_tokens(), now)

    def _preempt(self, version: WeightVersion) -> None:
        """Preempt the least urgent sequences until the others fit into memory."""
        while len(self._batch) > 1 and self.kv_used_tokens() > self._settings.kv_capacity_tokens:
            victim = max(self._batch.sequences.values(), key=lambda each: each.rank)
            self._leave_batch(victim, version)
            self._waiting.append(victim)
            self.outputs.append(AttemptPreempted(victim.request.attempt))

    def _leave_batch(self, sequence: Sequence, version: WeightVersion) -> None:
        chunk = sequence.cut_chunk(self._batch.made_tokens(sequence), version)
        if chunk is not None:
            self.outputs.append(chunk)
        self._batch.remove(sequence)

    def _admit(self, now: float) -> None:
        while self._waiting and self.running_count < self._settings.batch_limit:
            sequence = min(self._waiting, key=lambda each: each.rank)
            if not self._fits(sequence):
                return
            self._waiting.remove(sequence)
            sequence.prefill_tokens = self._prefill_needed(sequence)
            self._prefilling.append(sequence)
            self._prefilling.sort(key=lambda each: each.rank)
            self._finish_prefills(now)

    def _fits(self, sequence: Sequence) -> bool:
        """Return whether there is room; an idle engine takes even an overlong sequence."""
        room = self._settings.kv_capacity_tokens - self.kv_used_tokens() - self._reserve_tokens
        return self.running_count == 0 or sequence.kv_tokens <= room

    def _prefill_needed(self, sequence: Sequence) -> float:
        """Return how many tokens must be read before the sequence decodes."""
        return float(sequence.kv_tokens - self._cache.match(sequence.prefix_hashes))
