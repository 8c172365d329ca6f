"""Input and output types of the engine model.

Owns these types and no behaviour; the model, the simulation's host and the stand-in share them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.common.identities import AttemptId, ModelName, RequestId, TenantName, WeightVersion
from stagewalk.node.core.completions import Priority, TokenChunk
from stagewalk.node.core.platform import EngineOrderOutcome


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """An attempt as it reaches an engine.

    Attributes
    ----------
    max_tokens
        Limit of the whole answer, the resumed part included.
    resume_offset
        Tokens of the answer that the client holds already.
    """

    attempt: AttemptId
    request_id: RequestId
    tenant: TenantName
    model: ModelName
    prompt: str
    max_tokens: int
    seed: int | None = None
    priority: int = Priority.INTERACTIVE
    resume_offset: int = 0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The attempt will run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt did not and will not run."""

    detail: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The engine knows this attempt already; it runs or ran once."""


Submission = Accepted | Refused | Duplicate


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to a fenced order; `epoch` is the largest the engine has seen."""

    outcome: EngineOrderOutcome
    epoch: int
    detail: str = ""


class WorkOutcome(StrEnum):
    """How an attempt ended at its engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class ChunkProduced:
    """Tokens of an attempt, all made by one version."""

    attempt: AttemptId
    chunk: TokenChunk


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt ended; `token_count` counts the whole answer, the resumed part included."""

    attempt: AttemptId
    outcome: WorkOutcome
    token_count: int
    prompt_tokens: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class AttemptPreempted:
    """An attempt lost its KV memory and is queued again; it keeps the tokens generated so far."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class StagingStarted:
    """The engine fetches weights; the model's driver answers with `stage_ended`."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class ActivationEnded:
    """A swap of weights ended, on the ordered version or on another."""

    ordered: WeightVersion
    active: WeightVersion


EngineOutput = ChunkProduced | AttemptDone | AttemptPreempted | StagingStarted | ActivationEnded


class CacheEventKind(StrEnum):
    """Kind of a change of a prefix block."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache; `token_count` is the length of the whole prefix."""

    sequence: int
    kind: CacheEventKind
    prefix_hash: str
    token_count: int
    at: float
