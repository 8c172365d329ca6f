"""The node's data plane: requests of callers, lots of trainers, engines.

Owns which open call waits for which request. Relies on the cores of requests, lots, routing and
admission, which it wires, for all decisions.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, replace

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import CallId, RequestId, RequestKey
from stagewalk.node.admission.controller import AdmissionController
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.completions import CompletionRequest, CompletionResult
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    CallAbandoned,
    CompletionRequested,
    EngineReported,
    LotSubmitted,
    RetainedAnswerRequested,
    SamplesRequested,
)
from stagewalk.node.core.instructions import FailCall, FinishCall, SendChunk, WriteLogLine
from stagewalk.node.core.platform import Machine
from stagewalk.node.node_config import NodeConfig
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.outputs import NodeOutput
from stagewalk.node.requests.core import RequestCore
from stagewalk.node.requests.notifications import (
    RequestChunk,
    RequestFailed,
    RequestFinished,
    RequestJoined,
    SubmissionRejected,
)
from stagewalk.node.routing.engine_table import EngineTable
from stagewalk.node.routing.router import Router
from stagewalk.node.samples.core import LotCore
from stagewalk.node.samples.notifications import CancelRollout, StartRollout

STOPPING_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a stopping node; another node can take the call."""

STARTING_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a node that has not read the configuration yet."""


@dataclass(frozen=True, slots=True)
class _OpenCall:
    """A completion call at the edge, waiting for its answer.

    Attributes
    ----------
    resent
        The caller sent the same request before, here or elsewhere.
    """

    key: RequestKey
    stream: bool
    resent: bool


class DataPlane:
    """The data plane's cores, and the open calls at this node's edge."""

    def __init__(
        self, identity: NodeIdentity, config: NodeConfig, generator: random.Random
    ) -> None:
        self._identity = identity
        self.engine_table = EngineTable(identity, config.engine_table)
        router = Router(identity, self.engine_table, config.router, generator)
        admission = AdmissionController(identity.name, config.admission)
        self.requests = RequestCore(identity, router, admission, config.requests, generator)
        self.lots = LotCore(identity, config.lots, generator)
        self._open_calls: dict[CallId, _OpenCall] = {}
        self._calls_of_key: defaultdict[RequestKey, list[CallId]] = defaultdict(list)
        self._rollouts: dict[RequestId, RequestKey] = {}
        self._submitting: CallId | None = None
        self._configured = False
        self._stopping = False

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Apply a configuration."""
        self._configured = True
        self.requests.set_tenants(tenants)
        self.lots.set_tenants({tenant.name: tenant for tenant in tenants})

    def stop(self) -> None:
        """Refuse new work from now on."""
        self._stopping = True
        self.requests.stop()

    def idle(self) -> bool:
        """Return whether no call is open and no request in flight."""
        return not self._open_calls and self.requests.in_flight_count() == 0

    def tick(self, now: float) -> list[NodeOutput]:
        """Tick all cores."""
        output: list[NodeOutput] = []
        output += self.engine_table.tick(now)
        output += self.requests.tick(now)
        output += self.lots.tick(now)
        return output

    # Calls at the edge

    def completion_requested(self, event: CompletionRequested, now: float) -> list[NodeOutput]:
        """Submit a caller's request."""
        key = _key(event.request)
        request = event.request
        self._open_calls[event.call] = _OpenCall(key, request.stream, request.resent)
        self._calls_of_key[key].append(event.call)
        if not self._configured:
            return [self._fail(event.call, self._starting_error())]
        self._submitting = event.call
        return list(self.requests.submit(event.request, now))

    def retained_answer_requested(
        self, event: RetainedAnswerRequested, now: float
    ) -> list[NodeOutput]:
        """Return the retained answer of an earlier request."""
        key = RequestKey(event.tenant, event.request_id)
        outcome = self.requests.retained(key, now)
        if outcome is not None and outcome.result is not None:
            return [FinishCall(event.call, outcome.result)]
        if outcome is not None and outcome.error is not None:
            return [FailCall(event.call, outcome.error)]
        detail = "the request is still running" if self.requests.in_progress(key) else "not known"
        error = StagewalkError(
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorStep.DELIVERY,
            self._identity.name,
            f"{detail} at this node",
            ran=ExecutionStatus.UNKNOWN,
            retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
        )
        return [FailCall(event.call, error)]

    def call_abandoned(self, event: CallAbandoned, now: float) -> list[NodeOutput]:
        """Drop a call whose caller went away, and its request if no other call waits for it."""
        open_call = self._open_calls.get(event.call)
        if open_call is None:
            self.lots.abandon(event.call)
            return []
        self._remove_call(event.call)
        key = open_call.key
        if self._calls_of_key.get(key) or key.request_id in self._rollouts:
            return []
        return list(self.requests.abandon(key, now))

    def lot_submitted(self, event: LotSubmitted, now: float) -> list[NodeOutput]:
        """Submit a trainer's lot."""
        refusal = self._refusal()
        if refusal is not None:
            return [FailCall(event.call, refusal)]
        return list(self.lots.submit(event.call, event.lot, now))

    def samples_requested(self, event: SamplesRequested, now: float) -> list[NodeOutput]:
        """Answer a trainer's pull, now or once samples are available."""
        refusal = self._refusal()
        if refusal is not None:
            return [FailCall(event.call, refusal)]
        return list(self.lots.pull(event.call, event.pull, now))

    # Engines

    def attempt_event(
        self, event: AttemptChunk | AttemptFinished | AttemptRefused | AttemptFailed, now: float
    ) -> list[NodeOutput]:
        """Handle an engine's event of an attempt."""
        return list(self.requests.handle(event, now))

    def handle_machines(self, machines: tuple[Machine, ...], now: float) -> None:
        """Apply the platform's machine list."""
        self.engine_table.handle_machines(machines, now)

    def engine_reported(self, event: EngineReported, now: float) -> list[NodeOutput]:
        """Apply an engine's report."""
        self.engine_table.handle_report(event.engine, event.report, now)
        report = event.report
        return list(self.lots.record_served_version(report.model, report.active_version, now))

    # Notifications of the request core

    def request_joined(self, joined: RequestJoined, now: float) -> list[NodeOutput]:
        """Send a call that joined a running request the text that earlier calls have received."""
        call = self._submitting
        if call is None or joined.held is None or not self._open_calls[call].stream:
            return []
        return [SendChunk(call, joined.held)]

    def request_chunk(self, chunk: RequestChunk, now: float) -> list[NodeOutput]:
        """Send a piece of an answer to every streaming call of the request."""
        calls = self._calls_of_key.get(chunk.key, ())
        return [SendChunk(call, chunk.chunk) for call in calls if self._open_calls[call].stream]

    def request_finished(self, finished: RequestFinished, now: float) -> list[NodeOutput]:
        """Answer every call of the request, and report to the lot that runs it."""
        output: list[NodeOutput] = [
            FinishCall(call, finished.result) for call in self._remove_calls(finished.key)
        ]
        return output + self._rollout_ended(finished.key, finished.result, now)

    def request_failed(self, failed: RequestFailed, now: float) -> list[NodeOutput]:
        """Fail every call of the request, and report to the lot that runs it."""
        calls = list(self._calls_of_key.get(failed.key, ()))
        output: list[NodeOutput] = [self._fail(call, failed.error) for call in calls]
        if calls:
            output.append(_failure_event(failed.key, failed.error))
        return output + self._rollout_ended(failed.key, failed.error, now)

    def submission_rejected(self, rejected: SubmissionRejected, now: float) -> list[NodeOutput]:
        """Fail the call that was just submitted, but no other call of the same request."""
        if self._submitting is None:
            return self._rollout_ended(rejected.key, rejected.error, now)
        failure = self._fail(self._submitting, rejected.error)
        return [failure, _failure_event(rejected.key, rejected.error)]

    # Notifications of the lot core

    def start_rollout(self, rollout: StartRollout, now: float) -> list[NodeOutput]:
        """Submit a rollout's request."""
        key = _key(rollout.request)
        self._rollouts[key.request_id] = key
        self._submitting = None
        return list(self.requests.submit(rollout.request, now))

    def cancel_rollout(self, rollout: CancelRollout, now: float) -> list[NodeOutput]:
        """Cancel a rollout."""
        key = self._rollouts.pop(rollout.request_id, None)
        return [] if key is None else list(self.requests.abandon(key, now))

    # Helpers

    def _fail(self, call: CallId, error: StagewalkError) -> FailCall:
        """End a completion call with an error.

        A request that the caller sent before may have run then, so its status is unknown.
        """
        resent = self._open_calls[call].resent
        self._remove_call(call)
        return FailCall(call, replace(error, ran=ExecutionStatus.UNKNOWN) if resent else error)

    def _remove_calls(self, key: RequestKey) -> list[CallId]:
        calls = list(self._calls_of_key.get(key, ()))
        for call in calls:
            self._remove_call(call)
        return calls

    def _remove_call(self, call: CallId) -> None:
        key = self._open_calls.pop(call).key
        calls = self._calls_of_key[key]
        calls.remove(call)
        if not calls:
            del self._calls_of_key[key]

    def _rollout_ended(
        self, key: RequestKey, outcome: CompletionResult | StagewalkError, now: float
    ) -> list[NodeOutput]:
        if self._rollouts.get(key.request_id) != key:
            return []
        del self._rollouts[key.request_id]
        if isinstance(outcome, StagewalkError):
            return list(self.lots.request_failed(key.request_id, outcome, now))
        return list(self.lots.request_finished(key.request_id, outcome, now))

    def _refusal(self) -> StagewalkError | None:
        """Return why a trainer's call is refused now; None if it isn't."""
        if self._stopping:
            return self._stopping_error()
        return None if self._configured else self._starting_error()

    def _starting_error(self) -> StagewalkError:
        return StagewalkError(
            ErrorKind.STARTING,
            ErrorStep.ADMISSION,
            self._identity.name,
            "this node has not yet read the configuration in force; use another one",
            retry_after_seconds=STARTING_RETRY_AFTER_SECONDS,
        )

    def _stopping_error(self) -> StagewalkError:
        return StagewalkError(
            ErrorKind.STOPPING,
            ErrorStep.ADMISSION,
            self._identity.name,
            "this node is stopping; use another one",
            retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
        )


def _key(request: CompletionRequest) -> RequestKey:
    return RequestKey(request.tenant, request.request_id)


def _failure_event(key: RequestKey, error: StagewalkError) -> WriteLogLine:
    return WriteLogLine(
        "request_failed",
        {
            "level": "warning",
            "tenant": key.tenant,
            "request_id": key.request_id,
            "kind": error.kind,
            "step": error.step,
            "peer": error.peer,
            "ran": error.ran,
            "detail": error.detail,
        },
    )
