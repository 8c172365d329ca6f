"""What the core keeps of a request in progress and of its attempts.

Plain data, owned by the store and changed by the core, the gate and the attempt runner.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from stagewalk.common.errors import ExecutionStatus, StagewalkError
from stagewalk.common.identities import Address, AttemptId, EngineName, NodeName, RequestKey
from stagewalk.node.core.completions import CompletionRequest
from stagewalk.node.requests.answer import AnswerAssembly, HeldAnswer
from stagewalk.node.requests.claim_value import ClaimValue
from stagewalk.node.requests.states import RequestState


@dataclass(slots=True)
class Attempt:
    """One attempt under way at an engine; times are of the node's clock, in seconds.

    `stall_timer_at` names the one timer that still counts among those set for it.
    """

    attempt: AttemptId
    engine: EngineName
    address: Address
    started_at: float
    resume_offset: int
    assembly: AnswerAssembly
    last_chunk_at: float | None = None
    stall_timer_at: float = 0.0


@dataclass(slots=True)
class RequestRecord:
    """A request in progress.

    Attributes
    ----------
    serial
        Tells it from an earlier request under the same key.
    request
        The request with the tenant's parameters applied.
    claim, claim_held
        The claim proposed for it, and whether it was won.
    owner, owners_claim
        The node that holds the claim, if another one won it, and that claim.
    attempt_count
        Attempts started, those under way included.
    may_have_run
        Whether an attempt that ended may have been executed.
    held
        The longest part of the answer that is certain, to resume from.
    stream
        Whether a call streams the answer.
    streamed_tokens, streamed_characters, next_sequence
        How much of the answer was streamed, and in how many pieces.
    excluded
        Engines that failed or refused it.
    no_engine_since
        Since when no engine was eligible; `None` if one was.
    """

    key: RequestKey
    serial: int
    request: CompletionRequest
    fingerprint: str
    mixed_versions: bool
    retention_seconds: float
    stream: bool
    submitted_at: float
    state: RequestState = RequestState.NEW
    claim: ClaimValue | None = None
    claim_held: bool = False
    owner: NodeName | None = None
    owners_claim: ClaimValue | None = None
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    may_have_run: bool = False
    held: HeldAnswer = field(default_factory=HeldAnswer)
    streamed_tokens: int = 0
    streamed_characters: int = 0
    next_sequence: int = 0
    excluded: set[EngineName] = field(default_factory=set)
    last_error: StagewalkError | None = None
    no_engine_since: float | None = None
    characters: int = 0

    @property
    def ran(self) -> ExecutionStatus:
        """Return what may be said of the request: `no` only if it is proven.

        A request that is not repeatable may have been sent through another node before: only
        its claim tells. Of a repeatable one, only the caller can say that it sent it before.
        """
        proven = not self.request.resent if self.request.repeatable else self.claim_held
        if self.may_have_run or self.attempts or not proven:
            return ExecutionStatus.UNKNOWN
        return ExecutionStatus.NO


def fingerprint_of(request: CompletionRequest) -> str:
    """Return the hash of what makes two submissions under one id the same request."""
    content = (
        f"{request.model}\x00{request.max_tokens}\x00{request.seed}\x00{request.repeatable}\x00"
        f"{request.prompt}"
    )
    return xxhash.xxh3_128_hexdigest(content.encode())
