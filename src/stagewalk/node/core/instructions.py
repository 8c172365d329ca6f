"""Instructions that the node's pure core returns.

The shell or the simulation carries them out in order; outcomes come back as events.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import (
    Address,
    AttemptId,
    CallId,
    EngineName,
    Incarnation,
    ModelName,
    RecordId,
)
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, TokenChunk
from stagewalk.node.core.platform import EngineOrder
from stagewalk.node.core.rollouts import RolloutLot, SamplePage
from stagewalk.node.wire.envelope_pb2 import Envelope


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Send the next piece of the answer to a streaming call."""

    call: CallId
    chunk: TokenChunk


@dataclass(frozen=True, slots=True)
class FinishCall:
    """End a completion call with its whole answer; a streaming call has its text already."""

    call: CallId
    result: CompletionResult


@dataclass(frozen=True, slots=True)
class FailCall:
    """End any call with an error."""

    call: CallId
    error: StagewalkError


@dataclass(frozen=True, slots=True)
class AcceptLot:
    """Answer the submission of a lot that is accepted, now or earlier."""

    call: CallId
    lot: RolloutLot


@dataclass(frozen=True, slots=True)
class DeliverSamples:
    """Answer a trainer's pull with samples."""

    call: CallId
    batch: SamplePage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an engine.

    `resume_offset` is the number of tokens of the answer already held: the engine
    continues after them (`resume_text` is their text).
    """

    attempt: AttemptId
    engine: EngineName
    address: Address
    request: CompletionRequest
    resume_offset: int = 0
    resume_text: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt at its engine and drop its stream."""

    attempt: AttemptId
    engine: EngineName
    address: Address


@dataclass(frozen=True, slots=True)
class PollEngine:
    """Read an engine's report."""

    engine: EngineName
    address: Address


@dataclass(frozen=True, slots=True)
class SendEngineOrder:
    """Send a fenced order to an engine."""

    engine: EngineName
    address: Address
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ReadMachines:
    """Read the platform's machine list."""


@dataclass(frozen=True, slots=True)
class ReadVersions:
    """Read the weight store's list of a model's versions."""

    model: ModelName


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a stream from an offset. A stream has at most one read in progress.

    `wait` says whether a read that finds no record waits some seconds for one.
    """

    stream: str
    offset: int
    wait: bool = True


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to a stream."""

    stream: str
    record_id: RecordId
    payload: bytes


@dataclass(frozen=True, slots=True)
class ScoreSample:
    """Have the scorer score a sample's text."""

    sample_id: str
    tenant: str
    prompt: str
    text: str


class Transport(StrEnum):
    """How a message travels between nodes; either may lose it."""

    DATAGRAM = "datagram"
    """UDP: for messages under `MAXIMUM_DATAGRAM_BYTES`."""
    STREAM = "stream"
    """A framed TCP stream to the peer, opened on first use."""


MAXIMUM_DATAGRAM_BYTES = 1200
"""Below the usual path MTU, so that a datagram is not fragmented."""


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another node; delivery is not guaranteed."""

    address: Address
    envelope: Envelope
    transport: Transport = Transport.DATAGRAM


LogLineFields = dict[str, str | int | float | bool]
"""Key and value pairs of one log line; the key `level` sets its level."""


@dataclass(frozen=True, slots=True)
class WriteLogLine:
    """Write one structured log line."""

    name: str
    fields: LogLineFields = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Exit: a stop was requested and everything in flight has ended.

    Attributes
    ----------
    restart_above
        Start again with an incarnation above this one; None: stay stopped.
    """

    restart_above: Incarnation | None = None


Instruction = (
    SendChunk
    | FinishCall
    | FailCall
    | AcceptLot
    | DeliverSamples
    | StartAttempt
    | CancelAttempt
    | PollEngine
    | SendEngineOrder
    | ReadMachines
    | ReadVersions
    | ReadLog
    | AppendRecord
    | ScoreSample
    | SendPeerMessage
    | WriteLogLine
    | ExitProcess
)
