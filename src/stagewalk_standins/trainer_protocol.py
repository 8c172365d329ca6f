"""Request and response bodies of a trainer's calls to nodes and the weight store."""

from __future__ import annotations

import msgspec

from stagewalk.node.core.completions import VersionSpan


class PromptBody(msgspec.Struct, frozen=True):
    """One prompt of a lot."""

    prompt_id: str
    prompt: str
    max_tokens: int


class LotBody(msgspec.Struct, frozen=True):
    """Body of a lot's submission."""

    tenant: str
    trainer: str
    step: int
    model: str
    version: int
    prompts: list[PromptBody]
    samples_per_prompt: int
    deadline_seconds: float


class PullBody(msgspec.Struct, frozen=True):
    """Body of a pull."""

    tenant: str
    trainer: str
    step: int
    cursor: str
    version: int
    max_samples: int
    wait_seconds: float


class PulledSample(msgspec.Struct, frozen=True):
    """A sample in a pull's answer."""

    prompt_id: str
    sample_index: int
    sample_id: str
    text: str
    token_count: int
    versions: list[VersionSpan]
    score: float | None = None


class PullAnswer(msgspec.Struct, frozen=True):
    """Answer to a pull."""

    samples: list[PulledSample]
    cursor: str
    complete: bool
    remaining: int


class PublishedVersionBody(msgspec.Struct, frozen=True):
    """A version as the weight store lists it."""

    version: int
    published_at: float


class VersionList(msgspec.Struct, frozen=True):
    """The weight store's answer."""

    versions: list[PublishedVersionBody]
