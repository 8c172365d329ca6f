"""Measures the cost of units of work in the cores: requests, chunks, samples, reports, records.

The node's cores receive events directly; `unit_timing` computes the slopes.
"""

from __future__ import annotations

import random
from collections import deque
from functools import partial

from stagewalk.bench.capacity_data import UnitCost
from stagewalk.bench.planned_layout import MODELS, machine_list, node_identities
from stagewalk.bench.unit_timing import CpuSlope
from stagewalk.common.identities import (
    AttemptId,
    CallId,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    RecordId,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.configuration.records import ChangeParameters, CreateTenant, encode_change
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.completions import (
    CompletionRequest,
    CompletionResult,
    Priority,
    TokenChunk,
    VersionSpan,
)
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFinished,
    CompletionRequested,
    EngineReported,
    MachinesRead,
    SampleScored,
)
from stagewalk.node.core.instructions import DeliverSamples, ScoreSample, StartAttempt
from stagewalk.node.core.platform import EngineReport, EngineState, LogRecord, MachineKind
from stagewalk.node.core.rollouts import RolloutLot, RolloutPrompt, SamplePull
from stagewalk.node.node_core import NodeCore
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.core import LotCore
from stagewalk.node.samples.notifications import StartRollout
from stagewalk.node.samples.settlement import LotOutput
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.core import WeightRolloutCore

NODES_IN_LIST = 70
CHUNK_TOKENS = 8
CHUNK_COUNTS = (2_000, 4_000, 8_000, 16_000)
REQUEST_COUNTS = (100, 200, 400, 800)
SLOT_COUNTS = (256, 512, 1024, 2048)
ENGINE_COUNTS = (75, 150, 300, 600)
EVALUATIONS = 40
REPORTED_ENGINES = 100
RECORD_COUNTS = (100, 200, 400, 800)
VERSION = WeightVersion(1)
TENANT = TenantName("advice")
MODEL = ModelName(MODELS[0])
NOW = 1.0
LATER = NOW + 1.0


def measure_cores() -> tuple[UnitCost, ...]:
    """Return the unit costs of all cores measured here."""
    return (
        _measure_requests(),
        _measure_chunks(),
        _measure_samples(),
        _measure_reports(),
        _measure_evaluation(),
        _measure_records(),
    )


def _unit(name: str, unit: str, slope: CpuSlope) -> UnitCost:
    return UnitCost(
        name=name, unit=unit, cpu_microseconds=slope.microseconds, cpu_error=slope.error
    )


def _tenant() -> Tenant:
    models = tuple(ModelName(model) for model in MODELS)
    parameters = TenantParameters(models=models, capacity_share=1.0)
    return Tenant(
        name=TENANT, partner="thornfield", template="rollouts", revision=1, parameters=parameters
    )


def _report(engine: str, model: ModelName, at: float) -> EngineReport:
    return EngineReport(
        engine=EngineName(engine),
        incarnation=Incarnation(1),
        model=model,
        state=EngineState.SERVING,
        active_version=VERSION,
        staged_versions=(VERSION,),
        epoch=Epoch(0),
        running=0,
        waiting=0,
        pending_tokens=0,
        tokens_per_second=0.0,
        batch_limit=1 << 16,
        kv_used_tokens=0,
        kv_capacity_tokens=1 << 30,
        generated_at=at,
    )


