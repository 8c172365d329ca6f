"""Parameters of the engine table and the router, with units and where the figures come from."""

from __future__ import annotations

from dataclasses import dataclass, field

USABLE_POLL_FRACTION = 0.75
"""Part of the polls that evidence's lifetime allows for which engines are taken: one in four may be
lost."""


@dataclass(frozen=True, slots=True)
class EngineTableConfig:
    """How evidence about engines is gathered and how long it holds.

    Attributes
    ----------
    subset_size
        Engines of each service this node routes over; a pool no larger is used whole. Fewer
        are used when the polling budget can't keep the evidence about so many fresh.
    poll_interval_seconds
        Time between two polls of one engine, if the budget allows.
    idle_poll_interval_seconds, idle_after_seconds
        The same at a node that has routed nothing for a while; it must leave evidence fresh.
    polls_per_second
        Budget of polls over all engines; a larger subset is polled more slowly.
    large_polls_per_second, large_deployment_engines
        The budget when more engines than that are listed: the nodes before them are many too,
        and each has little processor time and bandwidth for control. What a
        poll costs is in docs/design/0161-choices.md.
    poll_timeout_seconds
        A poll unanswered for so long is given up and may be sent again.
    evidence_seconds
        How long after a poll was sent its report vouches for the engine: five poll intervals, and
        more than an idle node's interval.
    local_zone_weight, local_region_weight
        Weights in rendezvous hashing of engines in this node's zone and region, relative to 1
        for all others.
    refusal_pause_seconds
        Longest time an engine that refused work is spared though a newer report says that it
        serves; until such a report it gets none in any case.
    report_lag_seconds
        How much older than its poll a report may be and still hold for the full time; one
        that is older, as from an engine whose reports are stuck, expires sooner.
    clock_drift_fraction
        Largest drift assumed between this clock and an engine's.
    clock_step_seconds
        A report older than the last one by more is taken as a step of the engine's clock.
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
            raise ValueError("intervals and budgets must be positive")
        if not self.poll_interval_seconds <= self.idle_poll_interval_seconds:
            raise ValueError("an idle node must not poll faster")
        if self.idle_poll_interval_seconds >= self.evidence_seconds:
            raise ValueError("an idle node's evidence must not expire between polls")

    def poll_budget(self, engine_count: int) -> float:
        """Return the polls a second that a node spends when so many engines are listed."""
        if engine_count > self.large_deployment_engines:
            return min(self.polls_per_second, self.large_polls_per_second)
        return self.polls_per_second

    def sustainable_engines(self, engine_count: int) -> int:
        """Return how many engines the budget keeps fresh, one poll of each lost now and then."""
        budget = self.poll_budget(engine_count)
        return max(1, int(budget * self.evidence_seconds * USABLE_POLL_FRACTION))


@dataclass(frozen=True, slots=True)
class ScoreConfig:
    """Model of an attempt's completion time.

    Attributes
    ----------
    prefill_tokens_per_second
        Prompt tokens an engine takes in per second.
    decode_tokens_per_second
        Rate of one sequence assumed until an engine's own rate is seen.
    expected_answer_fraction
        Expected answer length as a fraction of `max_tokens`.
    expected_answer_tokens
        Upper bound of the expected answer length.
    batch_slowdown
        Relative slowdown of a sequence in a full batch against an empty one.
    zone_cost_seconds, region_cost_seconds
        Cost of leaving this node's zone or region.
    kv_pressure_threshold
        Fraction of KV memory in use above which evictions make an engine slower.
    slow_start_seconds, slow_start_factor
        A new engine's score grows by this factor at first, fading over this time.
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
    """Memory bounds of the index of prompt prefixes that engines probably cache.

    Attributes
    ----------
    block_characters
        Length of one hashed block of a prompt.
    maximum_blocks_per_prompt
        Blocks of a prompt that are looked at; the rest counts as not cached.
    maximum_blocks_per_engine
        Blocks remembered for one engine, least recently used dropped first.
    characters_per_token
        Estimated length of a token.
    """

    block_characters: int = 128
    maximum_blocks_per_prompt: int = 32
    maximum_blocks_per_engine: int = 1024
    characters_per_token: float = 4.0


@dataclass(frozen=True, slots=True)
class OutlierConfig:
    """When an engine that fails attempts is set aside.

    Attributes
    ----------
    failures_to_eject
        Failures in a row, without a success, that eject an engine.
    ejection_seconds, maximum_ejection_seconds
        First and longest time set aside; it doubles with each ejection in a row.
    maximum_ejected_fraction
        Never more than this fraction of the eligible engines is set aside.
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
        Engines drawn at random and compared by score, besides the one with the longest cached
        prefix: nodes with the same lagging reports must not all take the same engine.
    """

    choices: int = 4
    score: ScoreConfig = field(default_factory=ScoreConfig)
    prefix_index: PrefixIndexConfig = field(default_factory=PrefixIndexConfig)
    outlier: OutlierConfig = field(default_factory=OutlierConfig)
