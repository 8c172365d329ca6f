"""Announces this node through the log, and answers announcements of its name by other processes.

Owns this node's state and identity: only this class changes them. Relies on
`directory.incarnations` for what to do about another process's announcement.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.directory.call_rate import CallRate
from stagewalk.gateway.directory.incarnations import OwnNameVerdict, judge_own_name
from stagewalk.gateway.directory.node_table import NodeAnnouncement, NodeTable
from stagewalk.gateway.directory.renewals import RENEWAL_INTERVAL_SECONDS
from stagewalk.gateway.nodes.own_node import OwnNode
from stagewalk.gateway.place_shares.claims import ServiceClaims, has_significant_increase
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog


class OwnAnnouncements:
    """This node's state, and its announcements.

    Parameters
    ----------
    own
        This node.
    table
        Receives this node's announcements as they are made.
    alive_nodes
        Returns the number of alive nodes, on which the renewal interval depends.
    """

    def __init__(
        self,
        log: PartitionedLog,
        partition: Partition,
        own: OwnNode,
        table: NodeTable,
        alive_nodes: Callable[[], int],
    ) -> None:
        self._log = log
        self._partition = partition
        self._own = own
        self._identity = own.identity
        self._table = table
        self._alive_nodes = alive_nodes
        self._calls = CallRate(steady_seconds())
        self._wake = anyio.Event()
        self._announced_early = False
        self._superseded = anyio.Event()

    def current(self) -> NodeAnnouncement:
        """Return the announcement of this node's current state."""
        return self._own.announcement(self._alive_nodes())

    def count_call(self) -> None:
        """Count a caller's request."""
        self._calls.count()

    def set_serving(self, serving: bool) -> None:
        """Set whether callers may be sent here, and announce it."""
        if serving != self._own.serving:
            self._own.serving = serving
            self._wake.set()

    def set_stopping(self) -> None:
        """Announce that a planned stop has begun."""
        self._own.stopping = True
        self.set_serving(False)

    def set_listed(self, listed: bool) -> None:
        """Set whether the directory returns this node to callers, and announce it."""
        if listed != self._own.listed:
            self._own.listed = listed
            self._wake.set()

    def set_replica(self, replica: bool) -> None:
        """Set whether this node holds a replica of the batch ledger, and announce it."""
        if replica != self._own.replica:
            self._own.replica = replica
            self._wake.set()

    def set_claims(self, claims: tuple[ServiceClaims, ...] | None) -> None:
        """Set the claims on engines of the items run here.

        They are announced with the next renewal. If they exceed the announced claims by much, they
        are announced at once, but at most once between two renewals.
        """
        self._own.claims = claims
        announced = self._table.known(self._identity.node)
        if announced is None or self._announced_early:
            return
        if has_significant_increase(announced.claims or (), claims or ()):
            self._announced_early = True
            self._wake.set()

    async def wait_until_superseded(self) -> None:
        """Wait until another process of this node's name goes on in place of this one."""
        await self._superseded.wait()

    async def run(self) -> None:
        """Announce this node until cancelled, or until another process goes on in its place."""
        while not self._superseded.is_set():
            self._own.beat += 1
            self._own.calls_per_second = self._calls.end_interval(steady_seconds())
            own = self.current()
            self._table.announce(own, steady_seconds())
            answer = await self._log.append_keyed(self._partition, own.node, own.encode())
            wait_seconds = own.renewal_seconds
            if answer.is_error():
                log_event("announcement_failed", "debug", fault=answer.error.fault)
                wait_seconds = RENEWAL_INTERVAL_SECONDS
            self._wake = anyio.Event()
            if self._own.matches(own):
                with anyio.move_on_after(wait_seconds) as renewal:
                    await self._wake.wait()
                if renewal.cancelled_caught:
                    self._announced_early = False

    def replace(self, earlier: Sequence[NodeAnnouncement]) -> None:
        """Choose the incarnation, above those of this node's earlier processes.

        Parameters
        ----------
        earlier
            Announcements of this node's name in the first listing that was read.
        """
        for announcement in earlier:
            self._identity.replace(announcement.incarnation, announcement.start)
        log_event(
            "incarnation_chosen",
            incarnation=self._identity.incarnation,
            start=self._identity.start,
            replaces=self._identity.replaces,
            known_incarnation=max((a.incarnation for a in earlier), default=0),
        )

    def judge(self, announced: NodeAnnouncement) -> None:
        """Raise this node's incarnation, or stop, after an announcement of its name."""
        if announced.start == self._identity.start or self._superseded.is_set():
            return
        verdict = judge_own_name(self.current(), announced)
        if verdict is OwnNameVerdict.IGNORE:
            return
        before = self._identity.incarnation
        if verdict is OwnNameVerdict.RAISE:
            self._identity.refute(announced.incarnation, announced.start)
        else:
            self._superseded.set()
        self._wake.set()
        log_event(
            "incarnation_raised" if verdict is OwnNameVerdict.RAISE else "node_superseded",
            "warning",
            incarnation=self._identity.incarnation,
            incarnation_before=before,
            other_incarnation=announced.incarnation,
            other_start=announced.start,
            other_address=announced.front,
        )
