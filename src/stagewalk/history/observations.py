"""Observations by callers, trainers, engines, operators and the log: the checker's only input.

Observers are external to the system under test: the simulation's models or the stand-in
processes. Times are seconds of one clock shared by all
observers of a run (virtual time, or the machine's monotonic clock). On disk a history is
JSON lines, one observation a line, in any order.

Defines the format of a history line, which later releases must still be able to read.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from stagewalk.node.core.completions import VersionSpan


class Observation(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all observations; `at` is when it was observed, in seconds."""

    at: float


class RequestSent(Observation, frozen=True, tag=True):
    """A caller sent a request (again, if the id is known) to a node."""

    caller: str
    node: str
    tenant: str
    request_id: str
    repeatable: bool
    prompt: str
    seed: int | None
    expected_tokens: int


class RequestAnswered(Observation, frozen=True, tag=True):
    """A caller received an answer that its node reported as complete."""

    caller: str
    node: str
    tenant: str
    request_id: str
    text: str
    spans: tuple[VersionSpan, ...]


class RequestRefused(Observation, frozen=True, tag=True):
    """A caller got a final error. `ran` is `no` or `unknown`."""

    caller: str
    node: str
    tenant: str
    request_id: str
    ran: str
    kind: str
    step: str
    peer: str


class RequestCut(Observation, frozen=True, tag=True):
    """The connection to the node broke before a final answer."""

    caller: str
    node: str
    tenant: str
    request_id: str


class WorkReceived(Observation, frozen=True, tag=True):
    """An engine accepted an attempt and will run it."""

    engine: str
    incarnation: int
    attempt: str
    request_id: str
    tenant: str
    resumed: bool


class WorkRefused(Observation, frozen=True, tag=True):
    """An engine was sent an attempt and refused to run it because it is leaving or draining."""

    engine: str
    incarnation: int
    attempt: str
    request_id: str
    tenant: str


class WorkEnded(Observation, frozen=True, tag=True):
    """An engine ended an attempt: `finished`, `cancelled`, `cut` (stopped by the engine)."""

    engine: str
    incarnation: int
    attempt: str
    outcome: str
    token_count: int


class EngineLeaving(Observation, frozen=True, tag=True):
    """An engine said for the first time that it is leaving or draining."""

    engine: str
    incarnation: int


class EngineServing(Observation, frozen=True, tag=True):
    """An engine started or resumed serving."""

    engine: str
    incarnation: int


class PlannedStopBegan(Observation, frozen=True, tag=True):
    """A process (node or engine) was asked to shut down gracefully."""

    process: str


class ProcessKilled(Observation, frozen=True, tag=True):
    """A process was killed or crashed; the work that this interrupts is no violation."""

    process: str


class OrderObeyed(Observation, frozen=True, tag=True):
    """An engine executed a fenced order."""

    engine: str
    incarnation: int
    epoch: int
    kind: str
    version: int
    active_version: int


class VersionPublished(Observation, frozen=True, tag=True):
    """A trainer published weights of a version."""

    model: str
    version: int


class StepStarted(Observation, frozen=True, tag=True):
    """A trainer submitted a step's batch and begins to wait for its samples."""

    tenant: str
    trainer: str
    step: int
    slots: int


class StepCompleted(Observation, frozen=True, tag=True):
    """A trainer holds every sample of a step; `idle_seconds` is what it waited for them."""

    tenant: str
    trainer: str
    step: int
    idle_seconds: float
    training_seconds: float


class SampleAccepted(Observation, frozen=True, tag=True):
    """A trainer accepted a delivered sample.

    `trainer_version` is the version in the trainer's pull; `age_seconds` is the time since the
    sample's oldest version was superseded by a newer publish, 0 if it is still the newest.
    """

    tenant: str
    trainer: str
    step: int
    prompt_id: str
    sample_index: int
    sample_id: str
    prompt: str
    seed: int | None
    expected_tokens: int
    text: str
    spans: tuple[VersionSpan, ...]
    trainer_version: int
    age_seconds: float


class RecordAppended(Observation, frozen=True, tag=True):
    """The log appended a record."""

    stream: str
    offset: int
    record_id: str
    payload: bytes


class PublishAnswered(Observation, frozen=True, tag=True):
    """An operator received the outcome of a published change."""

    operator: str
    record_id: str
    accepted: bool
    detail: str


class ConfigurationSeen(Observation, frozen=True, tag=True):
    """An operator's probe read which configuration a node applies.

    `revisions` maps tenant to revision; `digest` identifies the whole state at `offset`.
    """

    node: str
    incarnation: int
    offset: int
    digest: str
    revisions: dict[str, int]


class FaultInjected(Observation, frozen=True, tag=True):
    """The experiment injected a fault; some kinds of fault excuse violations."""

    kind: str
    target: str
    until: float


AnyObservation = (
    RequestSent
    | RequestAnswered
    | RequestRefused
    | RequestCut
    | WorkReceived
    | WorkRefused
    | WorkEnded
    | EngineLeaving
    | EngineServing
    | PlannedStopBegan
    | ProcessKilled
    | OrderObeyed
    | VersionPublished
    | StepStarted
    | StepCompleted
    | SampleAccepted
    | RecordAppended
    | PublishAnswered
    | ConfigurationSeen
    | FaultInjected
)

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyObservation)


def encode_line(observation: AnyObservation) -> bytes:
    """Return an observation as one JSON line."""
    return _ENCODER.encode(observation) + b"\n"


def read_history(paths: Iterable[Path]) -> list[AnyObservation]:
    """Read histories of several observers, merged in order of time.

    An incomplete last line, left by a killed observer, is dropped; any other bad line raises
    `msgspec.DecodeError`.
    """
    observations: list[AnyObservation] = []
    for path in paths:
        lines = path.read_bytes().split(b"\n")
        observations.extend(_DECODER.decode(line) for line in lines[:-1] if line)
    observations.sort(key=lambda observation: observation.at)
    return observations
