"""Streamed attempts at model engines over server-sent events."""

from __future__ import annotations

import time

import anyio
import httpx
import msgspec

from stagewalk.adapters.http_calls import NOT_SENT_ERRORS, call_timeout, describe
from stagewalk.core.completions import TokenChunk
from stagewalk.core.errors import Ran
from stagewalk.core.events import AttemptChunk, AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.core.identities import AttemptId, WeightVersion
from stagewalk.core.instructions import StartAttempt
from stagewalk.ports.engines import AttemptSink, FinalAttemptEvent

ATTEMPT_GRACE_SECONDS = 5.0
"""How long a stream may outlive its request's deadline before it is given up."""

_DATA_FIELD = "data:"
_STREAM_END = "[DONE]"
_DUPLICATE_STATUS = 409
_PROBLEM_BYTES = 4096


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


class _Frame(msgspec.Struct):
    sequence: int
    offset: int
    token_count: int
    version: int


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int


class _StreamEvent(msgspec.Struct):
    id: str
    choices: list[_Choice] = msgspec.field(default_factory=list)
    frame: _Frame | None = None
    usage: _Usage | None = None


class _Problem(msgspec.Struct):
    detail: str = ""
    ran: str = Ran.UNKNOWN


_EVENT_DECODER = msgspec.json.Decoder(_StreamEvent)
_PROBLEM_DECODER = msgspec.json.Decoder(_Problem)


async def stream_attempt(
    client: httpx.AsyncClient, start: StartAttempt, deliver: AttemptSink
) -> None:
    """Send an attempt and deliver its events: chunks, then exactly one final event.

    An attempt counts as sent unless connecting failed. A stream that ends without the engine's
    final frame, or that carries another attempt's frame, is a failed attempt.
    """
    await deliver(await _run(client, start, deliver))


async def _run(
    client: httpx.AsyncClient, start: StartAttempt, deliver: AttemptSink
) -> FinalAttemptEvent:
    try:
        with anyio.fail_after(_seconds_left(start)):
            async with client.stream(
                "POST",
                f"http://{start.address}/v1/completions",
                content=_encode_body(start),
                headers={"Content-Type": "application/json", "X-Request-Id": start.attempt},
                timeout=call_timeout(None),
            ) as response:
                if response.is_success:
                    return await _relay_stream(response, start.attempt, deliver)
                return await _refusal(response, start.attempt)
    except httpx.HTTPError as error:
        sent = not isinstance(error, NOT_SENT_ERRORS)
        return AttemptFailed(start.attempt, sent, describe(error))
    except TimeoutError:
        return AttemptFailed(start.attempt, True, "the stream outlived its deadline")
    except msgspec.DecodeError as error:
        return AttemptFailed(start.attempt, True, f"bad frame: {error}")


def _seconds_left(start: StartAttempt) -> float:
    return max(0.0, start.request.deadline - time.monotonic()) + ATTEMPT_GRACE_SECONDS


def _encode_body(start: StartAttempt) -> bytes:
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


async def _relay_stream(
    response: httpx.Response, attempt: AttemptId, deliver: AttemptSink
) -> FinalAttemptEvent:
    async for line in response.aiter_lines():
        if not line.startswith(_DATA_FIELD):
            continue
        data = line.removeprefix(_DATA_FIELD).strip()
        if data == _STREAM_END:
            break
        event = _EVENT_DECODER.decode(data)
        if event.id != attempt:
            return AttemptFailed(attempt, True, f"the stream carries attempt {event.id}")
        choice = event.choices[0] if event.choices else _Choice()
        if event.frame is not None and event.frame.token_count > 0:
            await deliver(AttemptChunk(attempt, _chunk(event.frame, choice.text)))
        if choice.finish_reason is not None and event.usage is not None:
            tokens = event.usage.completion_tokens
            return AttemptFinished(attempt, tokens, choice.finish_reason)
    return AttemptFailed(attempt, True, "the stream ended without its final frame")


def _chunk(frame: _Frame, text: str) -> TokenChunk:
    version = WeightVersion(frame.version)
    return TokenChunk(frame.sequence, frame.offset, frame.token_count, text, version)


async def _refusal(response: httpx.Response, attempt: AttemptId) -> FinalAttemptEvent:
    content = b""
    async for part in response.aiter_bytes():
        content += part
        if len(content) >= _PROBLEM_BYTES:
            break
    try:
        problem = _PROBLEM_DECODER.decode(content)
    except msgspec.DecodeError:
        problem = _Problem()
    detail = f"status {response.status_code}: {problem.detail}"
    if problem.ran != Ran.NO or response.status_code == _DUPLICATE_STATUS:
        return AttemptFailed(attempt, True, detail)
    return AttemptRefused(attempt, detail, _retry_after(response))


def _retry_after(response: httpx.Response) -> float | None:
    try:
        return max(0.0, float(response.headers["Retry-After"]))
    except (KeyError, ValueError):
        return None
