"""Events and instructions of the score calls, and the request content of a call.

Owns the types that `core` and the shell exchange. Relies on the ports of workers for answers and
failures.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.ports.workers import AttemptFailure, WorkerAnswer
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.scoring.records import ScoreCall

SCORE_METHOD = "POST"


def score_content(call: ScoreCall) -> RequestContent:
    """Return what decides how a worker runs a score call."""
    return RequestContent(SCORE_METHOD, call.host, call.path, call.body)


@dataclass(frozen=True, slots=True)
class ScoreAnswered:
    """A worker answered an attempt at a score call, whatever it said."""

    attempt: int
    answer: WorkerAnswer


@dataclass(frozen=True, slots=True)
class ScoreAttemptFailed:
    """An attempt at a score call ended without a whole answer."""

    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class SendScore:
    """Send a score call to a worker, which may work on it for so many seconds.

    `tenant` is whose batch the sample belongs to, see `BatchHeader`.
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
