"""How often a node announces itself. Pure.

If every node announced itself as often as the runner of a batch, the records read by all nodes
would grow with the square of their number. So the renewal interval of nodes without a role grows
with the number of nodes: together they write a bounded number of records a second.
"""

from __future__ import annotations

RENEWAL_INTERVAL_SECONDS = 0.9
"""Renewal interval of a node with a role: three of them are shorter than its failure timeout."""

IDLE_RENEWALS_PER_SECOND = 20.0
"""Announcements a second by all nodes without a role: 2 KB/s for each reader, half of the 4 KB/s
that a node in a deployment of 420 nodes may use for control traffic."""

MAXIMUM_RENEWAL_INTERVAL_SECONDS = 30.0
"""Upper limit of the renewal interval; 420 nodes without a role use 21 s."""


def renewal_seconds(has_role: bool, nodes: int) -> float:
    """Return a node's renewal interval.

    Parameters
    ----------
    has_role
        Whether it has a role that others rely on.
    nodes
        Number of alive nodes, itself included.
    """
    if has_role:
        return RENEWAL_INTERVAL_SECONDS
    shared = nodes / IDLE_RENEWALS_PER_SECOND
    return min(MAXIMUM_RENEWAL_INTERVAL_SECONDS, max(RENEWAL_INTERVAL_SECONDS, shared))
