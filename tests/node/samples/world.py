"""Builders and a test harness for `LotCore`, with a fake engine, scorer and claim register."""

from __future__ import annotations

import random
from collections.abc import Callable

from stagewalk.common.identities import (
    Address,
    CallId,
    Incarnation,
    ModelName,
    NodeName,
    Placement,
    TenantName,
    WeightVersion,
)
from stagewalk.node.claims.notifications import ProposeClaim, ReadClaim
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, VersionSpan
from stagewalk.node.core.events import SampleScored
from stagewalk.node.core.instructions import DeliverSamples, FailCall, ScoreSample, WriteLogLine
from stagewalk.node.core.rollouts import RolloutLot, RolloutPrompt, SamplePull
from stagewalk.node.node_core import NodeIdentity
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.core import LotCore
from stagewalk.node.samples.notifications import CancelRollout, StartRollout
from stagewalk.node.samples.settlement import LotOutput

TENANT = TenantName("thornfield")
MODEL = ModelName("rollout-lm")
TRAINER = "trainer"
WITHOUT_PROBES = LotConfig(probe_seconds=0.0)
"""Starts new lots without probing for another node that may run them."""


def tenants(**parameters: object) -> dict[TenantName, Tenant]:
    values = TenantParameters(models=(MODEL,), **parameters)  # type: ignore[arg-type]
    tenant = Tenant(name=TENANT, partner="p", template="t", revision=1, parameters=values)
    return {TENANT: tenant}


def make_lot(step: int = 1, version: int = 3, prompts: int = 3, samples: int = 2) -> RolloutLot:
    rows = tuple(RolloutPrompt(f"p-{i}", f"prompt {i}", 100 + i) for i in range(prompts))
    return RolloutLot(TENANT, TRAINER, step, MODEL, WeightVersion(version), rows, samples, 600.0)


def make_pull(
    cursor: str = "", step: int = 1, version: int = 3, maximum: int = 100, wait_until: float = 0.0
) -> SamplePull:
    return SamplePull(TENANT, TRAINER, step, cursor, WeightVersion(version), maximum, wait_until)


def make_core(name: str = "node", config: LotConfig | None = None, **parameters: object) -> LotCore:
    identity = NodeIdentity(
        NodeName(name), Incarnation(1), Address("127.0.0.1", 1), Placement("r", "z")
    )
    core = LotCore(identity, config or WITHOUT_PROBES, random.Random(7))
    core.set_tenants(tenants(**parameters))
    return core


def answer(version: int = 3, tokens: int = 10) -> CompletionResult:
    return CompletionResult("text", tokens, (VersionSpan(WeightVersion(version), tokens),), "stop")


class LotCoreHarness:
    """Runs one core and answers its rollouts, scores and claims.

    `engine` returns the answer of a rollout, or None to keep it running. Claims are decided by
    `register`, which several harnesses may share, unless `claims_available` is false.
    """

    def __init__(self, core: LotCore, register: dict[str, bytes] | None = None) -> None:
        self.core = core
        self.register = {} if register is None else register
        self.engine: Callable[[CompletionRequest], CompletionResult | None] = lambda _: answer()
        self.claims_available = True
        self.running: dict[str, CompletionRequest] = {}
        self.started: list[CompletionRequest] = []
        self.cancelled: list[str] = []
        self.undecided: list[ProposeClaim] = []
        self.batches: dict[CallId, DeliverSamples] = {}
        self.failures: dict[CallId, FailCall] = {}
        self.events: list[WriteLogLine] = []
        self.calls = 0

    def submit(self, lot: RolloutLot, now: float = 0.0) -> CallId:
        call = self._call()
        self.handle_output(self.core.submit(call, lot, now), now)
        return call

    def pull(self, pull: SamplePull, now: float = 0.0) -> CallId:
        call = self._call()
        self.handle_output(self.core.pull(call, pull, now), now)
        return call

    def tick(self, now: float) -> None:
        self.handle_output(self.core.tick(now), now)

    def finish(self, request_id: str, result: CompletionResult, now: float) -> None:
        request = self.running.pop(request_id)
        self.handle_output(self.core.request_finished(request.request_id, result, now), now)

    def event_names(self) -> list[str]:
        return [event.name for event in self.events]

    def handle_output(self, output: list[LotOutput], now: float) -> None:
        for item in output:
            match item:
                case StartRollout(request):
                    self._run(request, now)
                case CancelRollout(request_id=request_id):
                    self.running.pop(request_id, None)
                    self.cancelled.append(request_id)
                case ScoreSample(sample_id=sample_id):
                    self.handle_output(self.core.handle(SampleScored(sample_id, 1.0), now), now)
                case ProposeClaim():
                    self._claim(item, now)
                case ReadClaim(key):
                    self._read_claim(key, now)
                case DeliverSamples(call=call):
                    self.batches[call] = item
                case FailCall(call=call):
                    self.failures[call] = item
                case WriteLogLine():
                    self.events.append(item)

    def _run(self, request: CompletionRequest, now: float) -> None:
        self.started.append(request)
        self.running[request.request_id] = request
        result = self.engine(request)
        if result is not None:
            self.finish(request.request_id, result, now)

    def _claim(self, wanted: ProposeClaim, now: float) -> None:
        if not self.claims_available:
            self.undecided.append(wanted)
            return
        chosen = self.register.setdefault(wanted.key, wanted.value)
        self.handle_output(self.core.claim_decided(wanted.key, chosen, now), now)

    def _read_claim(self, key: str, now: float) -> None:
        if key in self.register:
            self.handle_output(self.core.claim_decided(key, self.register[key], now), now)

    def _call(self) -> CallId:
        self.calls += 1
        return CallId(f"call-{self.calls}")
