"""This node's view of the other nodes, and what follows from it for its roles.

Owns the follower of the partition of announcements. Relies on `own_announcements` to announce this
node, on `directory` for roles and listings, and on `runner_state` and `relay_choice` to judge other
nodes.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc

from stagewalk.common.identities import Address, NodeName
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.runner_liveness import RunnerLiveness
from stagewalk.gateway.batches.takeover import RunnerState
from stagewalk.gateway.directory.caller_subset import (
    CallerLocation,
    select_nodes_for_caller,
    should_be_listed,
)
from stagewalk.gateway.directory.ledger_replicas import should_hold_replica
from stagewalk.gateway.directory.node_table import NodeAnnouncement, NodeTable, decode_announcement
from stagewalk.gateway.directory.poll_intervals import (
    LISTED_POLL_INTERVALS,
    OLDEST_VIEW_SECONDS,
    REFRESH_TIMEOUT_SECONDS,
)
from stagewalk.gateway.log_relay.relayed_log import RelayPeers
from stagewalk.gateway.nodes.identity import ProcessId, parse_process_id
from stagewalk.gateway.nodes.own_announcements import OwnAnnouncements
from stagewalk.gateway.nodes.own_node import OwnNode
from stagewalk.gateway.nodes.relay_choice import choose_relay_peers
from stagewalk.gateway.nodes.runner_state import judge_runner
from stagewalk.gateway.partitioned_log.keyed_follower import KeyedFollower
from stagewalk.gateway.place_shares.claims import ServiceClaims
from stagewalk.gateway.place_shares.limits import PeerClaims
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.keyed_records import KeyedRecordHandler
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, Partition, PartitionedLog
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allows

READ_WAIT_SECONDS = 1.0
"""How long a read waits for the first new announcement."""

OUTAGE_SECONDS = 0.6
"""The log counts as unavailable if the view isn't confirmed for this long beyond the pause between
two reads and the wait of a read."""

SETTLE_SECONDS = 0.5
"""How long a node that finds no replica of the ledger anywhere waits for others to announce
themselves. Without it, when all nodes start at once, each would take every role."""


@dataclass(frozen=True, slots=True)
class Roles:
    """Roles of a node; it serves callers with or without them.

    Attributes
    ----------
    replica
        Whether it holds a replica of the batch ledger.
    listed
        Whether the directory returns it to the callers of its zone.
    """

    replica: bool
    listed: bool


class NodeService:
    """This node's announcements, and its view of the others.

    Parameters
    ----------
    own
        This node.
    batch_regions
        Returns the regions in which batches may be kept and run.
    worker_ends
        Handles crash reports. They are in the same partition as the announcements, which every
        node reads before it serves, so they need no reads of their own.
    """

    def __init__(
        self,
        *,
        log: PartitionedLog,
        partition: Partition,
        own: OwnNode,
        policy: Policy,
        batch_regions: Callable[[], AllowedRegions],
        worker_ends: KeyedRecordHandler,
    ) -> None:
        self._log = log
        self._partition = partition
        self._own = own
        self._identity = own.identity
        self._policy = policy
        self._batch_regions = batch_regions
        self._table = NodeTable(NodeName(own.identity.node))
        self._announcements = OwnAnnouncements(
            log, partition, own, self._table, lambda: self._alive_nodes
        )
        self._follower = KeyedFollower(
            log,
            partition,
            self._replace,
            self._apply,
            pause_seconds=LISTED_POLL_INTERVALS.nodes_pause_seconds,
            wait_seconds=READ_WAIT_SECONDS,
            on_confirm=self._view_confirmed,
        )
        self._view_at = -math.inf
        self._known = anyio.Event()
        self._settled = anyio.Event()
        self._started_alone = False
        self._roles = Roles(replica=False, listed=False)
        self._roles_as_of = -math.inf
        self._alive_nodes = 1
        self._liveness = RunnerLiveness()
        self._worker_ends = worker_ends

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start announcing and following."""
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._announce)

    @property
    def known(self) -> bool:
        """Whether the other nodes' announcements were read at least once."""
        return self._known.is_set()

    @property
    def settled(self) -> bool:
        """Whether the other nodes have had time to announce themselves."""
        return self._settled.is_set()

    async def wait_until_superseded(self) -> None:
        """Wait until another process of this node's name goes on in place of this one."""
        await self._announcements.wait_until_superseded()

    @property
    def started_without_replicas(self) -> bool:
        """Whether no replica of the ledger was alive anywhere when this process started."""
        return self._started_alone

    @property
    def listed(self) -> bool:
        """Whether callers are sent to this node."""
        return self._own.listed

    def count_call(self) -> None:
        """Count a caller's request."""
        self._announcements.count_call()

    async def refresh(self) -> None:
        """Read announcements again if the view is too old to answer a caller's look-up."""
        await self._follower.refresh(OLDEST_VIEW_SECONDS, REFRESH_TIMEOUT_SECONDS)

    async def renew(self, oldest_seconds: float, timeout_seconds: float) -> bool:
        """Return whether the view is at most `oldest_seconds` old; read again if it is older."""
        return await self._follower.renew(oldest_seconds, timeout_seconds)

    def set_serving(self, serving: bool) -> None:
        """Set whether callers may be sent here, and announce it."""
        self._announcements.set_serving(serving)

    def set_stopping(self) -> None:
        """Announce that a planned stop has begun."""
        self._announcements.set_stopping()

    def set_pause(self, seconds: float) -> None:
        """Set the pause between two reads of announcements, in seconds."""
        self._follower.pause_seconds = seconds

    def set_listed(self, listed: bool) -> None:
        """Set whether the directory returns this node to callers, and announce it."""
        self._announcements.set_listed(listed)

    def set_replica(self, replica: bool) -> None:
        """Set whether this node holds a replica of the batch ledger, and announce it."""
        self._announcements.set_replica(replica)

    def set_claims(self, claims: tuple[ServiceClaims, ...] | None) -> None:
        """Set and announce the claims on engines of the items run here."""
        self._announcements.set_claims(claims)

    def claims_of_others(self) -> PeerClaims:
        """Return the claims announced by the other nodes that run batches.

        Processes that stop or are gone are left out: other nodes take over their batches and
        announce these claims.
        """
        running = [
            node
            for node in self._others()
            if node.ledger_replica and not node.stopping and self._runs(node)
        ]
        return PeerClaims(self._view_at, [node.claims for node in running])

    def _runs(self, node: NodeAnnouncement) -> bool:
        process = str(ProcessId(node.node, node.incarnation))
        return self.runner_state(process) is RunnerState.RUNS

    @property
    def liveness(self) -> RunnerLiveness:
        """Return the results of direct probes of runners."""
        return self._liveness

    def peer_address_of(self, process: str) -> Address | None:
        """Return the address at which a process's node serves other nodes, None if unknown."""
        identity = parse_process_id(process)
        known = None if identity is None else self._table.known(identity.node)
        return None if known is None else known.peer_address

    def target_roles(self) -> Roles:
        """Return the roles that this node should have, by its view of the others.

        They are computed once for each view, since all nodes have to be ranked.
        """
        if self.settled and self._roles_as_of < self._view_at:
            candidates = self._role_candidates()
            self._alive_nodes = len(candidates)
            self._roles_as_of = self._view_at
            self._roles = Roles(
                replica=should_hold_replica(
                    self._identity.node, self._in_batch_regions(candidates), self._policy
                ),
                listed=should_be_listed(self._identity.node, candidates),
            )
        return self._roles

    def _role_candidates(self) -> list[NodeAnnouncement]:
        """Return the nodes that roles are assigned to, this one included.

        Nodes that don't serve yet are included: a node follows the batches before it serves.
        """
        others = [node for node in self._others() if not node.stopping]
        return [*others, self._announcements.current()]

    async def wait_until_known(self) -> None:
        """Wait until the other nodes' announcements were read once."""
        await self._known.wait()

    async def wait_until_settled(self) -> None:
        """Wait until the other nodes are known and have had time to announce themselves."""
        await self._known.wait()
        if self._started_alone:
            await anyio.sleep(SETTLE_SECONDS)
            await self._follower.refresh(0.0, REFRESH_TIMEOUT_SECONDS)
        self._settled.set()

    def replicas(self) -> list[NodeAnnouncement]:
        """Return the serving nodes that hold a replica; for this node its own state counts."""
        holders = [node for node in self.serving() if node.ledger_replica]
        return self._in_batch_regions(holders)

    @property
    def may_hold_batches(self) -> bool:
        """Whether batches may be kept and run in this node's region."""
        return allows(self._batch_regions(), self._own.placement.region)

    def _in_batch_regions(self, nodes: list[NodeAnnouncement]) -> list[NodeAnnouncement]:
        regions = self._batch_regions()
        return nodes if regions is None else [n for n in nodes if allows(regions, n.region)]

    def serving_nodes(self, caller: CallerLocation, most: int) -> list[str]:
        """Return the addresses of the nodes that a caller should use, nearest first."""
        selected = select_nodes_for_caller(self.serving(), caller, most)
        return [announcement.front for announcement in selected]

    def serving(self) -> list[NodeAnnouncement]:
        """Return the nodes that serve; for this node its own state counts."""
        others = [node for node in self._others() if node.serving]
        return [*others, self._announcements.current()] if self._own.serving else others

    def peers(self) -> RelayPeers:
        """Return the addresses of other alive nodes that relay calls of the log."""
        others = self._others()
        return choose_relay_peers(others, self._own.placement.region, self._batch_regions())

    def runner_state(self, process: str) -> RunnerState:
        """Return the state of a process to which a batch is assigned."""
        return judge_runner(
            process,
            self._identity,
            self._table,
            self._liveness,
            view_at=self._view_at,
            now=steady_seconds(),
        )

    def _others(self) -> list[NodeAnnouncement]:
        """Return the other nodes that were alive when the view was last complete."""
        alive = self._table.alive(self._view_at)
        return [node for node in alive if node.node != self._identity.node]

    async def _announce(self) -> None:
        await self._known.wait()
        await self._announcements.run()

    def _view_confirmed(self, confirmed_at: float) -> None:
        """Update the view's time; after an outage, restart the failure timeout of alive nodes."""
        longest = self._follower.pause_seconds + READ_WAIT_SECONDS + OUTAGE_SECONDS
        if -math.inf < self._view_at < confirmed_at - longest:
            self._table.restart_timeouts(confirmed_at, self._view_at)
        self._view_at = max(self._view_at, confirmed_at)

    def _replace(self, records: tuple[KeyedRecord, ...]) -> None:
        self._worker_ends.replace(
            tuple(record for record in records if self._worker_ends.owns(record))
        )
        listing = {
            record.offset: announcement
            for record in records
            if not self._worker_ends.owns(record) and (announcement := _decode(record)) is not None
        }
        now = steady_seconds()
        of_own_name = [a for a in listing.values() if a.node == self._identity.node]
        if self.known:
            others = {o: a for o, a in listing.items() if a.node != self._identity.node}
            self._table.apply_listing(others, now, self._view_at)
            for announcement in of_own_name:
                self._announcements.judge(announcement)
            return
        self._table.apply_listing(listing, now)
        self._started_alone = not any(node.ledger_replica for node in self._table.alive(now))
        self._announcements.replace(of_own_name)
        self._known.set()

    def _apply(self, record: KeyedRecord) -> None:
        if self._worker_ends.owns(record):
            self._worker_ends.apply(record)
            return
        announcement = _decode(record)
        if announcement is None:
            return
        if announcement.node == self._identity.node:
            self._announcements.judge(announcement)
            return
        before = self._table.known(announcement.node)
        self._table.announce(announcement, steady_seconds(), self._view_at)
        applied = self._table.known(announcement.node) is announcement
        if applied and before is not None and before.front != announcement.front:
            log_event(
                "node_replaced",
                other=announcement.node,
                address=announcement.front,
                incarnation=announcement.incarnation,
                known_address=before.front,
                known_incarnation=before.incarnation,
            )


def _decode(record: KeyedRecord) -> NodeAnnouncement | None:
    """Return a record's announcement, None if it has none; log one that can't be decoded."""
    if record.value is None:
        return None
    announcement = decode_announcement(record.value)
    if announcement is None:
        log_event("announcement_unreadable", "warning", other=record.key, offset=record.offset)
    return announcement
