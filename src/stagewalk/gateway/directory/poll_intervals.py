"""How often a node reads from the log, by its roles. Pure.

Owns the three sets of intervals, and the maximum age of a view from which requests are served.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollIntervals:
    """Pauses between two reads, and how long a read waits for a first record. All in seconds.

    Attributes
    ----------
    nodes_pause_seconds
        Pause between reads of nodes' announcements.
    workers_pause_seconds
        Pause between reads of workers' entries.
    configuration_wait_seconds
        How long a read waits for a configuration or a named version. Bounds how far a node lags if
        the log fails to wake the read.
    housekeeping_interval_seconds
        Interval between checks of this node's roles and duties.
    """

    nodes_pause_seconds: float
    workers_pause_seconds: float
    configuration_wait_seconds: float
    housekeeping_interval_seconds: float


REPLICA_POLL_INTERVALS = PollIntervals(0.4, 0.1, 0.5, 0.25)
"""For a node that follows the batches: it runs them, orders engines and takes batches over."""

LISTED_POLL_INTERVALS = PollIntervals(0.8, 0.5, 1.0, 0.25)
"""For a node that callers are sent to: it stops using a leaving worker within a second, half of the
shortest drain time of a worker (2 s)."""

IDLE_POLL_INTERVALS = PollIntervals(1.6, 1.6, 1.0, 0.5)
"""For any other node, which reads again before it serves a request. The pauses are short enough not
to be taken for an outage (3 s). Configurations are read more often, since any node may be asked for
them."""

OLDEST_VIEW_SECONDS = 1.2
"""Maximum age of a view of workers or nodes from which a request is served; an older one is read
again first. A listed node reads more often than that."""

REFRESH_TIMEOUT_SECONDS = 0.08
"""How long a request waits for that read: twenty times what the log takes to answer. After that it
is served from the old view, as during an outage of the log."""


def poll_intervals(following: bool, listed: bool) -> PollIntervals:
    """Return the intervals for a node.

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
