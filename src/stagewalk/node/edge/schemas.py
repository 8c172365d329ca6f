"""Bodies of the node's HTTP API, checked by `msgspec` on decoding.

Owns the format of the API and its limits; every error names the field at fault.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal, TypeVar

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.http.peer_names import CALLER_PEER
from stagewalk.node.core.completions import VersionSpan

MAXIMUM_TOKENS = 1_000_000
MAXIMUM_DEADLINE_SECONDS = 86_400.0
MAXIMUM_PROMPTS = 10_000
MAXIMUM_SAMPLES_PER_PROMPT = 1024
MAXIMUM_SAMPLES_PER_PULL = 1024
MAXIMUM_WAIT_SECONDS = 60.0
"""Bounds of the values in a body."""

KeyName = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:@+-]+$", max_length=200)]
"""Names that become parts of keys: without separators and spaces."""

RequestIdText = Annotated[str, msgspec.Meta(pattern=r"^[!-~]+$", max_length=200)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_TOKENS)]
DeadlineSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAXIMUM_DEADLINE_SECONDS)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Seed = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

Body = TypeVar("Body")

_FIELD_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
_FIELD_NAME = re.compile(r"field `([^`]*)`")


class StreamOptions(msgspec.Struct):
    """OpenAI's stream options; ignored, as usage is always included."""

    include_usage: bool = True


class CompletionBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of `POST /v1/completions`.

    `resent` says that the caller sent this request before; `user` and `stream_options` are
    accepted and ignored.
    """

    model: KeyName
    prompt: NonEmptyText
    max_tokens: TokenLimit = 16
    stream: bool = False
    seed: Seed | None = None
    n: Literal[1] = 1
    user: str | None = None
    stream_options: StreamOptions | None = None
    tenant: KeyName | None = None
    request_id: RequestIdText | None = None
    repeatable: bool = True
    resent: bool = False
    deadline_seconds: DeadlineSeconds = 60.0
    priority: Literal["interactive", "rollout"] = "interactive"
    request_class: Annotated[str, msgspec.Meta(max_length=200)] = ""


class CallerHeaders(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Values of `X-Tenant` and `X-Request-Id`, used where the body has none."""

    tenant: KeyName
    request_id: RequestIdText


class PromptBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One prompt of a lot."""

    prompt_id: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    prompt: NonEmptyText
    max_tokens: TokenLimit


class LotBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of `POST /v1/rollouts`."""

    tenant: KeyName
    trainer: KeyName
    step: NonNegativeInteger
    model: KeyName
    version: NonNegativeInteger
    prompts: Annotated[list[PromptBody], msgspec.Meta(min_length=1, max_length=MAXIMUM_PROMPTS)]
    samples_per_prompt: Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_SAMPLES_PER_PROMPT)] = 1
    deadline_seconds: DeadlineSeconds = 600.0


class PullBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of `POST /v1/rollouts/pull`."""

    tenant: KeyName
    trainer: KeyName
    step: NonNegativeInteger
    cursor: str = ""
    version: NonNegativeInteger
    max_samples: Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_SAMPLES_PER_PULL)] = 64
    wait_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=MAXIMUM_WAIT_SECONDS)] = 0.0


class Choice(msgspec.Struct):
    """One choice of a completion; this API always has exactly one."""

    text: str
    finish_reason: str | None
    index: int = 0
    logprobs: None = None


class Usage(msgspec.Struct):
    """Token counts of a whole answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionAnswer(msgspec.Struct, omit_defaults=True):
    """A completion, whole or a piece of a stream. `created` is in seconds since 1970."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice]
    versions: tuple[VersionSpan, ...] | None = None
    usage: Usage | None = None


class LotAnswer(msgspec.Struct):
    """Answer to a lot's submission."""

    step: int
    slots: int


class SampleAnswer(msgspec.Struct):
    """One delivered sample."""

    prompt_id: str
    sample_index: int
    sample_id: str
    text: str
    token_count: int
    versions: tuple[VersionSpan, ...]
    score: float


class PullAnswer(msgspec.Struct):
    """Answer to a pull."""

    samples: list[SampleAnswer]
    cursor: str
    complete: bool
    remaining: int


class ModelRow(msgspec.Struct):
    """One model of `GET /v1/models`."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "stagewalk"


class ModelList(msgspec.Struct):
    """Answer of `GET /v1/models`."""

    data: list[ModelRow]
    object: str = "list"


def decode_body(content: bytes, body: type[Body]) -> Result[Body, StagewalkError]:
    """Decode a JSON body; an error names the offending field."""
    try:
        return Ok(msgspec.json.decode(content, type=body))
    except msgspec.ValidationError as error:
        return Error(_validation_error(str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(invalid("", f"the body is not JSON: {error}"))


def check_fields(fields: dict[str, str | None], body: type[Body]) -> Result[Body, StagewalkError]:
    """Check fields that came in a URL or in headers."""
    given = {name: value for name, value in fields.items() if value is not None}
    try:
        return Ok(msgspec.convert(given, body))
    except msgspec.ValidationError as error:
        return Error(_validation_error(str(error)))


def invalid(field: str, detail: str) -> StagewalkError:
    """Return the error for an offending input field."""
    return StagewalkError(
        ErrorKind.INVALID_REQUEST, ErrorStep.VALIDATION, CALLER_PEER, detail, field=field or None
    )


def _validation_error(message: str) -> StagewalkError:
    path = _FIELD_PATH.search(message)
    name = _FIELD_NAME.search(message)
    parts = (path.group(1) if path else "", name.group(1) if name else "")
    return invalid(".".join(part for part in parts if part), _FIELD_PATH.sub("", message))
