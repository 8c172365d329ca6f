"""Decides how old a view may be from which items of a batch are started or sent. Pure.

An end is a promise in time: `timing.batch_end` seconds after it was acknowledged, nothing of the
batch reaches a worker. A node that doesn't receive ends, since its log is silent or its view is
still being read, can't know whether a batch has ended; so its view is a lease, renewed by each
read. Inputs: `timing.batch_end` in seconds. Relies on `ports.workers.MAXIMUM_SEND_DELAY_SECONDS`,
the longest time from a start to the first byte.
"""

from __future__ import annotations

from stagewalk.gateway.ports.workers import MAXIMUM_SEND_DELAY_SECONDS

LAG_SECONDS = 0.3
"""Left for the process itself, whose loop may come late to a connection that is up; loops that come
more than 0.2 s late are logged as stalled."""

MINIMUM_BATCH_END_SECONDS = MAXIMUM_SEND_DELAY_SECONDS + LAG_SECONDS
"""With a bound no longer than this no view would be recent enough for anything to start."""


def maximum_view_age(batch_end_seconds: float) -> float:
    """Return how old a view may be from which an item is started.

    Parameters
    ----------
    batch_end_seconds
        How long after a batch's end was acknowledged its items may still reach workers.
    """
    return max(0.0, batch_end_seconds - MINIMUM_BATCH_END_SECONDS)


def maximum_view_age_at_send(batch_end_seconds: float) -> float:
    """Return how old a view may be as the first byte of an item goes.

    An attempt whose connection turns out unusable waits for the pool and another connection once
    more, twice as long as is allowed for when the item starts.
    """
    return max(0.0, batch_end_seconds - LAG_SECONDS)
