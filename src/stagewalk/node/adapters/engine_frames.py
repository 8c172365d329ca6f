"""Bodies and frames of the engines' completions API.

Owns the wire format of attempts and their streamed answers; only the adapters use it.
"""

from __future__ import annotations

import msgspec

from stagewalk.common.errors import ExecutionStatus
from stagewalk.common.identities import WeightVersion
from stagewalk.node.core.completions import TokenChunk
from stagewalk.node.core.instructions import StartAttempt


class _CompletionBody(msgspec.Struct, omit_defaults=True):
    model: str
    prompt: str
    max_tokens: int
    priority: int
    tenant: str
    request_id: str
    stream: bool
    seed: int | None = None
    resume_offset: int = 0
    resume_text: str = ""


class Frame(msgspec.Struct):
    """Position of a chunk in its stream and answer, and the weight version that produced it."""

    sequence: int
    offset: int
    token_count: int
    version: int


class Choice(msgspec.Struct):
    """The one choice of a completion."""

    text: str = ""
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Count of the whole answer's tokens."""

    completion_tokens: int


class StreamEvent(msgspec.Struct):
    """One server-sent event of an attempt's stream."""

    id: str
    choices: list[Choice] = msgspec.field(default_factory=list)
    frame: Frame | None = None
    usage: Usage | None = None

    @property
    def choice(self) -> Choice:
        """Return its choice, or an empty one."""
        return self.choices[0] if self.choices else Choice()

    def chunk(self) -> TokenChunk | None:
        """Return the chunk it carries, if any."""
        frame = self.frame
        if frame is None or frame.token_count == 0:
            return None
        version = WeightVersion(frame.version)
        return TokenChunk(
            frame.sequence, frame.offset, frame.token_count, self.choice.text, version
        )


class Problem(msgspec.Struct):
    """An engine's error."""

    detail: str = ""
    ran: str = ExecutionStatus.UNKNOWN


_EVENT_DECODER = msgspec.json.Decoder(StreamEvent)
_PROBLEM_DECODER = msgspec.json.Decoder(Problem)


def encode_attempt(start: StartAttempt) -> bytes:
    """Return the body that sends an attempt."""
    request = start.request
    return msgspec.json.encode(
        _CompletionBody(
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=int(request.priority),
            tenant=request.tenant,
            request_id=request.request_id,
            stream=True,
            seed=request.seed,
            resume_offset=start.resume_offset,
            resume_text=start.resume_text,
        )
    )


def decode_event(data: str) -> StreamEvent:
    """Decode an event's data; raises `msgspec.DecodeError`."""
    return _EVENT_DECODER.decode(data)


def decode_problem(content: bytes) -> Problem:
    """Decode an error's body; if it can't be decoded, the attempt may have run."""
    try:
        return _PROBLEM_DECODER.decode(content)
    except msgspec.DecodeError:
        return Problem()
