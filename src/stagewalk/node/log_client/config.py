"""Timing and bounds of the log client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LogClientConfig:
    """Timing and bounds; durations in seconds.

    Attributes
    ----------
    client_id
        Prefix of record ids, to identify the writer when reading the log; may be empty.
    queue_limit
        Maximum number of queued appends per stream.
    abandon_after
        Time after which an append that is not settled is abandoned.
    settle_delay
        Time after a lost answer before a read counts as proof that the record is absent.
    initial_backoff, maximum_backoff
        Bounds of the exponential backoff after failures; each delay is drawn from its upper half.
    empty_read_pause
        Pause after a read without new records, in case the log answers at once.
    read_timeout, append_timeout
        Time after which a missing answer counts as lost; longer than the timeouts of the I/O
        adapter that sends the requests.
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
