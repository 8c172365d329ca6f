"""Records of requests in progress and of their attempts.

Plain data, owned by the store and changed by the core, the claim gate and the attempt runner.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from stagewalk.common.errors import ExecutionStatus, StagewalkError
from stagewalk.common.identities import Address, AttemptId, EngineName, NodeName, RequestKey
from stagewalk.node.core.completions import CompletionRequest
from stagewalk.node.requests.answer import AnswerAssembly, PartialAnswer
from stagewalk.node.requests.claim_value import ClaimValue
from stagewalk.node.requests.states import RequestState


@dataclass(slots=True)
class Attempt:
    """One attempt in progress at an engine; times are in seconds of the node's clock.

    `stall_timer_at` is the time of the latest stall timer; earlier ones are ignored.
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
        Distinguishes it from an earlier request with the same key.
    request
        The request with the tenant's parameters applied.
    claim, claim_held
        The claim proposed for it, and whether it was won.
    owner, owners_claim
        The node that won the claim, if it is another one, and that claim.
    attempt_count
        Attempts started, including those in progress.
    may_have_run
        Whether an ended attempt may have been executed.
    held
        The partial answer from which the next attempt resumes.
    stream
        Whether a call streams the answer.
    streamed_tokens, streamed_characters, next_sequence
        How much of the answer was streamed, and in how many chunks.
    excluded
        Engines that failed or refused it.
    no_engine_since
        Since when no engine has been eligible; `None` if one was at the last search.
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
    held: PartialAnswer = field(default_factory=PartialAnswer)
    streamed_tokens: int = 0
    streamed_characters: int = 0
    next_sequence: int = 0
    excluded: set[EngineName] = field(default_factory=set)
    last_error: StagewalkError | None = None
    no_engine_since: float | None = None
    characters: int = 0

    @property
    def ran(self) -> ExecutionStatus:
        """Return the request's execution status: `no` only if that is proven.

        A request that is not repeatable may have been sent through another node before, unless
        its claim is held. For a repeatable one, `resent` says whether the caller sent it before.
        """
        proven = not self.request.resent if self.request.repeatable else self.claim_held
        if self.may_have_run or self.attempts or not proven:
            return ExecutionStatus.UNKNOWN
        return ExecutionStatus.NO


def fingerprint_of(request: CompletionRequest) -> str:
    """Return the hash of the content that two submissions of the same request share."""
    content = (
        f"{request.model}\x00{request.max_tokens}\x00{request.seed}\x00{request.repeatable}\x00"
        f"{request.prompt}"
    )
    return xxhash.xxh3_128_hexdigest(content.encode())
