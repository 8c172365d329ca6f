"""Which nodes hold a replica of the batch ledger. Pure.

Each replica reads all batches, so what that costs must grow with the batches, not with the
nodes: a bounded number of nodes does it, and the others pass calls about batches on to them.
Nobody has to agree on who holds one: a node
decides for itself from the nodes it knows and announces it; a replica that finds a batch without
a living runner may take it over.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

import xxhash

from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy

MAXIMUM_LEDGER_REPLICAS = 12
"""Replicas where the policy `few_replicas` is off."""

LEDGER_REPLICAS = 6
"""Enough that some are left when several fail at once, and that several trainers' steps spread; few
enough that after a restart of all, the log's reads are soon done and results are shown again."""

FAST_SHARE = 0.5
"""A node with less than this part of the fastest one's capacity holds a replica only if there are
not enough others."""

LINGER_SECONDS = 6.0
"""How long a node goes on following after it announced that it holds no replica any more: batches
that were given to it meanwhile are found."""


def rank_for_replicas(nodes: Sequence[NodeAnnouncement]) -> list[NodeAnnouncement]:
    """Return nodes in the order in which they should hold replicas.

    Fast ones first, since replicas run the batches; of these each zone's first one before any
    second one, so that callers find a replica in their zone and the loss of a zone leaves some;
    among equals by a hash of the name, so that a node that comes or goes changes the place of few.
    """
    fastest = max((node.capacity for node in nodes), default=0.0)

    def place(node: NodeAnnouncement) -> tuple[float, int]:
        return -round(node.capacity, 1), xxhash.xxh64_intdigest(f"replica/{node.node}".encode())

    turns: Counter[str] = Counter()
    ranked: list[tuple[bool, int, int, NodeAnnouncement]] = []
    for index, node in enumerate(sorted(nodes, key=place)):
        slow = node.capacity < FAST_SHARE * fastest
        ranked.append((slow, turns[node.zone], index, node))
        turns[node.zone] += 1
    return [node for *_, node in sorted(ranked, key=lambda entry: entry[:3])]


def should_hold_replica(
    node: str, serving: Sequence[NodeAnnouncement], policy: Policy = DEFAULT_POLICY
) -> bool:
    """Whether a node should hold a replica, given the nodes that serve, itself among them."""
    count = LEDGER_REPLICAS if policy.few_replicas else MAXIMUM_LEDGER_REPLICAS
    chosen = rank_for_replicas(serving)[:count]
    return any(candidate.node == node for candidate in chosen)


class ReplicaRole:
    """Whether this node holds a replica now. Times are of the steady clock."""

    def __init__(self) -> None:
        self._announced = False
        self._released_at = -math.inf

    @property
    def announced(self) -> bool:
        """Whether this node announces that it holds a replica."""
        return self._announced

    def following(self, now: float) -> bool:
        """Whether this node follows the batches."""
        return self._announced or now - self._released_at < LINGER_SECONDS

    def update(self, required: bool, busy: bool, now: float) -> bool:
        """Apply whether a replica is required here and whether it is in use; return whether that
        changed the role.

        A node that runs batches, or orders engines, keeps its replica until it is done.
        """
        announced = required or busy
        if announced == self._announced:
            return False
        if self._announced:
            self._released_at = now
        self._announced = announced
        return True
