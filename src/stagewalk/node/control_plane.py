"""The node's control plane: the state that nodes share, and the duties this node holds.

Owns membership, the log's streams, configuration, leases, placement of replica groups, claims and
weight rollouts, and wires them to each other. Relies on the log, peers and engines, from which
everything is rebuilt after a restart.
"""

from __future__ import annotations

import random

from stagewalk.common.identities import Epoch, Incarnation, ModelName, NodeName
from stagewalk.node.claims.core import ClaimCore
from stagewalk.node.claims.placement import PLACEMENT_STREAM, PlacementStateMachine, encode_record
from stagewalk.node.claims.planner import PlacementCandidate, PlacementPlanner
from stagewalk.node.claims.types import Peer
from stagewalk.node.configuration.follower import ConfigurationFollower
from stagewalk.node.configuration.notifications import ConfigurationChanged
from stagewalk.node.configuration.records import CONFIGURATION_SNAPSHOT_STREAM, CONFIGURATION_STREAM
from stagewalk.node.core.events import (
    AppendConfirmed,
    AppendFailed,
    LogRead,
    LogReadFailed,
    PeerMessageReceived,
)
from stagewalk.node.core.instructions import LogLineFields, WriteLogLine
from stagewalk.node.core.platform import LogRecord, Machine, MachineKind, MachineState
from stagewalk.node.leases.core import LeaseCandidate, LeaseCore, LiveMember
from stagewalk.node.leases.notifications import LeaseAcquired, LeaseLost
from stagewalk.node.leases.state_machine import LEASE_STREAM
from stagewalk.node.log_client.core import LogClientCore
from stagewalk.node.log_client.notifications import AppendAbandoned, AppendToStream, RecordsRead
from stagewalk.node.membership.core import MembershipCore
from stagewalk.node.membership.members import MemberStatus
from stagewalk.node.node_config import NodeConfig
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.outputs import NodeOutput
from stagewalk.node.weights.core import WeightRolloutCore

PLACEMENT_DUTY = "placement"
"""The lease whose holder plans replica groups and appends snapshots of the configuration."""

ROLLOUT_DUTY_PREFIX = "rollout/"
"""Followed by a model's name: the lease whose holder swaps the weights of the model's pool."""


