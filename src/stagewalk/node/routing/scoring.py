"""The score of an engine for a request: the expected seconds from dispatch to the last token.

The sum of uncached prefill, queueing, decode, KV cache pressure and the penalty of another zone or
region, increased for an engine that has just begun to serve. The load is the engine's report,
corrected for this node's attempts. The constants are fields of `ScoreConfig`.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Placement
from stagewalk.node.core.completions import CompletionRequest
from stagewalk.node.routing.config import RouterConfig, ScoreConfig
from stagewalk.node.routing.engine_record import EngineRecord
from stagewalk.node.routing.prefix_index import PrefixBlockHashes, PrefixIndex

KV_PRESSURE_FACTOR = 10.0
"""Decode slowdown per unit of KV cache use above the threshold: with the default threshold of 0.9,
a full cache doubles the decode time."""


@dataclass(frozen=True, slots=True)
class RequestShape:
    """Properties of a request that its cost depends on, computed once for all engines.

    Attributes
    ----------
    prompt_tokens
        Estimated length of the prompt.
    answer_tokens
        Expected length of the answer.
    blocks
        Hashed blocks of the prompt.
    """

    prompt_tokens: float
    answer_tokens: float
    blocks: PrefixBlockHashes


def expected_tokens(request: CompletionRequest, config: ScoreConfig) -> float:
    """Return the expected length of an answer, in tokens."""
    bound = request.max_tokens * config.expected_answer_fraction
    return max(1.0, min(bound, config.expected_answer_tokens))


def shape_of(
    request: CompletionRequest, blocks: PrefixBlockHashes, config: RouterConfig
) -> RequestShape:
    """Return the shape of a request, given the hashed blocks of its prompt."""
    tokens = float(request.prompt_token_count)
    if tokens <= 0:
        tokens = len(request.prompt) / config.prefix_index.characters_per_token
    return RequestShape(tokens, expected_tokens(request, config.score), blocks)


@dataclass(slots=True)
class CompletionTimeModel:
    """Estimates how many seconds a request would take at an engine."""

    placement: Placement
    config: RouterConfig
    prefix_index: PrefixIndex

    def score(self, shape: RequestShape, record: EngineRecord, now: float) -> float:
        """Return the expected seconds from dispatch to the last token."""
        seconds = self._prefill_seconds(shape, record)
        seconds += self._queue_and_decode_seconds(shape, record)
        seconds *= self._slow_start(record, now)
        return seconds + self._placement_cost(record.machine.placement)

    def _prefill_seconds(self, shape: RequestShape, record: EngineRecord) -> float:
        cached = self.prefix_index.matched_tokens(record, shape.blocks)
        tokens = max(0.0, shape.prompt_tokens - cached)
        return tokens / self.config.score.prefill_tokens_per_second

    def _queue_and_decode_seconds(self, shape: RequestShape, record: EngineRecord) -> float:
        config = self.config.score
        report = record.report
        rate = record.sequence_rate or config.decode_tokens_per_second
        answer = shape.answer_tokens
        if report is None:
            return answer / rate
        sequences = record.load
        pending = max(0.0, report.pending_tokens + record.added_tokens)
        batch = max(1, report.batch_limit)
        fullness = min(1.0, (sequences + 1) / batch)
        decode = answer / rate * (1.0 + config.batch_slowdown * fullness)
        excess = sequences + 1 - batch
        if excess <= 0:
            return decode + self._kv_pressure(record, decode)
        mean_remaining = pending / sequences
        return decode + excess * mean_remaining / (rate * batch) + self._kv_pressure(record, decode)

    def _kv_pressure(self, record: EngineRecord, decode_seconds: float) -> float:
        """Return the expected delay from evictions at an engine whose KV cache is nearly full."""
        report = record.report
        if report is None or report.kv_capacity_tokens <= 0:
            return 0.0
        used = report.kv_used_tokens / report.kv_capacity_tokens
        excess = used - self.config.score.kv_pressure_threshold
        return max(0.0, excess) * KV_PRESSURE_FACTOR * decode_seconds

    def _slow_start(self, record: EngineRecord, now: float) -> float:
        """Return the score factor of an engine that began to serve lately, with cold caches."""
        config = self.config.score
        age = now - record.serving_since
        if age >= config.slow_start_seconds:
            return 1.0
        return 1.0 + config.slow_start_factor * (1.0 - age / config.slow_start_seconds)

    def _placement_cost(self, placement: Placement) -> float:
        if placement.region != self.placement.region:
            return self.config.score.region_cost_seconds
        if placement.zone != self.placement.zone:
            return self.config.score.zone_cost_seconds
        return 0.0
