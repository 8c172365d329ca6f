"""Outputs of the request core for the node's other cores; the node core dispatches them by type."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import Incarnation, NodeName, RequestKey
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.completions import CompletionResult, TokenChunk
from stagewalk.node.core.instructions import CancelAttempt, StartAttempt


@dataclass(frozen=True, slots=True)
class RequestJoined:
    """The submission just made joined an earlier one of the same request.

    `held` is the text already streamed to earlier calls, which this call has not received.
    """

    key: RequestKey
    held: TokenChunk | None


@dataclass(frozen=True, slots=True)
class RequestChunk:
    """The next piece of a streamed answer, for every call of the request."""

    key: RequestKey
    chunk: TokenChunk


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The complete answer, for every call of the request; returned once."""

    key: RequestKey
    result: CompletionResult


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The final error, for every call of the request."""

    key: RequestKey
    error: StagewalkError


@dataclass(frozen=True, slots=True)
class SubmissionRejected:
    """The submission just made fails; other calls with the same id are not affected."""

    key: RequestKey
    error: StagewalkError


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Fetch a request's answer from the node that owns its claim, or the claim if it never ran.

    Attributes
    ----------
    nonce
        Nonce of the decided claim.
    query_id
        Distinguishes replies to this query from replies to earlier ones of the same request.
    """

    key: RequestKey
    owner: NodeName
    owner_incarnation: Incarnation
    nonce: str
    query_id: int


RequestOutput = (
    StartAttempt
    | CancelAttempt
    | RequestJoined
    | RequestChunk
    | RequestFinished
    | RequestFailed
    | SubmissionRejected
    | ProposeClaim
    | FetchAnswer
)
