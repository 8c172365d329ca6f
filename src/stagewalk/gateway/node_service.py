"""Announces this node through the log and follows the other nodes."""

from __future__ import annotations

import time

import anyio
import anyio.abc

from stagewalk.batches.runner_liveness import RunnerLiveness
from stagewalk.batches.takeover import RunnerState
from stagewalk.core.identities import Address, NodeName, Placement
from stagewalk.core.policy import Policy
from stagewalk.directory.ledger_replicas import wants_replica
from stagewalk.directory.node_table import (
    NodeAnnouncement,
    NodeTable,
    decode_announcement,
    directory_order,
)
from stagewalk.gateway.identity import ProcessId, parse_process_id
from stagewalk.logs.lines import log_event
from stagewalk.partitioned_log.follower import KeyedFollower
from stagewalk.ports.partitioned_log import KeyedRecord, Partition, PartitionedLog

ANNOUNCE_SECONDS = 0.9
READ_PAUSE_SECONDS = 0.4
IDLE_READ_PAUSE_SECONDS = 0.8
"""How long announcements gather between two reads; longer where no batches are run."""

OUTAGE_SECONDS = 1.5
"""A view not confirmed for longer than this has missed announcements."""


class NodeService:
    """This node's announcements, and its view of the others."""

    def __init__(
        self,
        *,
        log: PartitionedLog,
        partition: Partition,
        identity: ProcessId,
        front: Address,
        peer: Address | None,
        placement: Placement,
        capacity: float,
        policy: Policy,
    ) -> None:
        self._log = log
        self._partition = partition
        self._identity = identity
        self._front = str(front)
        self._peer = "" if peer is None else str(peer)
        self._placement = placement
        self._capacity = capacity
        self._policy = policy
        self._table = NodeTable(NodeName(identity.node))
        self._follower = KeyedFollower(
            log,
            partition,
            self._replace,
            self._apply,
            pause_seconds=READ_PAUSE_SECONDS,
            wait_seconds=1.0,
        )
        self._beat = 0
        self._view_at = 0.0
        self._listed = anyio.Event()
        self._wake = anyio.Event()
        self._serves = False
        self._replica = False
        self._liveness = RunnerLiveness()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start announcing and following."""
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._announce)
        tasks.start_soon(self._watch_view)

    @property
    def known(self) -> bool:
        """Whether the other nodes have been listed once."""
        return self._listed.is_set()

    def set_serving(self, serving: bool) -> None:
        """Say from now on whether callers may be sent here."""
        if serving != self._serves:
            self._serves = serving
            self._wake.set()

    def set_following(self, following: bool) -> None:
        """Read announcements as often as one needs who runs batches, or less often."""
        pause = READ_PAUSE_SECONDS if following else IDLE_READ_PAUSE_SECONDS
        self._follower.pause_seconds = pause

    def set_replica(self, replica: bool) -> None:
        """Say from now on whether this node holds a replica of the batch ledger."""
        if replica != self._replica:
            self._replica = replica
            self._wake.set()

    @property
    def liveness(self) -> RunnerLiveness:
        """Return what direct questions tell of runners."""
        return self._liveness

    def peer_of(self, process: str) -> Address | None:
        """Return where the machine of a process takes calls of other nodes, None if unknown."""
        identity = parse_process_id(process)
        known = None if identity is None else self._table.known(identity.node)
        return None if known is None else known.peer_address

    def wants_replica(self) -> bool:
        """Whether this node should hold a replica, as far as it knows the others.

        It counts itself although it may not serve yet: it must follow before it does.
        """
        others = [node for node in self.serving() if node.node != self._identity.node]
        return self.known and wants_replica(
            self._identity.node, [*others, self._own()], self._policy
        )

    async def wait_until_known(self) -> None:
        """Wait until the other nodes have been listed once."""
        await self._listed.wait()

    def replicas(self) -> list[NodeAnnouncement]:
        """Return the serving nodes that hold a replica, this one as it knows itself."""
        return [node for node in self.serving() if node.ledger_replica]

    def serving_nodes(self, region: str, zone: str, most: int) -> list[str]:
        """Return the addresses of nodes that serve, nearest first."""
        alive = directory_order(self.serving(), region, zone, most)
        return [announcement.front for announcement in alive]

    def serving(self) -> list[NodeAnnouncement]:
        """Return the nodes that serve, this one as it knows itself."""
        others = [
            node
            for node in self._table.alive(self._view_at)
            if node.serving and node.node != self._identity.node
        ]
        return [*others, self._own()] if self._serves else others

    def peers(self) -> list[Address]:
        """Return where other living nodes take relayed calls."""
        others = [
            node for node in self._table.alive(self._view_at) if node.node != self._identity.node
        ]
        return [address for node in others if (address := node.peer_address) is not None]

    def runner_state(self, process: str) -> RunnerState:
        """Return what is believed of a process that is to run a batch.

        Judged as of when the view was last complete. One that follows the batches no more
        doesn't run them.
        """
        identity = parse_process_id(process)
        if identity is None:
            return RunnerState.GONE
        if identity == self._identity:
            return RunnerState.RUNS
        if identity.node == self._identity.node:
            return RunnerState.MINE_BEFORE
        known = self._table.known(identity.node)
        if known is None or not known.ledger_replica:
            return RunnerState.GONE
        now = time.monotonic()
        if self._liveness.gone(process, now):
            return RunnerState.GONE
        if self._liveness.replaced(process, now):
            return RunnerState.RETURNED
        if self._table.process_alive(known.node, identity.incarnation, self._view_at):
            return RunnerState.RUNS
        returned = self._table.process_alive(known.node, known.incarnation, self._view_at)
        return RunnerState.RETURNED if returned else RunnerState.GONE

    def _own(self) -> NodeAnnouncement:
        return NodeAnnouncement(
            self._identity.node,
            self._identity.incarnation,
            self._front,
            self._peer,
            self._placement.zone,
            self._placement.region,
            self._serves,
            self._beat,
            self._replica,
            self._capacity,
        )

    async def _announce(self) -> None:
        await self._listed.wait()
        while True:
            self._beat += 1
            own = self._own()
            self._table.announce(own, time.monotonic())
            answer = await self._log.append_keyed(self._partition, own.node, own.encode())
            if answer.is_error():
                log_event("announcement_failed", "debug", fault=answer.error.fault)
            self._wake = anyio.Event()
            if (own.serving, own.ledger_replica) == (self._serves, self._replica):
                with anyio.move_on_after(ANNOUNCE_SECONDS):
                    await self._wake.wait()

    async def _watch_view(self) -> None:
        """Let the view's time follow the follower's; after an outage, forgive everyone."""
        while True:
            confirmed = self._follower.freshness.confirmed_at
            if confirmed - self._view_at > OUTAGE_SECONDS:
                self._table.forgive(confirmed, self._view_at)
            self._view_at = max(self._view_at, confirmed)
            await anyio.sleep(READ_PAUSE_SECONDS / 2)

    def _replace(self, records: tuple[KeyedRecord, ...]) -> None:
        listing = {
            record.offset: announcement
            for record in records
            if record.value is not None
            and (announcement := decode_announcement(record.value)) is not None
        }
        self._table.announced(listing, time.monotonic())
        previous = self._table.known(self._identity.node)
        if not self.known and previous is not None:
            later = previous.incarnation + 1
            self._identity.incarnation = max(self._identity.incarnation, later)
        self._listed.set()

    def _apply(self, record: KeyedRecord) -> None:
        announcement = None if record.value is None else decode_announcement(record.value)
        if announcement is not None:
            self._table.announce(announcement, time.monotonic())
