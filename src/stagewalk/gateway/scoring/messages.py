"""Events and instructions that `core` exchanges with the sender of score calls."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.ports.workers import AttemptFailure, WorkerAnswer
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.scoring.records import ScoreCall

SCORE_METHOD = "POST"


def score_content(call: ScoreCall) -> RequestContent:
    """Return the request content of a score call."""
    return RequestContent(SCORE_METHOD, call.host, call.path, call.body)


@dataclass(frozen=True, slots=True)
class ScoreAnswered:
    """A worker answered an attempt at a score call, with any status."""

    attempt: int
    answer: WorkerAnswer


@dataclass(frozen=True, slots=True)
class ScoreAttemptFailed:
    """An attempt at a score call ended without a complete answer."""

    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class SendScore:
    """Send a score call to a worker.

    Attributes
    ----------
    deadline_seconds
        How long the worker may work on it.
    tenant
        Tenant of the sample's batch, as in `BatchHeader`.
    """

    attempt: int
    batch: str
    item: str
    call: ScoreCall
    worker: str
    deadline_seconds: float
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class StopScore:
    """Close the connection of an attempt at a score call."""

    attempt: int
    reason: str


ScoreEvent = ScoreAnswered | ScoreAttemptFailed
ScoreInstruction = SendScore | StopScore