class ControlPlane:
    """The control plane's cores and the connections between them.

    Parameters
    ----------
    identity
        This node.
    generator
        Source of all random choices of its cores.
    """

    def __init__(
        self, identity: NodeIdentity, config: NodeConfig, generator: random.Random
    ) -> None:
        self._config = config
        self.membership = MembershipCore(
            identity,
            config.membership,
            generator,
        )
        self.log_client = LogClientCore(generator, config.log_client)
        self.follower = ConfigurationFollower(identity, config.follower, generator)
        self.leases = LeaseCore(
            LeaseCandidate(identity.name, identity.incarnation), config.leases, generator
        )
        self.claims = ClaimCore(
            identity,
            config.claims,
            generator,
        )
        self.weights = WeightRolloutCore(identity, config.weights)
        self._placement = PlacementStateMachine()
        self._planner = PlacementPlanner(config.planner)
        self._leaving_machines: frozenset[str] = frozenset()
        self._plan_at = 0.0
        self._members_changed = True
        self.log_client.follow_latest(CONFIGURATION_SNAPSHOT_STREAM, 1)
        for stream in (LEASE_STREAM, PLACEMENT_STREAM):
            self.log_client.follow(stream, 0)
        self._follows_configuration = False
        self.members_changed()

    # Events

    def tick(self, now: float) -> list[NodeOutput]:
        """Tick all cores, and plan replica groups when it is time."""
        output: list[NodeOutput] = []
        output += self.membership.tick(now)
        self._update_live_members()
        output += self.log_client.tick(now)
        output += self.follower.tick(now)
        output += self.leases.tick(now)
        output += self.claims.tick(now)
        output += self.weights.tick(now)
        if now >= self._plan_at:
            self._plan_at = now + self._config.planning_interval_seconds
            output += self._plan_placement(now)
            output += self._take_snapshot()
        return output

    def handle_message(self, event: PeerMessageReceived, now: float) -> list[NodeOutput]:
        """Handle another node's message."""
        envelope = event.envelope
        sender = NodeName(envelope.sender)
        incarnation = Incarnation(envelope.sender_incarnation)
        output: list[NodeOutput] = []
        match envelope.WhichOneof("body"):
            case "membership":
                output += self.membership.handle_message(
                    event.source, sender, envelope.membership, now
                )
            case "claims":
                output += self.claims.handle_message(
                    event.source, sender, incarnation, envelope.claims, now
                )
            case "configuration":
                output += self.follower.handle_message(
                    event.source, sender, envelope.configuration, now
                )
            case _:
                output.append(WriteLogLine("unknown_peer_message", {"peer": sender}))
        return output

    def handle_log(
        self, event: LogRead | LogReadFailed | AppendConfirmed | AppendFailed, now: float
    ) -> list[NodeOutput]:
        """Handle the log's answer to a read or an append."""
        return list(self.log_client.handle(event, now))

    def lease_stream_read(self, event: LogRead, now: float) -> list[NodeOutput]:
        """Tell the lease core, after folding the records, if a read reached the stream's head."""
        reached_head = not event.records or event.records[-1].offset + 1 >= event.head
        return list(self.leases.record_caught_up(now)) if reached_head else []

    def handle_machines(self, machines: tuple[Machine, ...], now: float) -> None:
        """Apply the platform's machine list."""
        leaving = frozenset(
            machine.name
            for machine in machines
            if machine.kind is MachineKind.NODE and machine.state is MachineState.LEAVING
        )
        if leaving != self._leaving_machines:
            self._leaving_machines = leaving
            self.members_changed()
        self.membership.handle_machines(machines, now)
        self.weights.handle_machines(machines, now)

    # Notifications

    def records_read(self, read: RecordsRead, now: float) -> list[NodeOutput]:
        """Fold the next records of a stream."""
        if read.stream == CONFIGURATION_SNAPSHOT_STREAM:
            return self._snapshots_read(read.records, now)
        if read.stream == CONFIGURATION_STREAM:
            return list(self.follower.handle_records(read.records, now, read.head))
        if read.stream == LEASE_STREAM:
            return [output for record in read.records for output in self.leases.fold(record)]
        return self._fold_placement(read.records)

    def append(self, record: AppendToStream, now: float) -> list[NodeOutput]:
        """Append a record for a core."""
        queued = self.log_client.append(record.stream, record.payload, now)
        if queued.is_ok():
            return list(queued.ok.output)
        return [
            WriteLogLine("append_refused", {"stream": record.stream, "detail": str(queued.error)})
        ]

    def append_abandoned(self, abandoned: AppendAbandoned, now: float) -> list[NodeOutput]:
        """Log an abandoned append; its core repeats it if it is still needed."""
        fields = {"stream": abandoned.stream, "detail": abandoned.detail}
        return [WriteLogLine("append_abandoned", {"level": "warning", **fields})]

    def configuration_changed(self, changed: ConfigurationChanged, now: float) -> list[NodeOutput]:
        """Apply a configuration to the control plane's cores."""
        self.log_client.advance(CONFIGURATION_STREAM, changed.offset)
        self.membership.set_status(MemberStatus(configuration_offset=changed.offset))
        self.weights.set_tenants({tenant.name: tenant for tenant in changed.tenants})
        models = {model for tenant in changed.tenants for model in tenant.parameters.models}
        duties = [f"{ROLLOUT_DUTY_PREFIX}{model}" for model in sorted(models)]
        self.leases.set_duties([PLACEMENT_DUTY, *duties])
        fields: LogLineFields = {"offset": changed.offset, "digest": self.follower.fold.digest()}
        return [WriteLogLine("configuration_in_force", fields)]

    def lease_acquired(self, acquired: LeaseAcquired, now: float) -> list[NodeOutput]:
        """Start acting for a duty."""
        self._set_rollout_lease(acquired.duty, acquired.epoch)
        return [WriteLogLine("lease_acquired", {"duty": acquired.duty, "epoch": acquired.epoch})]

    def lease_lost(self, lost: LeaseLost, now: float) -> list[NodeOutput]:
        """Stop acting for a duty."""
        self._set_rollout_lease(lost.duty, None)
        return [WriteLogLine("lease_lost", {"duty": lost.duty})]

    def members_changed(self) -> None:
        """Record that members changed; the cores get the new members at the next tick."""
        self._members_changed = True

    def _update_live_members(self) -> None:
        """Pass the live members to the cores that need them."""
        if not self._members_changed:
            return
        self._members_changed = False
        members = self.membership.members()
        leaving = self._leaving_machines
        self.claims.set_members({m.name: Peer(m.address, m.incarnation) for m in members})
        self.leases.set_members(
            {m.name: LiveMember(m.incarnation, m.name in leaving) for m in members}
        )
        self.follower.set_members(tuple((m.name, m.address) for m in members))

    # Helpers

    def _set_rollout_lease(self, duty: str, epoch: Epoch | None) -> None:
        if duty.startswith(ROLLOUT_DUTY_PREFIX):
            self.weights.set_lease(ModelName(duty.removeprefix(ROLLOUT_DUTY_PREFIX)), epoch)

    def _snapshots_read(self, records: tuple[LogRecord, ...], now: float) -> list[NodeOutput]:
        """Apply the newest snapshot, then follow the configuration from there."""
        output = list(self.follower.handle_snapshots(records, now))
        if not self._follows_configuration:
            self._follows_configuration = True
            self.log_client.follow(CONFIGURATION_STREAM, self.follower.offset)
        return list(output)

    def _take_snapshot(self) -> list[NodeOutput]:
        """Append a snapshot of the configuration if one is due and this node has the duty."""
        if PLACEMENT_DUTY not in self.leases.held():
            return []
        snapshot = self.follower.take_snapshot()
        return [] if snapshot is None else [AppendToStream(CONFIGURATION_SNAPSHOT_STREAM, snapshot)]

    def _fold_placement(self, records: tuple[LogRecord, ...]) -> list[NodeOutput]:
        output: list[NodeOutput] = []
        changed = False
        for record in records:
            outcome = self._placement.apply(record)
            changed = changed or outcome.changed
            for rejection in outcome.rejections:
                output.append(WriteLogLine("placement_rejected", {"detail": rejection}))
        if changed:
            self.claims.set_placement(self._placement.placement)
        return output

    def _plan_placement(self, now: float) -> list[NodeOutput]:
        epoch = self.leases.held().get(PLACEMENT_DUTY)
        if epoch is None:
            return []
        candidates = {
            member.name: PlacementCandidate(
                member.incarnation, member.placement, member.name in self._leaving_machines
            )
            for member in self.membership.members()
        }
        change = self._planner.plan(candidates, self._placement.placement, epoch, now)
        if change is None:
            return []
        return [AppendToStream(PLACEMENT_STREAM, encode_record(change))]
