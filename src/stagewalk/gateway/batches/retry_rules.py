"""Decides when an item of a batch is retried, fails, or is given up. Pure.

Defines the statuses that engines respond to items with and the delay between attempts. The route in
force gives the two limits, `maximum_attempts` and `give_up_seconds`.

Only an engine that reports a failed run counts against `maximum_attempts`. An attempt that broke
off, was stopped or ended with another status doesn't: the next engine resumes after the last event
received.
"""

from __future__ import annotations

from enum import Enum, auto

from stagewalk.gateway.routes.route import Route

HTTP_OK = 200
RUN_FAILED = 500
"""The engine ran the item and failed: counted against the route's `maximum_attempts`."""

UNPROCESSABLE = 422
"""The engine reports that the item can never succeed: it fails at once."""

ITEM_RETRY_DELAY_SECONDS = 0.1
"""Delay between a failed attempt of an item and the next one: two scheduler ticks."""


class AttemptOutcome(Enum):
    """What an engine's complete response means for its item."""

    TEXT_WHOLE = auto()
    FAILED = auto()
    RETRY = auto()


def judge_item_answer(
    status: int, *, has_events: bool, run_failures: int, route: Route | None
) -> AttemptOutcome:
    """Return what a complete response means for its item.

    Parameters
    ----------
    has_events
        Whether any event of the item was received; a success without text is retried.
    run_failures
        How often engines ran the item and failed, including this response.
    route
        The item's route; None if the configuration in force has none, which removes the limit.
    """
    if status == HTTP_OK and has_events:
        return AttemptOutcome.TEXT_WHOLE
    if status == UNPROCESSABLE:
        return AttemptOutcome.FAILED
    exhausted = route is not None and run_failures >= route.maximum_attempts
    if status == RUN_FAILED and exhausted:
        return AttemptOutcome.FAILED
    return AttemptOutcome.RETRY


def is_overdue(seen_at: float, route: Route | None, now: float) -> bool:
    """Whether a batch's unfinished items are given up: `give_up_seconds` after it was first seen.

    Parameters
    ----------
    seen_at, now
        Times of the monotonic clock, in seconds.
    """
    return route is not None and now - seen_at > route.give_up_seconds