class _RequestBench:
    """A whole node's core that runs repeatable requests one after another."""

    def __init__(self) -> None:
        identities = node_identities(NODES_IN_LIST)
        self._core = NodeCore(identities[0], random.Random(1))
        self._core.data.set_tenants((_tenant(),))
        machines = machine_list(identities)
        self._core.handle(MachinesRead(machines), NOW)
        for machine in machines:
            if machine.kind is MachineKind.ENGINE and machine.service == MODEL:
                report = _report(machine.name, MODEL, NOW)
                self._core.handle(EngineReported(EngineName(machine.name), report), NOW)
        self._count = 0

    def run(self, requests: int, chunks: int) -> None:
        """Run a number of requests of `chunks` chunks each."""
        for _ in range(requests):
            self._run_one(chunks)

    def run_chunks(self, chunks: int) -> None:
        """Run that many chunks, in requests of 100."""
        self.run(chunks // 100, 100)

    def _run_one(self, chunks: int) -> None:
        attempt = self._begin()
        for index in range(chunks):
            offset = index * CHUNK_TOKENS
            chunk = TokenChunk(index, offset, CHUNK_TOKENS, "eight tokens of text ", VERSION)
            self._core.handle(AttemptChunk(attempt, chunk), NOW)
        finished = AttemptFinished(attempt, chunks * CHUNK_TOKENS, "stop")
        self._core.handle(finished, NOW)

    def _begin(self) -> AttemptId:
        self._count += 1
        request = CompletionRequest(
            request_id=RequestId(f"request-{self._count}"),
            tenant=TENANT,
            model=MODEL,
            prompt="Which setpoint holds house 7 above frost tonight?",
            max_tokens=1 << 20,
            repeatable=True,
            deadline=NOW + 600.0,
            priority=Priority.INTERACTIVE,
            stream=True,
        )
        event = CompletionRequested(CallId(f"call-{self._count}"), request)
        for instruction in self._core.handle(event, NOW):
            if isinstance(instruction, StartAttempt):
                return instruction.attempt
        raise RuntimeError("the request was not sent to an engine")


def _measure_requests() -> UnitCost:
    slope = CpuSlope()
    for count in REQUEST_COUNTS:
        bench = _RequestBench()
        slope.run(count, partial(bench.run, chunks=1))
    return _unit("request", "request with one chunk", slope)


def _measure_chunks() -> UnitCost:
    slope = CpuSlope()
    for count in CHUNK_COUNTS:
        bench = _RequestBench()
        slope.run(count, bench.run_chunks)
    return _unit("chunk", f"chunk of {CHUNK_TOKENS} tokens", slope)


class _SampleBench:
    """A sample ledger whose rollouts, scores and claims are answered immediately."""

    def __init__(self) -> None:
        self._core = LotCore(node_identities(1)[0], LotConfig(), random.Random(1))
        self._core.set_tenants({TENANT: _tenant()})

    def run(self, slots: int) -> None:
        """Run a step of `slots` slots and pull all its samples."""
        prompts = tuple(RolloutPrompt(f"p-{i}", f"prompt {i}", 256) for i in range(slots // 8))
        lot = RolloutLot(TENANT, "trainer", 1, MODEL, VERSION, prompts, 8, 600.0)
        waiting = deque(self._core.submit(CallId("submit"), lot, NOW))
        # A new lot is delayed in case another node has already run it.
        waiting.extend(self._core.tick(LATER))
        while waiting:
            waiting.extend(self._answer(waiting.popleft()))
        pull = SamplePull(TENANT, "trainer", 1, "", VERSION, slots, LATER)
        answers = self._core.pull(CallId("pull"), pull, LATER)
        batches = [item.batch for item in answers if isinstance(item, DeliverSamples)]
        if [len(batch.samples) for batch in batches] != [slots]:
            raise RuntimeError("the step's samples were not handed over whole")

    def _answer(self, output: LotOutput) -> list[LotOutput]:
        match output:
            case StartRollout(request):
                result = CompletionResult("text " * 64, 64, (VersionSpan(VERSION, 64),), "stop")
                return self._core.request_finished(request.request_id, result, LATER)
            case ScoreSample(sample_id=sample_id):
                return self._core.handle(SampleScored(sample_id, 1.0), LATER)
            case ProposeClaim(key=key, value=value):
                return self._core.claim_decided(key, value, LATER)
        return []


def _measure_samples() -> UnitCost:
    slope = CpuSlope()
    for count in SLOT_COUNTS:
        slope.run(count, _SampleBench().run)
    return _unit("sample", "sample, its rollout and claim apart", slope)


class _RolloutBench:
    """A duty holder whose engines all run the newest version."""

    def __init__(self, engine_count: int) -> None:
        self._core = WeightRolloutCore(node_identities(1)[0], WeightRolloutConfig())
        self._core.set_tenants({TENANT: _tenant()})
        machines = [
            machine
            for machine in machine_list(node_identities(2 * engine_count))
            if machine.kind is MachineKind.ENGINE and machine.service == MODEL
        ][:engine_count]
        self._engines = [machine.name for machine in machines]
        self._core.handle_machines(tuple(machines), NOW)
        self._core.set_lease(MODEL, Epoch(1))
        self.handle_reports(1)
        self._core.tick(NOW)

    def handle_reports(self, count: int) -> None:
        """Handle that many reports from each engine."""
        for index in range(count):
            at = NOW + index
            for engine in self._engines:
                self._core.handle_report(_report(engine, MODEL, at), at)

    def evaluate(self, count: int) -> None:
        """Evaluate the pool until `count` engines have been evaluated in total."""
        for index in range(count // len(self._engines)):
            self._core.tick(NOW + 2 + index)


def _measure_reports() -> UnitCost:
    slope = CpuSlope()
    for count in ENGINE_COUNTS:
        bench = _RolloutBench(REPORTED_ENGINES)
        slope.run(count, bench.handle_reports)
    return _unit("weights_report", f"{REPORTED_ENGINES} reports at the duty's holder", slope)


def _measure_evaluation() -> UnitCost:
    slope = CpuSlope()
    for count in ENGINE_COUNTS:
        slope.run(count * EVALUATIONS, _RolloutBench(count).evaluate)
    return _unit("weights_evaluation", "engine in an evaluation", slope)


def _measure_records() -> UnitCost:
    slope = CpuSlope()
    for count in RECORD_COUNTS:
        records = _records(count)

        def fold_all(_: int, all_of: list[LogRecord] = records) -> None:
            fold = ConfigurationStateMachine()
            for record in all_of:
                fold.apply(record)

        slope.run(count, fold_all)
    return _unit("configuration_record", "record folded", slope)


def _records(count: int) -> list[LogRecord]:
    parameters = _tenant().parameters
    payloads = [
        encode_change(
            CreateTenant(
                operator="bench",
                partner="thornfield",
                tenant=TENANT,
                base_revision=0,
                template="rollouts",
                parameters=parameters,
            )
        )
    ]
    payloads += [
        encode_change(
            ChangeParameters(
                operator="bench",
                partner="thornfield",
                tenant=TENANT,
                base_revision=revision,
                parameters=parameters,
            )
        )
        for revision in range(1, count)
    ]
    return [
        LogRecord(offset, RecordId(str(offset)), payload) for offset, payload in enumerate(payloads)
    ]
