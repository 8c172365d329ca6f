"""The node's pure core: all subsystems' cores composed into one state machine.

It does no I/O, reads no clock and has no source of randomness but the generator it is given, so
the daemon and the simulation run the same class. Owns the dispatch of events and notifications
by type; relies on the control plane and the data plane for all decisions.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast, get_args

from stagewalk.common.identities import Incarnation
from stagewalk.node.answer_exchange import AnswerExchange
from stagewalk.node.claims.notifications import (
    ClaimAbsent,
    ClaimDecided,
    ClaimUndecided,
    ProposeClaim,
    ReadClaim,
)
from stagewalk.node.configuration.notifications import ConfigurationChanged
from stagewalk.node.control_plane import ControlPlane
from stagewalk.node.core.events import (
    AppendConfirmed,
    AppendFailed,
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    CallAbandoned,
    CompletionRequested,
    EngineReported,
    EngineReportFailed,
    Event,
    LogRead,
    LogReadFailed,
    LotSubmitted,
    MachinesRead,
    OrderAnswered,
    PeerMessageReceived,
    RetainedAnswerRequested,
    SampleScored,
    SampleScoringFailed,
    SamplesRequested,
    StopRequested,
    Tick,
    VersionsRead,
)
from stagewalk.node.core.instructions import (
    ExitProcess,
    Instruction,
    LogLineFields,
    ReadMachines,
    WriteLogLine,
)
from stagewalk.node.data_plane import DataPlane
from stagewalk.node.leases.notifications import LeaseAcquired, LeaseLost
from stagewalk.node.leases.state_machine import LEASE_STREAM
from stagewalk.node.log_client.notifications import (
    AppendAbandoned,
    AppendSettled,
    AppendToStream,
    RecordsRead,
)
from stagewalk.node.membership.notifications import IdentitySuperseded, MemberChanged
from stagewalk.node.node_config import NodeConfig
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.outputs import NodeOutput
from stagewalk.node.requests import notifications as requests
from stagewalk.node.samples import notifications as samples

__all__ = ["NodeCore", "NodeIdentity", "NodeStatus"]

REQUEST_CLAIM_PREFIX = "request/"
"""Prefix of the keys of requests' claims; all other claims are for samples."""

