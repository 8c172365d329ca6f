"""Mutation tests of the checker: cores with one mechanism switched off, for simulation only.

A mutant that the checker doesn't catch leaves its promise untested: either the checker misses
the violation, or no fault occurs where the mechanism is needed.

Owns the altered cores and which promise each breaks; relies on `NodeCore` as it is.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import msgspec

from stagewalk.common.errors import ExecutionStatus
from stagewalk.common.identities import AttemptId, ModelName, WeightVersion
from stagewalk.history.checker_verdict import Promise
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.configuration.notifications import ConfigurationChanged
from stagewalk.node.configuration.outcomes import ChangeRejected, RejectionReason
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.configuration.records import CONFIGURATION_STREAM, AnyChange
from stagewalk.node.configuration.state import TenantRecord
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    EngineReported,
    Event,
    LogRead,
    LotSubmitted,
    MachinesRead,
    PeerMessageReceived,
    SamplesRequested,
    StopRequested,
    VersionsRead,
)
from stagewalk.node.core.instructions import ExitProcess, FailCall, Instruction, StartAttempt
from stagewalk.node.core.platform import EngineState, MachineState
from stagewalk.node.node_core import (
    REQUEST_CLAIM_PREFIX,
    NodeCore,
    NodeIdentity,
    NodeStatus,
)
from stagewalk.node.outputs import NodeOutput
from stagewalk.simulation.node_host import CoreFactory

CONFIGURATION_FROZEN_AT_OFFSET = 2
UNBOUNDED_VERSIONS = 1000


class AlteredCore:
    """A real core whose events or instructions are modified."""

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        self.core = NodeCore(identity, generator)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle an event and return what to do."""
        altered = self.alter_event(event)
        if altered is None:
            return []
        return self.alter_instructions(event, self.core.handle(altered, now))

    def status(self, now: float) -> NodeStatus:
        """Return what operators and probes may see."""
        return self.core.status(now)

    def alter_event(self, event: Event) -> Event | None:
        """Return the event for the core, or None to drop it."""
        return event

    def alter_instructions(
        self, event: Event, instructions: list[Instruction]
    ) -> list[Instruction]:
        """Return what is done instead of what the core decided."""
        return instructions


class NewestVersionNamed(AlteredCore):
    """Assumes that an engine runs the newest weights, whatever version its chunks name."""

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        super().__init__(identity, generator)
        self._newest: dict[ModelName, WeightVersion] = {}
        self._models: dict[AttemptId, ModelName] = {}

    def alter_event(self, event: Event) -> Event | None:
        """Replace the engine's version with the newest."""
        if isinstance(event, VersionsRead) and event.versions:
            self._newest[event.model] = max(each.version for each in event.versions)
        if isinstance(event, AttemptChunk):
            model = self._models.get(event.attempt)
            newest = self._newest.get(model) if model is not None else None
            if newest is not None:
                return replace(event, chunk=replace(event.chunk, version=newest))
        return event

    def alter_instructions(
        self, event: Event, instructions: list[Instruction]
    ) -> list[Instruction]:
        """Remember each attempt's model."""
        for instruction in instructions:
            if isinstance(instruction, StartAttempt):
                self._models[instruction.attempt] = instruction.request.model
        return instructions


class StalenessAtDispatchOnly(AlteredCore):
    """Checks staleness against the version that the trainer held when it asked for the step."""

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        super().__init__(identity, generator)
        self._asked_at: dict[tuple[str, str, int], WeightVersion] = {}

    def alter_event(self, event: Event) -> Event | None:
        """Replace the version that a pull names with the version at submission."""
        if isinstance(event, LotSubmitted):
            lot = event.lot
            self._asked_at.setdefault((lot.tenant, lot.trainer, lot.step), lot.trainer_version)
        if isinstance(event, SamplesRequested):
            pull = event.pull
            version = self._asked_at.get((pull.tenant, pull.trainer, pull.step))
            if version is not None:
                return replace(event, pull=replace(pull, trainer_version=version))
        return event


class StalenessUnchecked(NodeCore):
    """Runs and hands over samples of any age."""

    def _configuration_changed(self, changed: ConfigurationChanged, now: float) -> list[NodeOutput]:
        output = super()._configuration_changed(changed, now)
        self.data.lots.set_tenants({each.name: _unbounded(each) for each in changed.tenants})
        return output


def _unbounded(tenant: Tenant) -> Tenant:
    parameters = msgspec.structs.replace(
        tenant.parameters,
        staleness_bound_versions=UNBOUNDED_VERSIONS,
        staleness_bound_seconds=None,
    )
    return msgspec.structs.replace(tenant, parameters=parameters)


class CursorForgotten(AlteredCore):
    """A restarted node begins a delivery again from its start."""

    def alter_event(self, event: Event) -> Event | None:
        """Drop the cursor."""
        if isinstance(event, SamplesRequested) and self.core.identity.incarnation > 1:
            return replace(event, pull=replace(event.pull, cursor=""))
        return event


