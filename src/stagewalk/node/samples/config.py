"""Parameters of the sample ledger."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LotConfig:
    """How a node runs lots and delivers their samples.

    Attributes
    ----------
    maximum_outstanding_per_lot
        Most slots of one lot that run at the same time, not counting duplicates. Slots start in
        order of predicted length, longest first (docs/SAMPLES.md).
    maximum_slots_per_lot
        Most slots of an accepted lot.
    request_deadline_seconds
        Minimum time from the start of a rollout to its deadline.
    retry_base_seconds, retry_limit_seconds
        First and largest delay before a failed rollout, score or claim is retried.
    no_room_retry_seconds
        Largest retry delay of a rollout that found no engine or no free capacity.
    claim_wait_seconds
        How long a scored sample waits for its claim before it is delivered without one.
    maximum_claim_bytes
        Largest encoded sample that is claimed; a larger one is delivered without a claim.
    hand_over_margin_seconds
        Added to a sample's age to allow for the transfer to the trainer, which drops an answer
        that takes longer than its pull's wait plus this margin.
    news_lag_seconds
        Longest duration of a read of the weight store, including all timeouts of its client.
        A result is treated as being that old when it arrives.
    version_poll_seconds, version_watch_seconds
        Time between reads of a model's versions in the weight store, if a tenant that uses it
        has a staleness bound in seconds: while this node runs lots of the model, and otherwise.
        Versions are read without lots too, so that their ages are known when a lot arrives.
    tail_fraction
        A lot is near its end when at most this fraction of its slots is unfinished.
    straggler_factor
        A slot is a straggler when it has run for this multiple of the 90th percentile of the
        lot's durations.
    duplicate_fraction
        Most duplicates of stragglers, as a fraction of the lot's slots (at least one).
    look_ahead_steps
        Steps after a trainer's current one that may run before the trainer pulls them. Without
        any, trainers are idle for longer (docs/SAMPLES.md).
    retained_steps
        Steps of one trainer kept besides the newest; older ones are dropped.
    retention_seconds
        How long a completed lot is kept for repeated pulls.
    pulled_pause_seconds, idle_pause_seconds
        Time without calls of its trainer after which a lot is paused: if the trainer has pulled
        it without completing it, and otherwise.
    idle_retention_seconds
        Time without calls of its trainer after which an incomplete lot is dropped.
    stuck_after_failures, stuck_log_seconds
        Consecutive failures after which a slot is logged as stuck, and the least time between
        two such log lines of a lot.
    claim_probes
        Number of claims of a new lot that are read to find out whether another node runs it.
    probe_seconds
        How long a new lot waits for the results of these reads before its rollouts start.
    claim_read_seconds, last_claim_read_seconds
        Time between reads of the claims of a lot that another node runs, and the same when at
        most `claim_probes` of its slots are unfinished.
    quiet_seconds
        Time without new claims from the other node after which the lot is run here.
    retained_bytes
        Memory for acknowledged samples, kept for trainers that go back to an older cursor.
    """

    maximum_outstanding_per_lot: int = 256
    maximum_slots_per_lot: int = 65536
    request_deadline_seconds: float = 600.0
    retry_base_seconds: float = 0.2
    retry_limit_seconds: float = 10.0
    no_room_retry_seconds: float = 1.0
    claim_wait_seconds: float = 2.0
    maximum_claim_bytes: int = 4000
    hand_over_margin_seconds: float = 6.0
    news_lag_seconds: float = 9.0
    version_poll_seconds: float = 2.0
    version_watch_seconds: float = 15.0
    tail_fraction: float = 0.1
    straggler_factor: float = 2.0
    duplicate_fraction: float = 0.05
    look_ahead_steps: int = 1
    retained_steps: int = 3
    retention_seconds: float = 300.0
    pulled_pause_seconds: float = 60.0
    idle_pause_seconds: float = 120.0
    idle_retention_seconds: float = 900.0
    stuck_after_failures: int = 5
    stuck_log_seconds: float = 30.0
    claim_probes: int = 16
    probe_seconds: float = 0.15
    claim_read_seconds: float = 1.5
    last_claim_read_seconds: float = 0.5
    quiet_seconds: float = 4.5
    retained_bytes: int = 4 * 1024 * 1024

    def __post_init__(self) -> None:
        positive = (
            self.maximum_outstanding_per_lot,
            self.maximum_slots_per_lot,
            self.request_deadline_seconds,
            self.retry_base_seconds,
            self.straggler_factor,
            self.retention_seconds,
        )
        if min(positive) <= 0:
            raise ValueError("limits, deadlines and retentions must be positive")
        if self.retry_limit_seconds < self.retry_base_seconds:
            raise ValueError("retry_limit_seconds must not be below retry_base_seconds")
        if not (0.0 <= self.tail_fraction <= 1.0 and 0.0 <= self.duplicate_fraction <= 1.0):
            raise ValueError("tail_fraction and duplicate_fraction must be within 0 and 1")
