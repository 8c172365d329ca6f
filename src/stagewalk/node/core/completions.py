"""Completion requests, answer chunks and results, as the cores use them.

Plain data shared by requests, admission, routing and samples; validated at the edge.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.common.identities import ModelName, RequestId, TenantName, WeightVersion


class Priority(IntEnum):
    """Scheduling class, smaller first, as engines understand it."""

    INTERACTIVE = 0
    ROLLOUT = 10


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A request for one completion.

    Attributes
    ----------
    request_id
        The caller's own id; the same id sent again means the same request.
    repeatable
        False: the request may be executed at most once, whatever fails.
    deadline
        Time on the node's clock, in seconds, after which the caller has no use for the answer.
    seed
        Sampling seed handed to the engine; `None` leaves it to the engine.
    prompt_token_count
        Estimated length of the prompt, in tokens.
    request_class
        The caller's class of the request; a tenant may declare classes that are never repeatable.
    minimum_version, maximum_version
        Weight versions that may serve it, both included; `None` means unbounded.
    resent
        The caller has sent this id before and does not know the outcome. A node without a record
        of the earlier send must then not report the request as not run.
    """

    request_id: RequestId
    tenant: TenantName
    model: ModelName
    prompt: str
    max_tokens: int
    repeatable: bool
    deadline: float
    priority: Priority
    stream: bool = False
    seed: int | None = None
    prompt_token_count: int = 0
    request_class: str = ""
    minimum_version: WeightVersion | None = None
    maximum_version: WeightVersion | None = None
    resent: bool = False


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """A run of consecutive tokens that one weight version produced."""

    version: WeightVersion
    token_count: int


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """A piece of an answer, as sent by an engine in one frame.

    Attributes
    ----------
    sequence
        Position of the chunk in its stream, from 0.
    offset
        Position of its first token in the whole answer, from 0.
    """

    sequence: int
    offset: int
    token_count: int
    text: str
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class CompletionResult:
    """A whole answer."""

    text: str
    token_count: int
    spans: tuple[VersionSpan, ...]
    finish_reason: str


def append_span(
    spans: tuple[VersionSpan, ...], version: WeightVersion, token_count: int
) -> tuple[VersionSpan, ...]:
    """Extend spans by tokens of a version, merging with the last span where it is the same."""
    if token_count == 0:
        return spans
    if spans and spans[-1].version == version:
        last = spans[-1]
        return (*spans[:-1], VersionSpan(version, last.token_count + token_count))
    return (*spans, VersionSpan(version, token_count))
