"""A scripted core, whose answers depend on the prompt or the trainer.

Prompts: `echo ...` answers with the prompt in chunks of a word; `fail` fails; `fail late` fails
after a chunk; `flood` sends long chunks without end, `drip` one short chunk a tick; `hang` never
answers; `engine` relays an attempt at `engine_address`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import (
    Address,
    AttemptId,
    CallId,
    EngineName,
    SampleSlotKey,
    WeightVersion,
)
from stagewalk.node.core.completions import (
    CompletionRequest,
    CompletionResult,
    TokenChunk,
    VersionSpan,
)
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    CallAbandoned,
    CompletionRequested,
    Event,
    LotSubmitted,
    PeerMessageReceived,
    RetainedAnswerRequested,
    SamplesRequested,
    StopRequested,
    Tick,
)
from stagewalk.node.core.instructions import (
    AcceptLot,
    DeliverSamples,
    ExitProcess,
    FailCall,
    FinishCall,
    Instruction,
    SendChunk,
    StartAttempt,
    WriteLogLine,
)
from stagewalk.node.core.rollouts import Sample, SamplePage
from stagewalk.node.node_core import NodeIdentity, NodeStatus

VERSION = WeightVersion(3)
FLOOD_CHUNKS_PER_TICK = 200
FLOOD_TEXT = "x" * 4096


def whole(text: str) -> CompletionResult:
    count = len(text.split())
    return CompletionResult(text, count, (VersionSpan(VERSION, count),), "stop")


def word_chunks(text: str) -> list[TokenChunk]:
    return [TokenChunk(i, i, 1, word, VERSION) for i, word in enumerate(text.split(" "))]


def failure(ran: ExecutionStatus = ExecutionStatus.NO) -> StagewalkError:
    kind = ErrorKind.OVERLOADED if ran is ExecutionStatus.NO else ErrorKind.ENGINE_FAILED
    retry = 2.0 if ran is ExecutionStatus.NO else None
    return StagewalkError(kind, ErrorStep.ROUTING, "engine-1", "scripted", ran, None, retry)


class EchoCore:
    """Implements the `Core` protocol; records all events except ticks."""

    engine_address = Address("127.0.0.1", 1)

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        self.identity = identity
        self.seen: list[Event] = []
        self.open: set[CallId] = set()
        self.floods: dict[CallId, int] = {}
        self.drips: set[CallId] = set()
        self.attempts: dict[AttemptId, CallId] = {}
        self.stopping = False
        self._handlers: dict[type, Callable[[Any], list[Instruction]]] = {
            Tick: self._tick,
            CompletionRequested: self._complete,
            RetainedAnswerRequested: lambda e: [
                FinishCall(e.call, whole(f"answer of {e.request_id}"))
            ],
            CallAbandoned: self._abandon,
            LotSubmitted: lambda e: [AcceptLot(e.call, e.lot)],
            SamplesRequested: self._pull,
            AttemptChunk: lambda e: [SendChunk(self.attempts[e.attempt], e.chunk)],
            AttemptFinished: self._attempt_finished,
            AttemptRefused: lambda e: [self._fail(self.attempts[e.attempt], ExecutionStatus.NO)],
            AttemptFailed: lambda e: [
                self._fail(self.attempts[e.attempt], ExecutionStatus.UNKNOWN)
            ],
            StopRequested: self._stop,
        }

    def handle(self, event: Event, now: float) -> list[Instruction]:
        if not isinstance(event, Tick):
            self.seen.append(event)
        handler = self._handlers.get(type(event))
        return handler(event) if handler else []

    def status(self, now: float) -> NodeStatus:
        members = {"node-1": "alive", "node-2": "alive", "node-3": "suspect"}
        return NodeStatus(
            str(self.identity.name), self.identity.incarnation, True, self.stopping, 7, "digest",
            {"archive": 2}, members, len(self.open), {}, ("qari", "advice"),
        )  # fmt: skip

    def _tick(self, event: Tick) -> list[Instruction]:
        instructions: list[Instruction] = []
        for call in self.floods:
            drips = call in self.drips
            for _ in range(1 if drips else FLOOD_CHUNKS_PER_TICK):
                number = self.floods[call]
                self.floods[call] += 1
                chunk = TokenChunk(number, number, 1, "." if drips else FLOOD_TEXT, VERSION)
                instructions.append(SendChunk(call, chunk))
        if self.stopping and not self.open:
            instructions.append(ExitProcess())
        return instructions

    def _complete(self, event: CompletionRequested) -> list[Instruction]:
        call, request = event.call, event.request
        if self.stopping:
            error = StagewalkError(ErrorKind.STOPPING, ErrorStep.ADMISSION, "node-1", "stopping",
                                   retry_after_seconds=1.0)  # fmt: skip
            return [FailCall(call, error)]
        self.open.add(call)
        if request.prompt == "hang":
            return []
        if request.prompt in ("flood", "drip"):
            self.floods[call] = 0
            if request.prompt == "drip":
                self.drips.add(call)
            return []
        if request.prompt == "engine":
            return [self._start_attempt(call, request)]
        if request.prompt == "fail":
            return [self._fail(call, ExecutionStatus.NO)]
        if request.prompt == "fail late":
            return [
                SendChunk(call, word_chunks("begun")[0]),
                self._fail(call, ExecutionStatus.UNKNOWN),
            ]
        self.open.discard(call)
        chunks = [SendChunk(call, chunk) for chunk in word_chunks(request.prompt)]
        log = WriteLogLine("request_finished", {"request_id": request.request_id})
        text = request.prompt.replace(" ", "")
        return [*chunks, FinishCall(call, CompletionResult(
            text, len(chunks), (VersionSpan(VERSION, len(chunks)),), "stop")), log]  # fmt: skip

    def _start_attempt(self, call: CallId, request: CompletionRequest) -> StartAttempt:
        attempt = AttemptId(f"attempt-{request.request_id}")
        self.attempts[attempt] = call
        return StartAttempt(attempt, EngineName("engine-1"), self.engine_address, request)

    def _attempt_finished(self, event: AttemptFinished) -> list[Instruction]:
        call = self.attempts[event.attempt]
        self.open.discard(call)
        chunks = [e.chunk for e in self.seen
                  if isinstance(e, AttemptChunk) and e.attempt == event.attempt]  # fmt: skip
        text = "".join(chunk.text for chunk in chunks)
        spans = (VersionSpan(VERSION, event.token_count),)
        result = CompletionResult(text, event.token_count, spans, event.finish_reason)
        return [FinishCall(call, result)]

    def _fail(self, call: CallId, ran: ExecutionStatus) -> FailCall:
        self.open.discard(call)
        return FailCall(call, failure(ran))

    def _abandon(self, event: CallAbandoned) -> list[Instruction]:
        self.open.discard(event.call)
        self.floods.pop(event.call, None)
        return []

    def _pull(self, event: SamplesRequested) -> list[Instruction]:
        pull = event.pull
        if pull.trainer == "unknown":
            error = StagewalkError(
                ErrorKind.UNKNOWN_LOT, ErrorStep.DELIVERY, "node-1", "submit again"
            )
            return [FailCall(event.call, error)]
        slot = SampleSlotKey(pull.tenant, pull.trainer, pull.step, "p1", 0)
        sample = Sample(slot, "s1", "text", 2, (VersionSpan(VERSION, 2),), 0.5, 0.0)
        return [DeliverSamples(event.call, SamplePage((sample,), pull.cursor + "1", True, 0))]

    def _stop(self, event: StopRequested) -> list[Instruction]:
        self.stopping = True
        return []

    def peer_messages(self) -> list[PeerMessageReceived]:
        return [event for event in self.seen if isinstance(event, PeerMessageReceived)]
