"""Delays of leases, in seconds.

A dead holder is succeeded within `ttl_seconds` and a second where the first candidate lives
(docs/design/0041-leases.md).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Delays of leases. They give speed only: safety comes from epochs.

    Attributes
    ----------
    ttl_seconds
        How long a holder must be missing from the live members before others try; and the
        longest gap between two ticks after which a holder no longer trusts what it knows.
    candidate_delay_seconds
        The second in rank tries this much later than the first, the third twice as much.
    retry_seconds
        A try that shows no result in the log is made again after one to two times this.
    check_interval_seconds
        Time between two checks of all duties when nothing has changed.
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