INSTRUCTION_TYPES: tuple[type, ...] = get_args(Instruction)


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of a node, for operators and probes.

    Attributes
    ----------
    configuration_offset
        Offset after the last configuration record folded.
    configuration_digest
        Digest of the whole configuration in force.
    revisions
        Revision in force, by tenant.
    models
        Models of all tenants in force.
    configuration_offsets
        Offset in force at each member, as far as gossip has reported it.
    """

    name: str
    incarnation: int
    ready: bool
    stopping: bool
    configuration_offset: int
    configuration_digest: str
    revisions: dict[str, int]
    members: dict[str, str]
    requests_in_flight: int
    leases: dict[str, int]
    models: tuple[str, ...] = ()
    configuration_offsets: dict[str, int] = field(default_factory=dict)


class NodeCore:
    """State machine of one node: takes typed events and returns typed instructions.

    Parameters
    ----------
    identity
        The node's own name, incarnation, address and placement.
    generator
        Source of all its random choices; seeded by the simulation.
    """

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        self.identity = identity
        config = NodeConfig()
        self.control = ControlPlane(identity, config, generator)
        self.data = DataPlane(identity, config, generator)
        self.answers = AnswerExchange(identity, self.data.requests, self.control.membership)
        self._pending: deque[NodeOutput] = deque()
        self._now = float("-inf")
        self._machine_list_interval_seconds = config.machine_list_interval_seconds
        self._read_machines_at = float("-inf")
        self._machines_known = False
        self._stopping = False
        self._restart_above: Incarnation | None = None
        """See `ExitProcess`."""
        self._exited = False
        self._event_handlers = self._make_event_handlers()
        self._notification_handlers = self._make_notification_handlers()

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle an event at time `now` (seconds, never decreasing) and return instructions."""
        self._now = max(now, self._now)
        self._pending.extend(self._event_handlers[type(event)](event, self._now))
        return self._dispatch_pending()

    def status(self, now: float) -> NodeStatus:
        """Return the status for operators and probes."""
        fold = self.control.follower.fold
        tenants = [fold.tenants[name] for name in sorted(fold.tenants)]
        models = {str(model) for tenant in tenants for model in tenant.parameters.models}
        return NodeStatus(
            name=self.identity.name,
            incarnation=self.identity.incarnation,
            ready=self.control.follower.current and self._machines_known and not self._stopping,
            stopping=self._stopping,
            configuration_offset=fold.offset,
            configuration_digest=fold.digest(),
            revisions={str(tenant.name): tenant.revision for tenant in tenants},
            members={
                str(member.name): member.state.name.lower()
                for member in self.control.membership.members()
            },
            requests_in_flight=self.data.requests.in_flight_count(),
            leases={duty: int(epoch) for duty, epoch in self.control.leases.held().items()},
            models=tuple(sorted(models)),
            configuration_offsets={
                str(name): offset for name, offset in self.control.follower.member_offsets().items()
            },
        )

    def _dispatch_pending(self) -> list[Instruction]:
        """Dispatch notifications to their cores until only instructions are left.

        The output of a notification is handled before the outputs that follow it, so that
        instructions are in causal order.
        """
        instructions: list[Instruction] = []
        while self._pending:
            output = self._pending.popleft()
            handler = self._notification_handlers.get(type(output))
            if handler is not None:
                self._pending.extendleft(reversed(handler(output, self._now)))
            elif isinstance(output, INSTRUCTION_TYPES):
                instructions.append(cast(Instruction, output))
            else:
                raise TypeError(f"no core handles {type(output).__name__}")
        return instructions

    def _make_event_handlers(self) -> dict[type, Callable[[Any, float], list[NodeOutput]]]:
        control, data = self.control, self.data
        return {
            Tick: self._tick,
            CompletionRequested: data.completion_requested,
            RetainedAnswerRequested: data.retained_answer_requested,
            CallAbandoned: data.call_abandoned,
            LotSubmitted: data.lot_submitted,
            SamplesRequested: data.samples_requested,
            AttemptChunk: data.attempt_event,
            AttemptFinished: data.attempt_event,
            AttemptRefused: data.attempt_event,
            AttemptFailed: data.attempt_event,
            EngineReported: self._engine_reported,
            EngineReportFailed: self._engine_report_failed,
            OrderAnswered: self._order_answered,
            MachinesRead: self._machines_read,
            VersionsRead: self._versions_read,
            LogRead: self._log_read,
            LogReadFailed: control.handle_log,
            AppendConfirmed: control.handle_log,
            AppendFailed: control.handle_log,
            SampleScored: self._sample_scored,
            SampleScoringFailed: self._sample_scored,
            PeerMessageReceived: self._peer_message_received,
            StopRequested: self._stop_requested,
        }

    def _make_notification_handlers(self) -> dict[type, Callable[[Any, float], list[NodeOutput]]]:
        control, data = self.control, self.data
        return {
            MemberChanged: self._member_changed,
            IdentitySuperseded: self._identity_superseded,
            RecordsRead: control.records_read,
            AppendSettled: _ignore,
            AppendAbandoned: control.append_abandoned,
            AppendToStream: control.append,
            ConfigurationChanged: self._configuration_changed,
            LeaseAcquired: control.lease_acquired,
            LeaseLost: control.lease_lost,
            ClaimDecided: self._claim_decided,
            ClaimUndecided: self._claim_undecided,
            ClaimAbsent: _ignore,
            ProposeClaim: self._propose_claim,
            ReadClaim: self._read_claim,
            requests.FetchAnswer: self.answers.fetch,
            requests.RequestJoined: data.request_joined,
            requests.RequestChunk: data.request_chunk,
            requests.RequestFinished: self._request_finished,
            requests.RequestFailed: self._request_failed,
            requests.SubmissionRejected: data.submission_rejected,
            samples.StartRollout: data.start_rollout,
            samples.CancelRollout: data.cancel_rollout,
        }

    # Events that concern both planes

    def _tick(self, event: Tick, now: float) -> list[NodeOutput]:
        output: list[NodeOutput] = []
        if now >= self._read_machines_at:
            self._read_machines_at = now + self._machine_list_interval_seconds
            output.append(ReadMachines())
        output += self.control.tick(now)
        output += self.data.tick(now)
        if self._stopping and not self._exited and self.data.idle():
            self._exited = True
            output += self.control.membership.leave(now)
            output.append(ExitProcess(self._restart_above))
        return output

    def _engine_reported(self, event: EngineReported, now: float) -> list[NodeOutput]:
        output = self.data.engine_reported(event, now)
        return output + self.control.weights.handle_report(event.report, now)

    def _engine_report_failed(self, event: EngineReportFailed, now: float) -> list[NodeOutput]:
        self.data.engine_table.handle_report_failed(event.engine)
        return []

    def _order_answered(self, event: OrderAnswered, now: float) -> list[NodeOutput]:
        weights = self.control.weights
        return list(weights.handle_order_answer(event.engine, event.order_id, event.outcome, now))

    def _machines_read(self, event: MachinesRead, now: float) -> list[NodeOutput]:
        self._machines_known = True
        self.data.handle_machines(event.machines, now)
        self.control.handle_machines(event.machines, now)
        return []

    def _versions_read(self, event: VersionsRead, now: float) -> list[NodeOutput]:
        self.control.weights.handle_versions(event.model, event.versions)
        newest = max((published.version for published in event.versions), default=None)
        if newest is None:
            return []
        return list(self.data.lots.record_published_version(event.model, newest, now))

    def _peer_message_received(self, event: PeerMessageReceived, now: float) -> list[NodeOutput]:
        if event.envelope.WhichOneof("body") == "answers":
            return self.answers.handle_message(event, now)
        return self.control.handle_message(event, now)

    def _log_read(self, event: LogRead, now: float) -> list[NodeOutput]:
        # The records must be folded before the lease core learns that it is at the head.
        self._pending.extend(self.control.handle_log(event, now))
        output: list[NodeOutput] = list(self._dispatch_pending())
        if event.stream == LEASE_STREAM:
            output += self.control.lease_stream_read(event, now)
        return output

    def _sample_scored(
        self, event: SampleScored | SampleScoringFailed, now: float
    ) -> list[NodeOutput]:
        return list(self.data.lots.handle(event, now))

    def _stop_requested(self, event: StopRequested, now: float) -> list[NodeOutput]:
        self._restart_above = None
        return self._begin_stop()

    def _begin_stop(self) -> list[NodeOutput]:
        if self._stopping:
            return []
        self._stopping = True
        self.data.stop()
        return [WriteLogLine("node_stopping", {}), *self.control.leases.release_all()]

    # Notifications that concern both planes

    def _member_changed(self, changed: MemberChanged, now: float) -> list[NodeOutput]:
        self.control.members_changed()
        fields = {"member": changed.name, "state": changed.new_state.name.lower()}
        return [WriteLogLine("member_changed", {**fields, "incarnation": changed.incarnation})]

    def _identity_superseded(self, superseded: IdentitySuperseded, now: float) -> list[NodeOutput]:
        """Stop for another process with this node's name, or start again above a dead one."""
        restarts = not superseded.runs_elsewhere and not self._stopping
        if restarts:
            self._restart_above = superseded.incarnation
        fields: LogLineFields = {
            "level": "warning" if restarts else "error",
            "incarnation": self.identity.incarnation,
            "other_incarnation": superseded.incarnation,
            "restarts": restarts,
        }
        return [WriteLogLine("identity_superseded", fields), *self._begin_stop()]

    def _configuration_changed(self, changed: ConfigurationChanged, now: float) -> list[NodeOutput]:
        self.data.set_tenants(changed.tenants)
        return self.control.configuration_changed(changed, now)

    def _request_finished(self, finished: requests.RequestFinished, now: float) -> list[NodeOutput]:
        output = self.answers.request_ended(finished.key, finished.result, now)
        return output + self.data.request_finished(finished, now)

    def _request_failed(self, failed: requests.RequestFailed, now: float) -> list[NodeOutput]:
        output = self.answers.request_ended(failed.key, failed.error, now)
        return output + self.data.request_failed(failed, now)

    def _propose_claim(self, proposal: ProposeClaim, now: float) -> list[NodeOutput]:
        return list(self.control.claims.propose(proposal.key, proposal.value, now))

    def _read_claim(self, read: ReadClaim, now: float) -> list[NodeOutput]:
        return list(self.control.claims.read(read.key, now))

    def _claim_decided(self, decided: ClaimDecided, now: float) -> list[NodeOutput]:
        if decided.key.startswith(REQUEST_CLAIM_PREFIX):
            requests_core = self.data.requests
            return list(requests_core.claim_decided(decided.key, decided.value, decided.won, now))
        return list(self.data.lots.claim_decided(decided.key, decided.value, now))

    def _claim_undecided(self, undecided: ClaimUndecided, now: float) -> list[NodeOutput]:
        if undecided.key.startswith(REQUEST_CLAIM_PREFIX):
            return list(self.data.requests.claim_undecided(undecided.key, undecided.error, now))
        return list(self.data.lots.claim_undecided(undecided.key, undecided.error, now))


def _ignore(notification: object, now: float) -> list[NodeOutput]:
    return []
