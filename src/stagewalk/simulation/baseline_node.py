"""A plain service to compare with: no claims, no leases, no staleness gate, one node's memory.

It does what a first version would: pick an engine, stream the answer, keep a step's samples
in the node that took the step, and have the node of the first name order new weights
everywhere at once. The checker finds its faults; the experiments use its figures.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stagewalk.common.errors import ErrorKind, Ran, StagewalkError, Step
from stagewalk.common.identities import (
    AttemptId,
    CallId,
    EngineName,
    Epoch,
    ModelName,
    RequestId,
    SlotKey,
    WeightVersion,
)
from stagewalk.node.configuration.fold import ConfigurationFold
from stagewalk.node.configuration.records import CONFIGURATION_STREAM
from stagewalk.node.core.completions import (
    CompletionRequest,
    CompletionResult,
    Priority,
    TokenChunk,
    VersionSpan,
    append_span,
)
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    CompletionRequested,
    EngineReported,
    EngineReportFailed,
    Event,
    LogRead,
    LogReadFailed,
    LotSubmitted,
    MachinesRead,
    SamplesPulled,
    StopRequested,
    Tick,
    VersionsRead,
)
from stagewalk.node.core.instructions import (
    AcceptLot,
    DeliverSamples,
    ExitProcess,
    FailCall,
    FinishCall,
    Instruction,
    OrderEngine,
    PollEngine,
    ReadLog,
    ReadMachines,
    ReadVersions,
    SendChunk,
    StartAttempt,
)
from stagewalk.node.core.platform import (
    EngineOrder,
    EngineReport,
    EngineState,
    Machine,
    MachineKind,
    MachineState,
    OrderKind,
)
from stagewalk.node.core.rollouts import RolloutLot, Sample, SampleBatch, SamplePull, slot_seed
from stagewalk.node.node_core import NodeIdentity, NodeStatus

POLL_SECONDS = 1.0
LIST_SECONDS = 3.0
RETRY_SECONDS = 1.0
ATTEMPTS_PER_REQUEST = 5

LotKey = tuple[str, str, int]


@dataclass(slots=True)
class _Work:
    """One request until its answer."""

    request: CompletionRequest
    call: CallId | None
    slot: SlotKey | None
    tries: int = 0
    text: str = ""
    token_count: int = 0
    spans: tuple[VersionSpan, ...] = ()
    not_before: float = 0.0


@dataclass(slots=True)
class _Lot:
    lot: RolloutLot
    finished: list[Sample] = field(default_factory=list)

    @property
    def slots(self) -> int:
        return len(self.lot.prompts) * self.lot.samples_per_prompt


class BaselineNodeCore:
    """One node of the plain service."""

    def __init__(
        self, identity: NodeIdentity, generator: random.Random, least_loaded: bool = False
    ) -> None:
        self._identity = identity
        self._generator = generator
        self._least_loaded = least_loaded
        self._fold = ConfigurationFold()
        self._machines: tuple[Machine, ...] = ()
        self._reports: dict[EngineName, EngineReport] = {}
        self._sent_since_report: dict[EngineName, int] = {}
        self._newest: dict[ModelName, WeightVersion] = {}
        self._works: dict[AttemptId, _Work] = {}
        self._queue: list[_Work] = []
        self._lots: dict[LotKey, _Lot] = {}
        self._pulls: list[tuple[CallId, SamplePull]] = []
        self._out: list[Instruction] = []
        self._next_turn = 0
        self._attempts = 0
        self._orders = 0
        self._poll_at = 0.0
        self._list_at = 0.0
        self._reading = False
        self._stopping = False
        self._now = 0.0

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take an event and return what to do."""
        self._now = now
        match event:
            case Tick():
                self._tick()
            case CompletionRequested(call=call, request=request):
                self._begin(_Work(request, call, None))
            case LotSubmitted(call=call, lot=lot):
                self._submit(call, lot)
            case SamplesPulled(call=call, pull=pull):
                self._pulls.append((call, pull))
            case AttemptChunk(attempt=attempt, chunk=chunk):
                self._take_chunk(attempt, chunk)
            case AttemptFinished(attempt=attempt, finish_reason=reason):
                self._finish(attempt, reason)
            case AttemptRefused() | AttemptFailed():
                self._try_again(event)
            case _:
                self._take_platform(event)
        self._answer_pulls()
        out, self._out = self._out, []
        return out

    def status(self, now: float) -> NodeStatus:
        """Return what probes may see."""
        return NodeStatus(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            ready=True,
            stopping=self._stopping,
            configuration_offset=self._fold.offset,
            configuration_digest=self._fold.digest(),
            revisions={name: each.revision for name, each in self._fold.tenants.items()},
            members={},
            requests_in_flight=len(self._works),
            leases={},
        )

    def _take_platform(self, event: Event) -> None:
        match event:
            case MachinesRead(machines=machines):
                self._machines = machines
            case EngineReported(engine=engine, report=report):
                self._reports[engine] = report
                self._sent_since_report[engine] = 0
            case EngineReportFailed(engine=engine):
                self._reports.pop(engine, None)
            case VersionsRead(model=model, versions=versions):
                self._newest[model] = max(
                    (each.version for each in versions), default=WeightVersion(0)
                )
            case LogRead(records=records):
                self._reading = False
                for record in records:
                    if record.offset >= self._fold.offset:
                        self._fold.apply(record)
            case LogReadFailed():
                self._reading = False
            case StopRequested():
                self._stopping = True
            case _:
                pass

    def _tick(self) -> None:
        if self._now >= self._list_at:
            self._list_at = self._now + LIST_SECONDS
            self._out.append(ReadMachines())
            self._out.extend(ReadVersions(model) for model in self._models())
        if self._now >= self._poll_at:
            self._poll_at = self._now + POLL_SECONDS
            self._out.extend(
                PollEngine(EngineName(each.name), each.address) for each in self._engines()
            )
            self._order_weights()
        if not self._reading:
            self._reading = True
            self._out.append(ReadLog(CONFIGURATION_STREAM, self._fold.offset))
        due = [work for work in self._queue if work.not_before <= self._now]
        self._queue = [work for work in self._queue if work.not_before > self._now]
        for work in due:
            self._begin(work)
        if self._stopping and not self._works and not self._queue:
            self._out.append(ExitProcess())

    def _models(self) -> list[ModelName]:
        return sorted({report.model for report in self._reports.values()})

    def _engines(self) -> list[Machine]:
        return [each for each in self._machines if each.kind is MachineKind.ENGINE]

    def _order_weights(self) -> None:
        """Let the live node of the first name order every engine to the newest version."""
        nodes = [
            each.name
            for each in self._machines
            if each.kind is MachineKind.NODE and each.state is MachineState.LIVE
        ]
        if not nodes or min(nodes) != self._identity.name:
            return
        for machine in self._engines():
            report = self._reports.get(EngineName(machine.name))
            if report is None:
                continue
            newest = self._newest.get(report.model, report.active_version)
            if newest == report.active_version:
                continue
            staged = newest in report.staged_versions
            kind = OrderKind.ACTIVATE if staged else OrderKind.STAGE
            self._orders += 1
            order_id = f"{self._identity.name}/{self._identity.incarnation}/{self._orders}"
            order = EngineOrder(order_id, Epoch(1), kind, report.model, newest)
            self._out.append(OrderEngine(EngineName(machine.name), machine.address, order))

    def _begin(self, work: _Work) -> None:
        machine = self._choose(work.request.model)
        if machine is None:
            self._give_back(work)
            return
        engine = EngineName(machine.name)
        self._attempts += 1
        identity = self._identity
        attempt = AttemptId(f"{identity.name}/{identity.incarnation}/{self._attempts}")
        self._works[attempt] = work
        self._sent_since_report[engine] = self._sent_since_report.get(engine, 0) + 1
        self._out.append(StartAttempt(attempt, engine, machine.address, work.request))

    def _choose(self, model: ModelName) -> Machine | None:
        candidates = []
        for machine in self._engines():
            report = self._reports.get(EngineName(machine.name))
            if report is None or report.model != model or report.state != EngineState.SERVING:
                continue
            candidates.append(machine)
        if not candidates:
            return None
        if self._least_loaded:
            return min(candidates, key=lambda machine: (self._load(machine), machine.name))
        self._next_turn += 1
        return candidates[self._next_turn % len(candidates)]

    def _load(self, machine: Machine) -> int:
        report = self._reports[EngineName(machine.name)]
        return report.running + report.waiting

    def _give_back(self, work: _Work) -> None:
        work.tries += 1
        if work.slot is not None or work.tries <= ATTEMPTS_PER_REQUEST * 10:
            self._queue.append(work)
            return
        self._fail(work, ErrorKind.NO_ENGINE, Ran.NO)

    def _try_again(self, event: AttemptRefused | AttemptFailed) -> None:
        work = self._works.pop(event.attempt, None)
        if work is None:
            return
        work.tries += 1
        streamed = work.request.stream and work.text
        work.text, work.token_count, work.spans = "", 0, ()
        if streamed or (work.slot is None and work.tries > ATTEMPTS_PER_REQUEST):
            self._fail(work, ErrorKind.ENGINE_FAILED, Ran.UNKNOWN)
        else:
            work.not_before = self._now + RETRY_SECONDS
            self._queue.append(work)

    def _fail(self, work: _Work, kind: ErrorKind, ran: Ran) -> None:
        if work.call is not None:
            error = StagewalkError(kind, Step.DISPATCH, self._identity.name, "given up", ran)
            self._out.append(FailCall(work.call, error))

    def _take_chunk(self, attempt: AttemptId, chunk: TokenChunk) -> None:
        work = self._works.get(attempt)
        if work is None:
            return
        work.text += chunk.text
        work.token_count += chunk.token_count
        work.spans = append_span(work.spans, chunk.version, chunk.token_count)
        if work.call is not None and work.request.stream:
            self._out.append(SendChunk(work.call, chunk))

    def _finish(self, attempt: AttemptId, reason: str) -> None:
        work = self._works.pop(attempt, None)
        if work is None:
            return
        if work.call is not None:
            result = CompletionResult(work.text, work.token_count, work.spans, reason)
            self._out.append(FinishCall(work.call, result))
        elif work.slot is not None:
            slot = work.slot
            sample = Sample(slot, attempt, work.text, work.token_count, work.spans, 0.0, self._now)
            self._lots[slot.tenant, slot.trainer, slot.step].finished.append(sample)

    def _submit(self, call: CallId, lot: RolloutLot) -> None:
        key = (lot.tenant, lot.trainer, lot.step)
        self._out.append(AcceptLot(call, lot))
        if key in self._lots:
            return
        self._lots[key] = _Lot(lot)
        for prompt in lot.prompts:
            for index in range(lot.samples_per_prompt):
                slot = SlotKey(lot.tenant, lot.trainer, lot.step, prompt.prompt_id, index)
                request = CompletionRequest(
                    request_id=RequestId(f"slot/{slot}"),
                    tenant=lot.tenant,
                    model=lot.model,
                    prompt=prompt.prompt,
                    max_tokens=prompt.max_tokens,
                    repeatable=True,
                    deadline=lot.deadline,
                    priority=Priority.ROLLOUT,
                    seed=slot_seed(slot),
                )
                self._queue.append(_Work(request, None, slot))

    def _answer_pulls(self) -> None:
        waiting = []
        for call, pull in self._pulls:
            known = self._lots.get((pull.tenant, pull.trainer, pull.step))
            if known is None:
                error = StagewalkError(
                    ErrorKind.UNKNOWN_LOT, Step.DELIVERY, self._identity.name, "unknown step"
                )
                self._out.append(FailCall(call, error))
                continue
            start = int(pull.cursor or 0)
            samples = tuple(known.finished[start : start + pull.max_samples])
            if not samples and self._now < pull.wait_until and start < known.slots:
                waiting.append((call, pull))
                continue
            end = start + len(samples)
            remaining = known.slots - end
            batch = SampleBatch(samples, str(end), remaining == 0, remaining)
            self._out.append(DeliverSamples(call, batch))
        self._pulls = waiting
