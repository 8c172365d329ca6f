"""State of this node, and the announcement of it. Pure.

Only this node changes the state; the other nodes know it from the announcement.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Placement
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.directory.renewals import renewal_seconds
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.place_shares.claims import ServiceClaims


@dataclass(slots=True)
class OwnNode:
    """State of this node.

    Attributes
    ----------
    front, peer
        Where callers and other nodes connect; `peer` is None if other nodes can't.
    capacity
        Speed of its processor, in multiples of a standard core.
    serving
        Whether callers may be sent here.
    replica, listed
        Its roles: holding a replica of the batch ledger, and being listed for its zone's callers.
    stopping
        Whether a planned stop has begun.
    beat
        Number of announcements made.
    calls_per_second
        Rate of callers' requests, smoothed.
    claims
        Claims on engines of the items run here; None: they aren't announced.
    """

    identity: OwnIdentity
    front: Address
    peer: Address | None
    placement: Placement
    capacity: float
    serving: bool = False
    replica: bool = False
    listed: bool = False
    stopping: bool = False
    beat: int = 0
    calls_per_second: float = 0.0
    claims: tuple[ServiceClaims, ...] | None = None

    def announcement(self, alive_nodes: int) -> NodeAnnouncement:
        """Return the announcement of this node, given the number of alive nodes."""
        return NodeAnnouncement(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            front=str(self.front),
            peer="" if self.peer is None else str(self.peer),
            zone=self.placement.zone,
            region=self.placement.region,
            serving=self.serving,
            beat=self.beat,
            ledger_replica=self.replica,
            capacity=self.capacity,
            renewal_seconds=renewal_seconds(self.listed or self.replica, alive_nodes),
            listed=self.listed,
            stopping=self.stopping,
            calls_per_second=round(self.calls_per_second, 1),
            claims=self.claims if self.replica else None,
            start=self.identity.start,
            replaces=self.identity.replaces,
            refutes=self.identity.refutes,
        )

    def matches(self, announced: NodeAnnouncement) -> bool:
        """Whether an announcement has this node's current incarnation, roles and serving state."""
        return (
            announced.incarnation,
            announced.serving,
            announced.ledger_replica,
            announced.listed,
        ) == (self.identity.incarnation, self.serving, self.replica, self.listed)
