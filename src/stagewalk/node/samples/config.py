"""Parameters of the sample ledger, with units and where the figures come from."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LotConfig:
    """How a node runs lots and delivers their samples.

    Attributes
    ----------
    maximum_outstanding_per_lot
        Most slots of one lot that run at once, duplicates not counted; they start by predicted
        length, which earns nothing where lengths can't be predicted (docs/SAMPLES.md).
    maximum_slots_per_lot
        Largest lot accepted.
    request_deadline_seconds
        Least time a rollout has before it counts as failed.
    retry_base_seconds, retry_limit_seconds
        First and largest delay before a failed rollout, score or claim is tried again.
    no_room_retry_seconds
        Largest delay before a rollout that found no engine or no room is tried again.
    claim_wait_seconds
        How long a scored sample waits for its claim before it is delivered without one.
    maximum_claim_bytes
        Largest sample the claim register takes; a larger one is delivered without a claim.
    hand_over_margin_seconds
        Added to a sample's age in seconds, for the way of the answer to the trainer, which
        drops an answer that takes longer than its pull's wait and this.
    news_lag_seconds
        Longest time that a read of the weight store takes, all timeouts of its client together:
        what an answer says was still true when the read began.
    version_poll_seconds, version_watch_seconds
        Time between reads of the store's versions of a model that a tenant with a bound in
        seconds uses: while this node runs lots of it, and while it does not. A trainer may come
        at any time, and a node that never read can't tell the age of any version.
    tail_fraction
        A step is near its end when at most this share of its slots is unfinished.
    straggler_factor
        A slot is a straggler when it has run this many times the lot's 90th percentile.
    duplicate_fraction
        Most duplicates of stragglers, as a share of the lot's slots (at least one).
    look_ahead_steps
        Steps after a trainer's current one that may run before the trainer pulls them. Without
        any, trainers idle longer (docs/SAMPLES.md).
    retained_steps
        Steps of one trainer kept besides the newest; older ones are dropped.
    retention_seconds
        How long a completed lot is kept for pulls that are repeated.
    pulled_pause_seconds, idle_pause_seconds
        A lot whose trainer has been silent for so long here stops running: one that it was
        pulling, and one that it was not.
    idle_retention_seconds
        A lot whose trainer has been silent for so long here is dropped.
    stuck_after_failures, stuck_log_seconds
        Failures of one slot in a row after which it is logged as stuck, and the least time
        between two such log lines of a lot.
    claim_probes
        Claims of a new lot that are read to find out whether another node runs it.
    probe_seconds
        How long a new lot waits for the answers to such reads before anything of it runs.
    claim_read_seconds, last_claim_read_seconds
        Time between reads of the claims of a lot that another node runs, and the same when no
        more than `claim_probes` of its slots are open.
    quiet_seconds
        How long no new claim must be found in them before the lot is run here.
    retained_bytes
        Text of acknowledged samples kept for trainers that go back to an older cursor.
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
