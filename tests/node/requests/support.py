"""A request core with fake engines, driven step by step by the tests."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from stagewalk.common.identities import (
    Address,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    NodeName,
    Placement,
    RequestId,
    RequestKey,
    TenantName,
    WeightVersion,
)
from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.admission.controller import AdmissionController
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.core.completions import CompletionRequest, Priority, TokenChunk
from stagewalk.node.core.events import AttemptChunk, AttemptFinished
from stagewalk.node.core.instructions import CancelAttempt, StartAttempt
from stagewalk.node.core.platform import (
    EngineReport,
    EngineState,
    Machine,
    MachineKind,
    MachineState,
)
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.core import RequestCore
from stagewalk.node.requests.notifications import (
    RequestChunk,
    RequestFailed,
    RequestFinished,
    RequestOutput,
    SubmissionRejected,
)
from stagewalk.node.routing.config import EngineTableConfig, RouterConfig
from stagewalk.node.routing.engine_table import EngineTable
from stagewalk.node.routing.router import Router

MODEL = ModelName("advice")
TENANT = TenantName("growers")
NODE = NodeName("n1")
FIRST = Incarnation(1)
KEY = RequestKey(TENANT, RequestId("r1"))
PLACE = Placement("new-england", "hall-north")


@dataclass(frozen=True)
class Identity:
    name: NodeName = NODE
    incarnation: Incarnation = FIRST
    placement: Placement = PLACE


def machine(name: str, placement: Placement = PLACE, **changes: object) -> Machine:
    row = Machine(
        name, MachineKind.ENGINE, Address("127.0.0.1", 9000), placement, MachineState.LIVE, "lm"
    )
    return replace(row, **changes)  # type: ignore[arg-type]


def report(name: str, at: float, **changes: object) -> EngineReport:
    plain = EngineReport(
        engine=EngineName(name),
        incarnation=Incarnation(1),
        model=MODEL,
        state=EngineState.SERVING,
        active_version=WeightVersion(1),
        staged_versions=(),
        epoch=Epoch(0),
        running=0,
        waiting=0,
        pending_tokens=0,
        tokens_per_second=0.0,
        batch_limit=8,
        kv_used_tokens=0,
        kv_capacity_tokens=10000,
        generated_at=at,
    )
    return replace(plain, **changes)  # type: ignore[arg-type]


def tenant(name: str = TENANT, **parameters: object) -> Tenant:
    return Tenant(
        name=TenantName(name),
        partner="thornfield",
        template="t",
        revision=1,
        parameters=TenantParameters(models=(MODEL,), **parameters),  # type: ignore[arg-type]
    )


def request(request_id: str = "r1", **changes: object) -> CompletionRequest:
    plain = CompletionRequest(
        request_id=RequestId(request_id),
        tenant=TENANT,
        model=MODEL,
        prompt="when to vent",
        max_tokens=64,
        repeatable=True,
        deadline=60.0,
        priority=Priority.INTERACTIVE,
    )
    return replace(plain, **changes)  # type: ignore[arg-type]


def chunk(attempt: StartAttempt, start: int, end: int, **changes: object) -> AttemptChunk:
    piece = TokenChunk(start, start, end - start, f"<{start}:{end}>", WeightVersion(1))
    return AttemptChunk(attempt.attempt, replace(piece, **changes))  # type: ignore[arg-type]


def finished(attempt: StartAttempt, token_count: int) -> AttemptFinished:
    return AttemptFinished(attempt.attempt, token_count, "stop")


class Driver:
    """A request core, fake engines that report on demand, and all outputs in order."""

    def __init__(
        self,
        config: RequestConfig | None = None,
        engines: tuple[str, ...] = ("e1", "e2", "e3"),
        admission: AdmissionConfig | None = None,
        seed: int = 1,
        identity: Identity | None = None,
        **parameters: object,
    ) -> None:
        identity = identity or Identity()
        generator = random.Random(seed)
        self.now = 0.0
        self.engines = engines
        self.table = EngineTable(identity, EngineTableConfig())
        self.table.handle_machines([machine(name) for name in engines], 0.0)
        self.router = Router(identity, self.table, RouterConfig(), generator)
        self.admission = AdmissionController(identity.name, admission or AdmissionConfig())
        self.core = RequestCore(
            identity, self.router, self.admission, config or RequestConfig(), generator
        )
        self.core.set_tenants([tenant(**parameters)])
        self.outputs: list[RequestOutput] = []
        self.report_all()

    def report_all(self, **changes: object) -> None:
        for name in self.engines:
            self.table.handle_report(EngineName(name), report(name, self.now, **changes), self.now)

    def take(self, outputs: list[RequestOutput]) -> list[RequestOutput]:
        self.outputs.extend(outputs)
        return outputs

    def submit(self, **changes: object) -> list[RequestOutput]:
        return self.take(self.core.submit(request(**changes), self.now))  # type: ignore[arg-type]

    def handle(self, event: object) -> list[RequestOutput]:
        return self.take(self.core.handle(event, self.now))  # type: ignore[arg-type]

    def decide(self, won: bool = True, value: bytes | None = None) -> list[RequestOutput]:
        wanted = self.of(ProposeClaim)[-1]
        decided = wanted.value if value is None else value
        return self.take(self.core.claim_decided(wanted.key, decided, won, self.now))

    def advance(
        self, seconds: float, engines_report: bool = True, step: float = 0.1
    ) -> list[RequestOutput]:
        end = self.now + seconds
        outputs = []
        while self.now < end:
            self.now = min(end, self.now + step)
            if engines_report:
                self.report_all()
            outputs += self.take(self.core.tick(self.now))
        return outputs

    def of(self, kind: type) -> list:  # type: ignore[type-arg]
        return [output for output in self.outputs if isinstance(output, kind)]

    def last_start(self) -> StartAttempt:
        return self.of(StartAttempt)[-1]

    def streamed(self) -> str:
        return "".join(output.chunk.text for output in self.of(RequestChunk))

    def errors(self, key: RequestKey = KEY) -> list:  # type: ignore[type-arg]
        ends = (RequestFailed, SubmissionRejected)
        return [each.error for each in self.outputs if isinstance(each, ends) and each.key == key]

    def results(self, key: RequestKey = KEY) -> list:  # type: ignore[type-arg]
        return [each.result for each in self.of(RequestFinished) if each.key == key]

    def cancelled(self) -> list[str]:
        return [output.attempt for output in self.of(CancelAttempt)]
