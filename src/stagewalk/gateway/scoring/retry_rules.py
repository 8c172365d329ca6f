"""Rules for retrying, hedging and giving up score calls. Pure.

Score calls are repeatable, so slow ones are hedged. Only answers with status 500 count against the
sample; after a maximum number of them it gets no score.
"""

from __future__ import annotations

from enum import Enum, auto

from stagewalk.gateway.forwarding.policy import SERVER_ERROR, is_success
from stagewalk.gateway.routes.route import Route

MAXIMUM_ATTEMPT_SECONDS = 1.5
"""Maximum duration of an attempt; short, so that a step has time for another attempt."""

MAXIMUM_CONCURRENT_ATTEMPTS = 3
"""Maximum number of attempts at one call in flight, including hedges."""

SCORE_RETRY_DELAY_SECONDS = 0.05
MAXIMUM_SCORE_RETRY_DELAY_SECONDS = 0.8
"""Delay after a failed attempt, doubled after each further one up to the maximum."""

_MAXIMUM_DOUBLINGS = 8
"""Bounds the exponent; the maximum delay is reached after four doublings."""


class AnswerMeaning(Enum):
    """Meaning of a worker's answer for the sample."""

    SCORED = auto()
    FAILED = auto()
    """The worker ran the call and failed; this counts against the sample."""
    NO_SCORE = auto()
    """Any other answer; it does not count against the sample."""


def classify_answer(status: int, *, signed: bool) -> AnswerMeaning:
    """Return the meaning of an answer.

    Parameters
    ----------
    signed
        Whether the answer carries the service's signature, which is the score.
    """
    if is_success(status) and signed:
        return AnswerMeaning.SCORED
    return AnswerMeaning.FAILED if status == SERVER_ERROR else AnswerMeaning.NO_SCORE


def retry_delay_seconds(consecutive_failures: int) -> float:
    """Return the delay after a number of consecutive failed attempts, at least one."""
    delay = SCORE_RETRY_DELAY_SECONDS * 2.0 ** min(consecutive_failures - 1, _MAXIMUM_DOUBLINGS)
    return min(MAXIMUM_SCORE_RETRY_DELAY_SECONDS, delay)


def maximum_attempts_in_flight(allowed_failures: int, failures: int, *, hedges: bool) -> int:
    """Return the maximum number of attempts in flight, at most the number of failures left.

    Parameters
    ----------
    allowed_failures
        Number of server errors after which the sample gets no score.
    failures
        Number of server errors so far.
    hedges
        Whether calls are hedged.
    """
    return min(MAXIMUM_CONCURRENT_ATTEMPTS if hedges else 1, allowed_failures - failures)


def attempt_timeout_seconds(route: Route) -> float:
    """Return the timeout of an attempt at a call of a route."""
    return min(MAXIMUM_ATTEMPT_SECONDS, route.timeout_seconds)
