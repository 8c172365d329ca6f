"""Parameters of the engine table and the router."""

from __future__ import annotations

from dataclasses import dataclass, field

USABLE_POLL_FRACTION = 0.75
"""Fraction of the polls within `evidence_seconds` that the subset size is planned for, so that one
poll in four may be lost."""


@dataclass(frozen=True, slots=True)
class EngineTableConfig:
    """How engine reports are polled and how long they remain valid.

    Attributes
    ----------
    subset_size
        Engines of each service this node routes to; a smaller pool is used whole. Fewer are
        used when the polling budget can't keep the reports of so many engines fresh.
    poll_interval_seconds
        Time between two polls of one engine, if the budget allows.
    idle_poll_interval_seconds, idle_after_seconds
        Poll interval of an idle node, and how long it must have routed nothing to count as
        idle. The interval must be shorter than `evidence_seconds`.
    polls_per_second
        Polling budget over all engines; a larger subset is polled less often.
    large_polls_per_second, large_deployment_engines
        The budget when more engines than that are listed: such a deployment has many nodes,
        and each has little CPU time and bandwidth for control traffic. What a poll costs is
        in docs/design/0161-choices.md.
    poll_timeout_seconds
        Timeout of a poll, after which it may be sent again.
    evidence_seconds
        How long a report is valid, counted from when its poll was sent: five poll intervals,
        and more than an idle node's interval.
    local_zone_weight, local_region_weight
        Weights in rendezvous hashing of engines in this node's zone and region, relative to 1
        for all others.
    refusal_pause_seconds
        Longest time an engine gets no work after a refusal once a newer report says that it
        serves; until such a report it gets none in any case.
    report_lag_seconds
        How much older than its poll a report may be and still be valid for the full time. An
        older one, as from an engine that no longer updates its report, expires sooner.
    clock_drift_fraction
        Largest drift rate assumed between this node's clock and an engine's.
    clock_step_seconds
        If a report is older than the previous one by more than this, the engine's clock is
        assumed to have been set back.
    """

    subset_size: int = 16
    poll_interval_seconds: float = 0.5
    polls_per_second: float = 16.0
    large_polls_per_second: float = 4.0
    large_deployment_engines: int = 100
    idle_poll_interval_seconds: float = 1.5
    idle_after_seconds: float = 10.0
    poll_timeout_seconds: float = 1.5
    evidence_seconds: float = 2.5
    local_zone_weight: float = 4.0
    local_region_weight: float = 2.0
    refusal_pause_seconds: float = 1.0
    report_lag_seconds: float = 0.5
    clock_drift_fraction: float = 1e-4
    clock_step_seconds: float = 2.0

    def __post_init__(self) -> None:
        if self.subset_size < 1:
            raise ValueError("subset_size must be at least 1")
        if min(self.poll_interval_seconds, self.polls_per_second, self.evidence_seconds) <= 0:
            raise ValueError(
                "poll_interval_seconds, polls_per_second and evidence_seconds must be positive"
            )
        if not self.poll_interval_seconds <= self.idle_poll_interval_seconds:
            raise ValueError(
                "idle_poll_interval_seconds must not be less than poll_interval_seconds"
            )
        if self.idle_poll_interval_seconds >= self.evidence_seconds:
            raise ValueError("idle_poll_interval_seconds must be less than evidence_seconds")

    def poll_budget(self, engine_count: int) -> float:
        """Return the polling budget, in polls per second, for a number of listed engines."""
        if engine_count > self.large_deployment_engines:
            return min(self.polls_per_second, self.large_polls_per_second)
        return self.polls_per_second

    def sustainable_engines(self, engine_count: int) -> int:
        """Return how many engines the budget can keep fresh despite occasional lost polls."""
        budget = self.poll_budget(engine_count)
        return max(1, int(budget * self.evidence_seconds * USABLE_POLL_FRACTION))


@dataclass(frozen=True, slots=True)
class ScoreConfig:
    """Model of an attempt's completion time.

    Attributes
    ----------
    prefill_tokens_per_second
        Prompt tokens an engine processes per second.
    decode_tokens_per_second
        Decode rate of one sequence assumed until an engine has reported its own.
    expected_answer_fraction
        Expected answer length as a fraction of `max_tokens`.
    expected_answer_tokens
        Upper bound of the expected answer length.
    batch_slowdown
        Relative slowdown of a sequence in a full batch against an empty one.
    zone_cost_seconds, region_cost_seconds
        Penalty for an engine in another zone or region.
    kv_pressure_threshold
        Fraction of KV cache memory in use above which evictions slow an engine down.
    slow_start_seconds, slow_start_factor
        Penalty of an engine that has just begun to serve: its score is multiplied by one plus
        the factor, which falls linearly to zero over this time.
    """

    prefill_tokens_per_second: float = 4000.0
    decode_tokens_per_second: float = 50.0
    expected_answer_fraction: float = 0.5
    expected_answer_tokens: float = 160.0
    batch_slowdown: float = 1.0
    zone_cost_seconds: float = 0.002
    region_cost_seconds: float = 0.2
    kv_pressure_threshold: float = 0.9
    slow_start_seconds: float = 5.0
    slow_start_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class PrefixIndexConfig:
    """Size limits of the index of prompt prefixes that engines probably cache.

    Attributes
    ----------
    block_characters
        Length of one hashed block of a prompt.
    maximum_blocks_per_prompt
        Blocks of a prompt that are hashed; the rest counts as not cached.
    maximum_blocks_per_engine
        Blocks remembered per engine; the least recently used are evicted first.
    characters_per_token
        Estimated length of a token.
    """

    block_characters: int = 128
    maximum_blocks_per_prompt: int = 32
    maximum_blocks_per_engine: int = 1024
    characters_per_token: float = 4.0


@dataclass(frozen=True, slots=True)
class OutlierConfig:
    """When an engine that fails attempts is ejected.

    Attributes
    ----------
    failures_to_eject
        Consecutive failures that eject an engine.
    ejection_seconds, maximum_ejection_seconds
        First and longest ejection; the time doubles with each consecutive ejection.
    maximum_ejected_fraction
        Ejections are ignored while more than this fraction of the eligible engines is ejected.
    """

    failures_to_eject: int = 3
    ejection_seconds: float = 2.0
    maximum_ejection_seconds: float = 30.0
    maximum_ejected_fraction: float = 0.5


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """Parameters of the router.

    Attributes
    ----------
    choices
        Engines sampled at random and compared by score, besides the one with the longest cached
        prefix. The sampling keeps nodes with the same stale reports from all choosing the same
        engine.
    """

    choices: int = 4
    score: ScoreConfig = field(default_factory=ScoreConfig)
    prefix_index: PrefixIndexConfig = field(default_factory=PrefixIndexConfig)
    outlier: OutlierConfig = field(default_factory=OutlierConfig)
