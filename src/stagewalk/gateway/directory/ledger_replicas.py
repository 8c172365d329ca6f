"""Which nodes hold a replica of the batch ledger. Pure.

Each replica reads all batches, so their number is bounded; the other nodes forward calls about
batches to them. No agreement is needed on who holds a replica: each node decides for itself from
the nodes it knows, and announces it. A replica may take over a batch without an alive runner.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

import xxhash

from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy

MAXIMUM_LEDGER_REPLICAS = 12
"""Number of replicas if the policy `few_replicas` is off."""

LEDGER_REPLICAS = 6
"""Number of replicas otherwise: enough to survive several failures at once and to spread the load
of several trainers, and few enough that they read the log quickly after a restart of all nodes."""

FAST_SHARE = 0.5
"""A node with less than this share of the fastest node's capacity holds a replica only if there are
not enough others."""

LINGER_SECONDS = 6.0
"""How long a node follows the batches after it announced that it no longer holds a replica, so that
it finds batches assigned to it in the meantime."""


def rank_for_replicas(nodes: Sequence[NodeAnnouncement]) -> list[NodeAnnouncement]:
    """Return nodes in the order in which they should hold replicas.

    Fast nodes come first, since replicas run the batches. They are taken from the zones in turn, so
    that callers find a replica in their zone and the loss of a zone leaves some. Nodes of equal
    capacity are ordered by a hash of the name, so that few replicas move when a node joins or
    leaves.
    """
    fastest = max((node.capacity for node in nodes), default=0.0)

    def sort_key(node: NodeAnnouncement) -> tuple[float, int]:
        return -round(node.capacity, 1), xxhash.xxh64_intdigest(f"replica/{node.node}".encode())

    ranked_by_zone: Counter[str] = Counter()
    ranked: list[tuple[bool, int, int, NodeAnnouncement]] = []
    for index, node in enumerate(sorted(nodes, key=sort_key)):
        slow = node.capacity < FAST_SHARE * fastest
        ranked.append((slow, ranked_by_zone[node.zone], index, node))
        ranked_by_zone[node.zone] += 1
    return [node for *_, node in sorted(ranked, key=lambda entry: entry[:3])]


def should_hold_replica(
    node: str, serving: Sequence[NodeAnnouncement], policy: Policy = DEFAULT_POLICY
) -> bool:
    """Whether a node should hold a replica, given the nodes that serve, itself included."""
    count = LEDGER_REPLICAS if policy.few_replicas else MAXIMUM_LEDGER_REPLICAS
    chosen = rank_for_replicas(serving)[:count]
    return any(candidate.node == node for candidate in chosen)


class ReplicaRole:
    """Whether this node holds a replica. Times are of the steady clock, in seconds."""

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
        """Update the role; return whether it changed.

        Parameters
        ----------
        required
            Whether this node should hold a replica.
        busy
            Whether it runs batches or sends orders to engines: it keeps its replica until it is
            done.
        """
        announced = required or busy
        if announced == self._announced:
            return False
        if self._announced:
            self._released_at = now
        self._announced = announced
        return True