class TruncatedStreamAccepted(AlteredCore):
    """Treats a closed connection as the end of the answer."""

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        super().__init__(identity, generator)
        self._tokens: dict[AttemptId, int] = {}

    def alter_event(self, event: Event) -> Event | None:
        """Finish an attempt whose stream broke."""
        if isinstance(event, AttemptChunk):
            self._tokens[event.attempt] = event.chunk.offset + event.chunk.token_count
        if isinstance(event, AttemptFailed) and event.attempt in self._tokens:
            return AttemptFinished(event.attempt, self._tokens[event.attempt], "stop")
        return event


class UnknownCalledNotRun(AlteredCore):
    """Reports that a request did not run when that is unknown."""

    def alter_instructions(
        self, event: Event, instructions: list[Instruction]
    ) -> list[Instruction]:
        """Replace every `unknown` with `no`."""
        return [
            replace(each, error=replace(each.error, ran=ExecutionStatus.NO))
            if isinstance(each, FailCall)
            else each
            for each in instructions
        ]


class MayHaveRunRetried(AlteredCore):
    """Treats every broken attempt as one that never reached its engine."""

    def alter_event(self, event: Event) -> Event | None:
        """Forget that an attempt was sent and has answered."""
        if not isinstance(event, AttemptFailed):
            return event
        record = self.core.data.requests._store.by_attempt.get(event.attempt)
        if record is not None:
            record.attempts[event.attempt].last_chunk_at = None
        return replace(event, sent=False)


class ClaimsNotAsked(NodeCore):
    """Runs a non-repeatable request without asking whether another node has claimed it."""

    def _propose_claim(self, proposal: ProposeClaim, now: float) -> list[NodeOutput]:
        if not proposal.key.startswith(REQUEST_CLAIM_PREFIX):
            return super()._propose_claim(proposal, now)
        decided = self.data.requests.claim_decided(proposal.key, proposal.value, True, now)
        return list(decided)


class DrainIgnored(AlteredCore):
    """Treats draining and leaving engines as serving."""

    def alter_event(self, event: Event) -> Event | None:
        """Hide what an engine or the machine list says of leaving."""
        if isinstance(event, EngineReported):
            return replace(event, report=replace(event.report, state=EngineState.SERVING))
        if isinstance(event, MachinesRead):
            machines = tuple(replace(each, state=MachineState.LIVE) for each in event.machines)
            return MachinesRead(machines)
        return event


class StopsAtOnce(AlteredCore):
    """Exits as soon as a stop is requested, whatever is in flight."""

    def alter_instructions(
        self, event: Event, instructions: list[Instruction]
    ) -> list[Instruction]:
        """Exit after the request to stop."""
        return [*instructions, ExitProcess()] if isinstance(event, StopRequested) else instructions


class _LastWriterWinsFold(ConfigurationStateMachine):
    def _reject_stale(
        self, change: AnyChange, record: TenantRecord | None
    ) -> ChangeRejected | None:
        rejection = super()._reject_stale(change, record)
        if rejection is not None and rejection.reason is RejectionReason.STALE_REVISION:
            return None
        return rejection


class LastWriterWins(NodeCore):
    """Accepts a change whose base revision was overtaken."""

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        super().__init__(identity, generator)
        self.control.follower._fold = _LastWriterWinsFold()


class ConfigurationReadOnce(AlteredCore):
    """Reads the configuration when it starts, and never again."""

    def alter_event(self, event: Event) -> Event | None:
        """Withhold later records, whether read from the log or relayed by peers."""
        frozen = self.core.control.follower.fold.offset >= CONFIGURATION_FROZEN_AT_OFFSET
        if not frozen:
            return event
        if isinstance(event, LogRead) and event.stream == CONFIGURATION_STREAM:
            return LogRead(event.stream, (), event.head)
        relayed = isinstance(event, PeerMessageReceived) and event.envelope.HasField(
            "configuration"
        )
        return None if relayed else event


@dataclass(frozen=True, slots=True)
class Mutant:
    """A core with one mechanism switched off, and the promise that this breaks."""

    factory: CoreFactory
    breaks: Promise


MUTANTS: dict[str, Mutant] = {
    "newest_version_named": Mutant(NewestVersionNamed, Promise.VERSION_NAMED),
    "staleness_at_dispatch_only": Mutant(StalenessAtDispatchOnly, Promise.STALENESS_BOUND),
    "staleness_unchecked": Mutant(StalenessUnchecked, Promise.STALENESS_BOUND),
    "cursor_forgotten": Mutant(CursorForgotten, Promise.EXACTLY_ONCE),
    "truncated_stream_accepted": Mutant(TruncatedStreamAccepted, Promise.WHOLE_ANSWER),
    "unknown_called_not_run": Mutant(UnknownCalledNotRun, Promise.NOT_RUN_TRUE),
    "may_have_run_retried": Mutant(MayHaveRunRetried, Promise.AT_MOST_ONCE),
    "claims_not_asked": Mutant(ClaimsNotAsked, Promise.AT_MOST_ONCE),
    "drain_ignored": Mutant(DrainIgnored, Promise.LEAVING_NO_WORK),
    "stops_at_once": Mutant(StopsAtOnce, Promise.PLANNED_STOP_CLEAN),
    "last_writer_wins": Mutant(LastWriterWins, Promise.CONFIG_IN_FORCE),
    "configuration_read_once": Mutant(ConfigurationReadOnce, Promise.CONFIG_IN_FORCE),
}
