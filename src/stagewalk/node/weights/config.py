"""Parameters of weight rollouts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightRolloutConfig:
    """How the lease holder of a pool rolls out new weights to its engines.

    Attributes
    ----------
    evaluation_interval_seconds
        Least time between two evaluations of a pool.
    resting_interval_seconds
        The same while all engines run their target version and nothing changes.
    version_poll_seconds
        Time between two reads of the store's list of a model's versions.
    busy_poll_seconds, idle_poll_seconds
        Poll interval of engines that are loading or have an open order, and of all others.
    maximum_polls_per_evaluation
        Most polls sent in one evaluation of a pool, which spreads the polls of a new holder.
    evidence_seconds
        Age at which a report no longer counts as a sign of life: two idle polls plus 10 s.
    missing_grace_seconds
        How long a listed engine without a valid report counts as lost capacity before it is
        ignored, and how long a predecessor may still be sending orders.
    settle_seconds
        How long a new holder waits for the effects of its predecessor's orders before it
        activates versions.
    initial_staging, maximum_staging
        Initial and maximum number of engines of a pool that fetch weights at the same time.
    stage_repeat_seconds
        Time after which an order to fetch weights is repeated. A failed fetch is not reported,
        and an engine that is still fetching ignores the repetition.
    stage_timeout_seconds, activation_timeout_seconds
        How long to wait for a report that shows an order's effect.
    base_loading_fraction, idle_weight_loading_fraction
        Fraction of a pool that may load at the same time with an idle weight of 0, and what an
        idle weight of 1 adds to it; the rest is the pool's capacity floor.
    staged_quorum
        Fraction of a pool that must hold a version before its activation begins.
    stage_stall_seconds, maximum_stage_wait_seconds
        Longest wait for that quorum since the last further engine held the version, and since
        the first one did.
    immediate_activation_engines
        Pools up to this size activate each engine as soon as it holds the version.
    retry_base_seconds, retry_limit_seconds
        First and largest delay before an engine is ordered again after a failure.
    fence_pause_seconds
        How long no orders are sent after an engine reported a newer epoch.
    quarantine_after_failures, quarantine_seconds
        Consecutive failures after which an engine is quarantined, and for how long.
    """

    evaluation_interval_seconds: float = 0.25
    resting_interval_seconds: float = 1.0
    version_poll_seconds: float = 2.0
    busy_poll_seconds: float = 0.5
    idle_poll_seconds: float = 60.0
    maximum_polls_per_evaluation: int = 100
    evidence_seconds: float = 130.0
    missing_grace_seconds: float = 30.0
    settle_seconds: float = 2.0
    initial_staging: int = 8
    maximum_staging: int = 64
    stage_repeat_seconds: float = 10.0
    stage_timeout_seconds: float = 60.0
    activation_timeout_seconds: float = 6.0
    base_loading_fraction: float = 0.34
    idle_weight_loading_fraction: float = 0.1
    staged_quorum: float = 0.95
    stage_stall_seconds: float = 20.0
    maximum_stage_wait_seconds: float = 120.0
    immediate_activation_engines: int = 16
    retry_base_seconds: float = 1.0
    retry_limit_seconds: float = 30.0
    fence_pause_seconds: float = 15.0
    quarantine_after_failures: int = 3
    quarantine_seconds: float = 300.0

    def __post_init__(self) -> None:
        if not 0.0 < self.base_loading_fraction <= 1.0:
            raise ValueError("base_loading_fraction must be above 0 and at most 1")
        if not 0.0 < self.staged_quorum <= 1.0:
            raise ValueError("staged_quorum must be above 0 and at most 1")
        if self.initial_staging < 1 or self.maximum_staging < self.initial_staging:
            raise ValueError("need 1 <= initial_staging <= maximum_staging")
        if self.quarantine_after_failures < 1:
            raise ValueError("quarantine_after_failures must be at least 1")
