"""Decides how old a node's view of the log may be when items of a batch are started or sent. Pure.

Guarantee: `timing.batch_end` seconds after the end of a batch was acknowledged, none of its items
reaches a worker. A node that can't read its log, or is still catching up, doesn't know whether a
batch has ended. So its view acts as a lease that each read renews. The lease allows for
`ports.workers.MAXIMUM_SEND_DELAY_SECONDS`, the longest time from a start to the first byte.
"""

from __future__ import annotations

from stagewalk.gateway.ports.workers import MAXIMUM_SEND_DELAY_SECONDS

LOOP_LAG_SECONDS = 0.3
"""Margin for a delay of the process's event loop, which is logged as stalled when it is more than
0.2 s late."""

MINIMUM_BATCH_END_SECONDS = MAXIMUM_SEND_DELAY_SECONDS + LOOP_LAG_SECONDS
"""With `timing.batch_end` at or below this, no view is recent enough to start an item."""


def maximum_view_age(batch_end_seconds: float) -> float:
    """Return how old the view may be when an item is started.

    Parameters
    ----------
    batch_end_seconds
        How long after the acknowledgement of a batch's end its items may still reach workers.
    """
    return max(0.0, batch_end_seconds - MINIMUM_BATCH_END_SECONDS)


def maximum_view_age_at_send(batch_end_seconds: float) -> float:
    """Return how old the view may be when the first byte of an item is sent.

    This is checked again at the send because an attempt with an unusable connection waits for
    another one, which can double the delay allowed for at the start.
    """
    return max(0.0, batch_end_seconds - LOOP_LAG_SECONDS)
