"""Decides when an item of a batch is tried again, fails, or is given up. Pure.

Owns the statuses that engines answer items with and the pause between attempts. Relies on the
route in force for the two limits: `maximum_attempts` and `give_up_seconds`.

An attempt that broke off, was stopped or answered with a status not named here costs the item
nothing: the next engine goes on after the last event held. Only an engine that ran the item and
said so counts against `maximum_attempts`.
"""

from __future__ import annotations

from enum import Enum, auto

from stagewalk.gateway.routes.route import Route

HTTP_OK = 200
RUN_FAILED = 500
"""The engine ran the item and failed at it: counted against the route's `maximum_attempts`."""

IMPOSSIBLE = 422
"""The engine says that the item can never be done: it fails at once."""

ITEM_RETRY_DELAY_SECONDS = 0.1
"""How long an item whose attempt failed waits before the next one. Two
scheduler ticks."""


class AttemptOutcome(Enum):
    """What a complete answer of an engine means for its item."""

    TEXT_WHOLE = auto()
    FAILED = auto()
    RETRY = auto()


def judge_item_answer(
    status: int, *, has_events: bool, run_failures: int, route: Route | None
) -> AttemptOutcome:
    """Return what a complete answer means for its item.

    Parameters
    ----------
    has_events
        Whether any event of the item is held: a success without text is tried again.
    run_failures
        How often engines ran the item and failed at it, this answer included.
    route
        The item's route; None if the configuration in force has none: then nothing limits retries.
    """
    if status == HTTP_OK and has_events:
        return AttemptOutcome.TEXT_WHOLE
    if status == IMPOSSIBLE:
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
        Times of the steady clock, in seconds.
    """
    return route is not None and now - seen_at > route.give_up_seconds
