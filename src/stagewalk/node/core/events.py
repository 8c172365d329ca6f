"""Events that the shell or the simulation passes to the node's pure core.

Each is a fact that already happened. The time at which the core learns it is the `now`
argument of `NodeCore.handle`, in seconds of a monotonic clock. Plain data, no logic.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import (
    Address,
    AttemptId,
    CallId,
    EngineName,
    ModelName,
    RecordId,
    RequestId,
    TenantName,
)
from stagewalk.node.core.completions import CompletionRequest, TokenChunk
from stagewalk.node.core.platform import (
    EngineOrderOutcome,
    EngineReport,
    LogRecord,
    Machine,
    PublishedVersion,
)
from stagewalk.node.core.rollouts import RolloutLot, SamplePull
from stagewalk.node.wire.envelope_pb2 import Envelope


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the shell sends one every `TICK_INTERVAL_SECONDS`."""


TICK_INTERVAL_SECONDS = 0.1
"""Bounds how late a timer of a core fires."""


@dataclass(frozen=True, slots=True)
class CompletionRequested:
    """A caller opened a call for a completion."""

    call: CallId
    request: CompletionRequest


@dataclass(frozen=True, slots=True)
class RetainedAnswerRequested:
    """A caller asked for the retained answer of an earlier request."""

    call: CallId
    tenant: TenantName
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller of an open call went away."""

    call: CallId


@dataclass(frozen=True, slots=True)
class LotSubmitted:
    """A trainer submitted a step's prompts."""

    call: CallId
    lot: RolloutLot


@dataclass(frozen=True, slots=True)
class SamplesRequested:
    """A trainer asked for finished samples."""

    call: CallId
    pull: SamplePull


@dataclass(frozen=True, slots=True)
class AttemptChunk:
    """An engine sent a piece of an attempt's answer."""

    attempt: AttemptId
    chunk: TokenChunk


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An engine sent the final frame of an attempt, with the count of all tokens."""

    attempt: AttemptId
    token_count: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """An engine refused the attempt and has run no part of it."""

    attempt: AttemptId
    detail: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a final frame.

    `sent` is False only if no byte of it can have reached the engine.
    """

    attempt: AttemptId
    sent: bool
    detail: str


@dataclass(frozen=True, slots=True)
class EngineReported:
    """An engine answered a poll of its report."""

    engine: EngineName
    report: EngineReport


@dataclass(frozen=True, slots=True)
class EngineReportFailed:
    """A poll of an engine's report failed."""

    engine: EngineName
    detail: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An engine answered a fenced order, or did not answer in time."""

    engine: EngineName
    order_id: str
    outcome: EngineOrderOutcome
    detail: str


@dataclass(frozen=True, slots=True)
class MachinesRead:
    """The platform's machine list was read."""

    machines: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class VersionsRead:
    """The weight store's list of a model's versions was read."""

    model: ModelName
    versions: tuple[PublishedVersion, ...]


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records of a stream were read. `head` is the offset after the stream's last record."""

    stream: str
    records: tuple[LogRecord, ...]
    head: int


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read of a stream failed."""

    stream: str
    detail: str


@dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """The log stored a record at an offset."""

    stream: str
    record_id: RecordId
    offset: int


@dataclass(frozen=True, slots=True)
class AppendFailed:
    """An append failed; if `outcome_unknown`, the log may have stored the record."""

    stream: str
    record_id: RecordId
    outcome_unknown: bool
    detail: str


@dataclass(frozen=True, slots=True)
class SampleScored:
    """The scorer answered for a sample."""

    sample_id: str
    score: float


@dataclass(frozen=True, slots=True)
class SampleScoringFailed:
    """The scorer did not answer for a sample; scoring is idempotent and may be tried again."""

    sample_id: str
    error: StagewalkError


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another node's message arrived from an address."""

    source: Address
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop (SIGTERM): finish calls in flight, then exit."""


Event = (
    Tick
    | CompletionRequested
    | RetainedAnswerRequested
    | CallAbandoned
    | LotSubmitted
    | SamplesRequested
    | AttemptChunk
    | AttemptFinished
    | AttemptRefused
    | AttemptFailed
    | EngineReported
    | EngineReportFailed
    | OrderAnswered
    | MachinesRead
    | VersionsRead
    | LogRead
    | LogReadFailed
    | AppendConfirmed
    | AppendFailed
    | SampleScored
    | SampleScoringFailed
    | PeerMessageReceived
    | StopRequested
)
