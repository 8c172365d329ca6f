"""Nodes that announce themselves, and which of them count as alive. Pure.

Owns failure timeouts, and the record of an announcement; its fields and their order are part of the
wire format.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Annotated

import msgspec

from stagewalk.common.identities import Address, NodeName
from stagewalk.gateway.directory.incarnations import is_outdated, supersedes
from stagewalk.gateway.directory.renewals import (
    MAXIMUM_RENEWAL_INTERVAL_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)
from stagewalk.gateway.place_shares.claims import ServiceClaims

FAILURE_TIMEOUT_SECONDS = 3.0
"""A node without an announcement for this long, while the log answers, counts as dead. Longer than
three renewal intervals of a node with a role (0.9 s each)."""

FAILURE_TIMEOUT_RENEWALS = 2.5
"""The same in renewal intervals, for nodes that announce themselves rarely: one renewal may be lost
and the next one late."""

RenewalSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAXIMUM_RENEWAL_INTERVAL_SECONDS)]

STALE_ROUNDS = 8
"""A listed node counts as dead if the offset of its announcement is behind the newest one's by more
than this number times the number of listed nodes."""


class NodeAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """State of a node, as the node announces it at regular intervals.

    Attributes
    ----------
    incarnation, beat, start, replaces, refutes
        See `incarnations.Announced`.
    front
        Address callers connect to.
    peer
        Address other nodes connect to, empty if none.
    serving
        Whether callers may be sent to it: false before it is ready and once it stops.
    ledger_replica
        Whether it follows all batches: it may run them, and answers calls about them.
    capacity
        Speed of its processor, in multiples of a standard core.
    renewal_seconds
        Maximum time until its next announcement.
    listed
        Whether it is one of the nodes that callers of its zone are sent to.
    stopping
        True once a planned stop has begun.
    calls_per_second
        Rate of callers' requests that it received, smoothed.
    claims
        Claims on engines of the items that it runs; None: not announced.
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
    start: str = ""
    replaces: str = ""
    refutes: str = ""

    @property
    def alive_seconds(self) -> float:
        """Return how long after an announcement it still counts as alive."""
        return max(FAILURE_TIMEOUT_SECONDS, FAILURE_TIMEOUT_RENEWALS * self.renewal_seconds)

    @property
    def has_role(self) -> bool:
        """Whether it has a role that others rely on; such a node announces itself often."""
        return self.listed or self.ledger_replica

    @property
    def peer_address(self) -> Address | None:
        """Return the address other nodes connect to, None if there is none."""
        host, _, port = self.peer.rpartition(":")
        return Address(host, int(port)) if host and port.isdecimal() else None

    def encode(self) -> bytes:
        """Return the record's value; the last fields are left out if they aren't set."""
        fields = list(msgspec.structs.astuple(self))
        while fields[-1] in (None, ""):
            fields.pop()
        return msgspec.msgpack.encode(fields)


def decode_announcement(value: bytes) -> NodeAnnouncement | None:
    """Return the announcement, None if the value can't be decoded."""
    try:
        return msgspec.msgpack.decode(value, type=NodeAnnouncement)
    except msgspec.DecodeError:
        return None


class NodeTable:
    """Nodes by name. Times are of this process's steady clock, in seconds."""

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._nodes: dict[str, NodeAnnouncement] = {}
        self._alive_until: dict[str, float] = {}

    def announce(
        self, announcement: NodeAnnouncement, now: float, view_at: float = math.inf
    ) -> None:
        """Apply a node's announcement, unless the known one stays in force.

        Parameters
        ----------
        view_at
            When the view was last complete; the known announcement's node is judged at that time.
        """
        name = announcement.node
        known = self._nodes.get(name)
        if known is not None and not supersedes(
            announcement, known, known_alive=min(now, view_at) < self._alive_until[name]
        ):
            return
        self._nodes[name] = announcement
        self._alive_until[name] = now + announcement.alive_seconds

    def apply_listing(
        self,
        listing: Mapping[int, NodeAnnouncement],
        now: float,
        view_at: float = math.inf,
    ) -> None:
        """Apply the newest announcement of each node, by offset.

        Nodes whose announcement is much older than the newest one count as dead, since alive nodes
        renew theirs; see `STALE_ROUNDS`.
        """
        oldest = max(listing, default=0) - STALE_ROUNDS * len(listing)
        for offset, announcement in listing.items():
            self.announce(announcement, now if offset >= oldest else -math.inf, view_at)

    def restart_timeouts(self, now: float, view_at: float) -> None:
        """Restart the failure timeout of each node that was alive when the view was last complete.

        During an outage of the log no node can announce itself. Nodes dead before it stay dead.
        """
        for node in self.alive(view_at):
            self._alive_until[node.node] = now + node.alive_seconds

    def alive(self, view_at: float) -> list[NodeAnnouncement]:
        """Return the nodes that counted as alive at the time of the last complete view."""
        return [
            announcement
            for node, announcement in self._nodes.items()
            if view_at < self._alive_until[node]
        ]

    def process_alive(self, node: str, incarnation: int, view_at: float) -> bool:
        """Whether an incarnation of a node counts as alive."""
        known = self._nodes.get(node)
        if known is None or is_outdated(incarnation, known):
            return False
        return view_at < self._alive_until[node]

    def known(self, node: str) -> NodeAnnouncement | None:
        """Return a node's newest announcement."""
        return self._nodes.get(node)
