"""Decides when a score call is tried again, beside a late attempt or after one, and given up. Pure.

Owns the bounds of attempts at one call. Relies on the route of the call for `maximum_attempts` and
on `forwarding.hedging.hedge_delay` for when an attempt counts as late.

A call may be repeated, so it goes to another worker at once where one is late. Only what a worker
itself answers with 500 counts against the sample: after so many it has no score.
"""

from __future__ import annotations

from enum import Enum, auto

from stagewalk.gateway.forwarding.policy import SERVER_ERROR, is_success
from stagewalk.gateway.routes.route import Route

MAXIMUM_ATTEMPT_SECONDS = 1.5
"""What a worker may take: little of the time a step has, so that another attempt still counts."""

MAXIMUM_CONCURRENT_ATTEMPTS = 3
"""Attempts at one call under way together: each next one is begun beside a late one."""

SCORE_RETRY_DELAY_SECONDS = 0.05
MAXIMUM_SCORE_RETRY_DELAY_SECONDS = 0.8
"""How long a call waits after a failed attempt; twice as long after each further one, up to the
longest."""

_MAXIMUM_DOUBLINGS = 8
"""Bounds the power; the longest pause is reached after four."""


class AnswerMeaning(Enum):
    """What a worker's answer says of the sample."""

    SCORED = auto()
    FAILED = auto()
    """The worker ran the call and failed: counted against the sample."""
    NO_SCORE = auto()
    """Not what a service that scores says: it neither scored nor failed the sample."""


def judge_answer(status: int, *, signed: bool) -> AnswerMeaning:
    """Return what an answer means.

    Parameters
    ----------
    signed
        Whether it carries the service's signature, which is the score.
    """
    if is_success(status) and signed:
        return AnswerMeaning.SCORED
    return AnswerMeaning.FAILED if status == SERVER_ERROR else AnswerMeaning.NO_SCORE


def pause_seconds(failed_in_a_row: int) -> float:
    """Return how long a call waits after this many failed attempts in a row, at least one."""
    doubled = SCORE_RETRY_DELAY_SECONDS * 2.0 ** min(failed_in_a_row - 1, _MAXIMUM_DOUBLINGS)
    return min(MAXIMUM_SCORE_RETRY_DELAY_SECONDS, doubled)


def most_attempts(allowed_failures: int, failures: int, *, hedges: bool) -> int:
    """Return how many attempts may be under way: no more than may all fail.

    Parameters
    ----------
    allowed_failures
        How many answers that say it failed leave the sample without a score.
    failures
        How many came already.
    hedges
        Whether a second attempt is begun beside a late one at all.
    """
    return min(MAXIMUM_CONCURRENT_ATTEMPTS if hedges else 1, allowed_failures - failures)


def attempt_seconds(route: Route) -> float:
    """Return how long one attempt at a call of a route may take."""
    return min(MAXIMUM_ATTEMPT_SECONDS, route.timeout_seconds)
