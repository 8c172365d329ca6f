"""State of this node, and the announcement of it. Pure.

Owns what only this node decides of itself; the other nodes know it from the announcement.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Placement
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.directory.renewals import renewal_seconds
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.place_shares.claims import ServiceClaims


@dataclass(slots=True)
class OwnNode:
    """This node as it knows itself.

    Attributes
    ----------
    front, peer
        Where callers and other nodes connect; `peer` is None if other nodes can't.
    capacity
        How fast its processor is, in cores of the usual speed.
    serving
        Whether callers may be sent here.
    replica, listed
        Its roles: a replica of the batch ledger, and being named to its zone's callers.
    stopping
        Whether a planned stop has begun.
    beat
        Announcements made.
    calls_per_second
        Rate of callers' requests, smoothed.
    claims
        What the items run here ask of engines; None: other nodes aren't told.
    """

    identity: ProcessId
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

    def announcement(self, living: int) -> NodeAnnouncement:
        """Return the announcement of this node, one of so many living nodes."""
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
            renewal_seconds=renewal_seconds(self.listed or self.replica, living),
            listed=self.listed,
            stopping=self.stopping,
            calls_per_second=round(self.calls_per_second, 1),
            claims=self.claims if self.replica else None,
        )

    def matches(self, announced: NodeAnnouncement) -> bool:
        """Whether an announcement still has this node's roles and whether it serves."""
        return (announced.serving, announced.ledger_replica, announced.listed) == (
            self.serving,
            self.replica,
            self.listed,
        )
