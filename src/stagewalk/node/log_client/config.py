"""Timing and bounds of the log client, in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LogClientConfig:
    """Timing and bounds; durations in seconds.

    Attributes
    ----------
    client_id
        Prefix of record ids, for people who read the log; may be empty.
    queue_limit
        Most appends waiting per stream.
    abandon_after
        An append that is not settled by then is given up.
    settle_delay
        How long after a lost answer the read must begin that may prove the record absent.
    initial_backoff, maximum_backoff
        Bounds of the exponential backoff after failures; each wait is drawn from its upper half.
    empty_read_pause
        Pause after a read without news, in case the log answers at once instead of waiting.
    read_timeout, append_timeout
        Guard against a shell that never answers; longer than the shell's own limits.
    """

    client_id: str = ""
    queue_limit: int = 256
    abandon_after: float = 60.0
    settle_delay: float = 1.0
    initial_backoff: float = 0.2
    maximum_backoff: float = 5.0
    empty_read_pause: float = 0.1
    read_timeout: float = 60.0
    append_timeout: float = 30.0
