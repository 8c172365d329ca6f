"""Timing of leases, in seconds.

A dead holder is replaced within `ttl_seconds` plus one second if the first candidate is alive
(docs/design/0041-leases.md).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Timing of leases. It only affects how fast leases move: safety comes from epochs.

    Attributes
    ----------
    ttl_seconds
        How long a holder must be missing from the live members before others try to acquire
        its lease. A holder whose ticks are further apart than this stops acting until it has
        read the log again.
    candidate_delay_seconds
        Extra delay per rank: the first candidate tries at once, the second after this delay.
    retry_seconds
        An attempt without a result in the log is repeated after one to two times this.
    check_interval_seconds
        Interval between checks of all duties when nothing has changed.
    """

    ttl_seconds: float = 3.0
    candidate_delay_seconds: float = 1.5
    retry_seconds: float = 2.0
    check_interval_seconds: float = 0.5

    def __post_init__(self) -> None:
        delays = (
            self.ttl_seconds,
            self.candidate_delay_seconds,
            self.retry_seconds,
            self.check_interval_seconds,
        )
        if min(delays) <= 0:
            raise ValueError("all delays must be above 0")
