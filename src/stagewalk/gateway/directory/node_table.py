"""Nodes that announce themselves, and which of them count as alive. Pure.

Owns the record of an announcement (wired: its fields and their order stay) and failure timeouts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Annotated

import msgspec

from stagewalk.common.identities import Address, NodeName
from stagewalk.gateway.directory.renewals import (
    MAXIMUM_RENEWAL_INTERVAL_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)
from stagewalk.gateway.place_shares.claims import ServiceClaims

FAILURE_TIMEOUT_SECONDS = 3.0
"""A node that announced nothing for this long, while the log answers, counts as dead: three
renewals of a node with a role (0.9 s) fit in."""

FAILURE_TIMEOUT_RENEWALS = 2.5
"""The same in renewals, for nodes that announce themselves seldom: one may be lost, the next one
late."""

RenewalSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAXIMUM_RENEWAL_INTERVAL_SECONDS)]

STALE_ROUNDS = 8
"""A node that did not announce itself while the others did so this often counts as dead."""


class NodeAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """State of a node, announced again and again by itself.

    Attributes
    ----------
    incarnation
        Grows with each start of the process.
    front
        Address callers connect to.
    peer
        Address other nodes connect to, empty if none.
    serving
        Whether callers may be sent to it: false before it is ready and once it stops.
    beat
        Grows with each announcement.
    ledger_replica
        Whether it follows all batches: it may run them, and answers calls about them.
    capacity
        How fast its processor is, in cores of the usual speed.
    renewal_seconds
        When it will announce itself again at the latest.
    listed
        Whether it is one of the nodes that callers of its zone are sent to.
    stopping
        True once a planned stop has begun.
    calls_per_second
        Rate of callers' requests that it received, smoothed.
    claims
        What the items that it runs ask of engines; None: it says nothing of that. The last field.
    """

    node: str
    incarnation: int
    front: str
    peer: str
    zone: str
    region: str
    serving: bool
    beat: int
    ledger_replica: bool = False
    capacity: float = 1.0
    renewal_seconds: RenewalSeconds = RENEWAL_INTERVAL_SECONDS
    listed: bool = True
    stopping: bool = False
    calls_per_second: float = 0.0
    claims: tuple[ServiceClaims, ...] | None = None

    @property
    def alive_seconds(self) -> float:
        """Return how long after an announcement it still counts as alive."""
        return max(FAILURE_TIMEOUT_SECONDS, FAILURE_TIMEOUT_RENEWALS * self.renewal_seconds)

    @property
    def has_role(self) -> bool:
        """Whether it has a role that others rely on: then it announces itself and reads often."""
        return self.listed or self.ledger_replica

    @property
    def peer_address(self) -> Address | None:
        """Return where other nodes connect, None if they can't."""
        host, _, port = self.peer.rpartition(":")
        return Address(host, int(port)) if host and port.isdecimal() else None

    def encode(self) -> bytes:
        """Return the record's value; claims that aren't stated take no byte of it."""
        fields = msgspec.structs.astuple(self)
        return msgspec.msgpack.encode(fields if self.claims is not None else fields[:-1])


def decode_announcement(value: bytes) -> NodeAnnouncement | None:
    """Return an announcement, None if the value is none."""
    try:
        return msgspec.msgpack.decode(value, type=NodeAnnouncement)
    except msgspec.DecodeError:
        return None


class NodeTable:
    """Nodes by name. Times are of this process's steady clock."""

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._nodes: dict[str, NodeAnnouncement] = {}
        self._alive_until: dict[str, float] = {}

    def announce(self, announcement: NodeAnnouncement, now: float) -> None:
        """Apply a node's announcement; one of an earlier start is ignored."""
        known = self._nodes.get(announcement.node)
        if known is not None and _order(announcement) <= _order(known):
            return
        self._nodes[announcement.node] = announcement
        self._alive_until[announcement.node] = now + announcement.alive_seconds

    def apply_listing(self, listing: Mapping[int, NodeAnnouncement], now: float) -> None:
        """Apply a listing of the newest announcements, by their offsets.

        Every living node announces itself again and again, so one whose announcement lies many
        rounds back was gone long before.
        """
        oldest = max(listing, default=0) - STALE_ROUNDS * len(listing)
        for offset, announcement in listing.items():
            self.announce(announcement, now if offset >= oldest else -math.inf)

    def restart_timeouts(self, now: float, view_at: float) -> None:
        """Restart the failure timeout of each node that was alive when the view was last complete.

        During an outage none could announce itself; one that was gone before is still gone.
        """
        for node in self.alive(view_at):
            self._alive_until[node.node] = now + node.alive_seconds

    def alive(self, view_at: float) -> list[NodeAnnouncement]:
        """Return the nodes that counted as alive as of when the view was last complete."""
        return [
            announcement
            for node, announcement in self._nodes.items()
            if view_at < self._alive_until[node]
        ]

    def process_alive(self, node: str, incarnation: int, view_at: float) -> bool:
        """Whether a certain start of a node counts as alive."""
        known = self._nodes.get(node)
        if known is None or known.incarnation > incarnation:
            return False
        return view_at < self._alive_until[node]

    def known(self, node: str) -> NodeAnnouncement | None:
        """Return a node's newest announcement."""
        return self._nodes.get(node)


def _order(announcement: NodeAnnouncement) -> tuple[int, int]:
    return announcement.incarnation, announcement.beat
