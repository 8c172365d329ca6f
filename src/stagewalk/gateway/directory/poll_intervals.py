"""How often a node reads what others write, by its roles. Pure.

Owns the three paces, and how old a view may be that a request is served from.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollIntervals:
    """Pauses between two reads, and how long a read waits for a first record. All in seconds.

    Attributes
    ----------
    nodes_pause_seconds
        Between reads of nodes' announcements.
    workers_pause_seconds
        Between reads of workers' entries.
    configuration_wait_seconds
        How long a read waits for a configuration or a named version: the bound on how far a node
        lags where the log fails to wake it.
    housekeeping_interval_seconds
        Between looks at what this node should do.
    """

    nodes_pause_seconds: float
    workers_pause_seconds: float
    configuration_wait_seconds: float
    housekeeping_interval_seconds: float


REPLICA_POLL_INTERVALS = PollIntervals(0.4, 0.1, 0.5, 0.25)
"""Of a node that follows the batches: it runs them, orders engines and takes batches over."""

LISTED_POLL_INTERVALS = PollIntervals(0.8, 0.5, 1.0, 0.25)
"""Of a node that callers are sent to: it stops using a worker that leaves within a second, half of
the shortest bound on that (2 s)."""

IDLE_POLL_INTERVALS = PollIntervals(1.6, 1.6, 1.0, 0.5)
"""Of any other node, which reads once more before it serves a request: as seldom as a gap in the
view isn't taken for an outage (3 s), but for configurations, which any node may be asked for. An
idle node of 195 took 0.0385 of a core and 15.2 calls a second at a replica's pace, and 0.0113 and
2.5 at this one, with renewals by role."""

OLDEST_VIEW_SECONDS = 1.2
"""A view of workers or nodes that is older is read again before a request is served from it; a node
that is listed reads more often than that."""

REFRESH_TIMEOUT_SECONDS = 0.08
"""How long a request waits for that: twenty times what the log takes to answer. Without an answer
it is served from the view there is, as during any outage."""


def poll_intervals(following: bool, listed: bool) -> PollIntervals:
    """Return the pace of a node.

    Parameters
    ----------
    following
        Whether it follows the batches.
    listed
        Whether callers are sent to it.
    """
    if following:
        return REPLICA_POLL_INTERVALS
    return LISTED_POLL_INTERVALS if listed else IDLE_POLL_INTERVALS
