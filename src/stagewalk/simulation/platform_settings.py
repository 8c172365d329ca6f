"""Parameters of the platform's models, shared by the simulation and the stand-ins.

Units stand in the names; a field without a unit is a count or a fraction.

Owns the default values, which resemble an engine's.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.history.answer_text import DEFAULT_LENGTHS, LengthDistribution


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """How a model engine performs.

    One decoding step of the whole batch lasts `step_base_seconds` plus
    `step_seconds_per_sequence` for each of its sequences, so each sequence slows down as
    the batch grows while the batch as a whole gets faster.

    Attributes
    ----------
    batch_limit
        Most sequences in the batch, those in prefill included.
    queue_limit
        Most attempts waiting for the batch; beyond it new work is refused.
    prefill_tokens_per_second
        Rate at which uncached prompt tokens are read, one sequence at a time.
    prefill_decode_factor
        Fraction of its speed that decoding keeps while a prefill runs.
    kv_capacity_tokens
        KV cache; what the batch leaves free holds cached prefixes.
    chunk_seconds
        Interval at which the tokens made so far are sent.
    activation_seconds
        How long a swap of weights halts the engine.
    activation_failure_fraction
        Fraction of swaps that end on another version than ordered.
    staged_limit
        Most versions held ready beside the active one.
    report_lag_seconds
        Largest age of a report.
    cache_event_lag_seconds, cache_event_loss_fraction
        Delay of cache events, and the fraction of them lost.
    expected_answer_tokens
        Assumed answer length in a report's `pending_tokens`.
    lengths
        True lengths of answers.
    """

    batch_limit: int = 32
    queue_limit: int = 64
    step_base_seconds: float = 0.020
    step_seconds_per_sequence: float = 0.0005
    prefill_tokens_per_second: float = 8000.0
    prefill_decode_factor: float = 0.5
    kv_capacity_tokens: int = 65536
    chunk_seconds: float = 0.25
    activation_seconds: float = 1.0
    activation_failure_fraction: float = 0.0
    staged_limit: int = 2
    report_lag_seconds: float = 1.0
    cache_event_lag_seconds: float = 2.0
    cache_event_loss_fraction: float = 0.02
    expected_answer_tokens: int = 160
    lengths: LengthDistribution = DEFAULT_LENGTHS

    def step_seconds(self, sequences: int) -> float:
        """Return how long the batch takes for one token of each of its sequences."""
        return self.step_base_seconds + self.step_seconds_per_sequence * sequences
