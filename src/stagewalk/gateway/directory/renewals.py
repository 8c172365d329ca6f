"""How often a node announces itself. Pure.

Were every node to announce itself as often as a batch's runner does, what each node reads would
grow with the nodes, and what all of them read with their square. So nodes without a role renew
their announcement the less often the more nodes there are: all of them together write a bounded
number of records a second.
"""

from __future__ import annotations

RENEWAL_INTERVAL_SECONDS = 0.9
"""Of a node with a role: three of its announcements fit in the time after which it counts as
dead."""

IDLE_RENEWALS_PER_SECOND = 20.0
"""Announcements a second by all nodes without a role: some 2 KB/s for each reader, half of
the 4 KB/s that a node of 420 may use for control."""

MAXIMUM_RENEWAL_INTERVAL_SECONDS = 30.0
"""Bound of the renewals; 420 nodes without a role need 21 s."""


def renewal_seconds(has_role: bool, nodes: int) -> float:
    """Return how long a node may wait until it announces itself again.

    Parameters
    ----------
    has_role
        Whether it holds a role that others rely on.
    nodes
        Living nodes, itself among them.
    """
    if has_role:
        return RENEWAL_INTERVAL_SECONDS
    shared = nodes / IDLE_RENEWALS_PER_SECOND
    return min(MAXIMUM_RENEWAL_INTERVAL_SECONDS, max(RENEWAL_INTERVAL_SECONDS, shared))
