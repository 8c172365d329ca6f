"""Timers of requests.

Plain data; the store owns the queue and ignores a timer whose record has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.common.identities import AttemptId, RequestKey


class RequestTimerKind(IntEnum):
    """What a timer is for."""

    DEADLINE = 0
    SHED = 1
    ROUTE = 2
    HEDGE = 3
    STALL = 4
    FETCH = 5


@dataclass(frozen=True, slots=True)
class RequestTimer:
    """A timer of a request.

    Attributes
    ----------
    at
        Node's clock, seconds.
    serial
        Distinguishes a request from an earlier one with the same key.
    """

    at: float
    kind: RequestTimerKind
    key: RequestKey
    serial: int
    attempt: AttemptId | None = None
