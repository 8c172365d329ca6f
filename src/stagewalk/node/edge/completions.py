"""The callers' endpoints: completions, whole or streamed, and retained answers.

Owns the format of the completions API. Relies on the call runner for the core's answers and on
`schemas` for validation.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
import xxhash
from expression import Error, Ok, Result

from stagewalk.common.errors import ExecutionStatus, StagewalkError
from stagewalk.common.http.exchange import JSON_CONTENT_TYPE, Exchange
from stagewalk.common.http.problems import render_stream_error
from stagewalk.common.identities import ModelName, RequestId, TenantName
from stagewalk.common.settings.fields import Limits
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, Priority
from stagewalk.node.core.events import CompletionRequested, RetainedAnswerRequested
from stagewalk.node.core.instructions import FailCall, FinishCall
from stagewalk.node.edge.call_runner import (
    ANSWER_GRACE_SECONDS,
    OUTCOME_OK,
    CallRunner,
    deadline_exceeded_error,
    delivery_error,
    receive_final_answer,
)
from stagewalk.node.edge.schemas import (
    CallerHeaders,
    Choice,
    CompletionAnswer,
    CompletionBody,
    Usage,
    check_fields,
    decode_body,
    invalid,
)
from stagewalk.node.metrics import EdgeMetrics
from stagewalk.node.open_calls import FinalAnswer, OpenCall, TextDelta

COMPLETIONS_ENDPOINT = "completions"
ANSWERS_ENDPOINT = "answers"
CHARACTERS_PER_TOKEN = 4
"""Estimated characters per token, as in `PrefixIndexConfig`."""

EVENT_STREAM_CONTENT_TYPE = "text/event-stream; charset=utf-8"
RETAINED_ANSWER_TIMEOUT_SECONDS = 10.0
"""Longest wait for the core's answer about an earlier request."""

_OBJECT = "text_completion"
_STREAM_MISMATCH = "the streamed text is not the beginning of the whole answer"
_STREAM_END = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class _CheckedRequest:
    """A checked request and when it arrived, on the node's clock.

    `ran_if_refused` is the execution status to report if the call can't be opened: unknown for a
    request that is not repeatable and has the caller's id, as another node may have run it.
    """

    request: CompletionRequest
    arrived: float
    deadline_seconds: float
    ran_if_refused: ExecutionStatus


class CompletionEndpoints:
    """`POST /v1/completions` and `GET /v1/requests/{request_id}`."""

    def __init__(
        self,
        calls: CallRunner,
        limits: Limits,
        metrics: EdgeMetrics,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        self._calls = calls
        self._limits = limits
        self._metrics = metrics
        self._clock = clock

    async def complete(self, exchange: Exchange) -> None:
        """Answer `POST /v1/completions`."""
        body = await exchange.body()
        checked = body.bind(lambda content: self._check(exchange, content))
        if checked.is_error():
            await exchange.fail(checked.error)
            return
        accepted = checked.ok
        await self._calls.run(
            exchange,
            COMPLETIONS_ENDPOINT,
            lambda call: CompletionRequested(call, accepted.request),
            lambda call: self._answer(exchange, call, accepted),
            streaming=accepted.request.stream,
            ran_if_refused=accepted.ran_if_refused,
        )

    async def retained_answer(self, exchange: Exchange, request_id: str) -> None:
        """Answer `GET /v1/requests/{request_id}`."""
        fields = {"tenant": exchange.query.get("tenant"), "request_id": request_id}
        checked = check_fields(fields, CallerHeaders)
        if checked.is_error():
            await exchange.fail(checked.error)
            return
        tenant, request = TenantName(checked.ok.tenant), RequestId(checked.ok.request_id)
        await self._calls.run(
            exchange,
            ANSWERS_ENDPOINT,
            lambda call: RetainedAnswerRequested(call, tenant, request),
            lambda call: _answer_retained(exchange, call, request_id),
        )

    def _check(self, exchange: Exchange, content: bytes) -> Result[_CheckedRequest, StagewalkError]:
        body = decode_body(content, CompletionBody)
        return body.bind(lambda decoded: self._check_body(exchange, decoded))

    def _check_body(
        self, exchange: Exchange, body: CompletionBody
    ) -> Result[_CheckedRequest, StagewalkError]:
        if len(body.prompt) > self._limits.prompt_characters:
            limit = self._limits.prompt_characters
            return Error(invalid("prompt", f"the prompt has more than {limit} characters"))
        exchange.resent |= body.resent
        given_id = body.request_id or exchange.header("x-request-id")
        fields = {
            "tenant": body.tenant or exchange.header("x-tenant"),
            "request_id": given_id or uuid.uuid4().hex,
        }
        ran_if_refused = (
            ExecutionStatus.NO if body.repeatable or given_id is None else ExecutionStatus.UNKNOWN
        )
        headers = check_fields(fields, CallerHeaders)
        return headers.bind(
            lambda names: Ok(self._build_request(body, names, ran_if_refused, exchange.resent))
        )

    def _build_request(
        self,
        body: CompletionBody,
        headers: CallerHeaders,
        ran_if_refused: ExecutionStatus,
        resent: bool,
    ) -> _CheckedRequest:
        arrived = self._clock()
        priority = Priority.INTERACTIVE if body.priority == "interactive" else Priority.ROLLOUT
        request = CompletionRequest(
            request_id=RequestId(headers.request_id),
            tenant=TenantName(headers.tenant),
            model=ModelName(body.model),
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            repeatable=body.repeatable,
            deadline=arrived + body.deadline_seconds,
            priority=priority,
            stream=body.stream,
            seed=body.seed,
            prompt_token_count=estimate_tokens(body.prompt),
            request_class=body.request_class,
            resent=resent,
        )
        return _CheckedRequest(request, arrived, body.deadline_seconds, ran_if_refused)

    async def _answer(self, exchange: Exchange, call: OpenCall, checked: _CheckedRequest) -> str:
        if not checked.request.stream:
            answer = await receive_final_answer(call, checked.deadline_seconds)
            return await _respond_whole(exchange, answer, checked.request)
        stream = _AnswerStream(exchange, checked, self._metrics, self._clock)
        with anyio.move_on_after(checked.deadline_seconds + ANSWER_GRACE_SECONDS):
            return await stream.relay(call)
        return await stream.fail(deadline_exceeded_error())


class _AnswerStream:
    """The server-sent events of one streamed answer.

    The text sent is compared with the whole answer before the stream is ended as complete.
    """

    def __init__(
        self,
        exchange: Exchange,
        checked: _CheckedRequest,
        metrics: EdgeMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._checked_request = checked
        self._metrics = metrics
        self._clock = clock
        self._sent_characters = 0
        self._sent_digest = xxhash.xxh64()

    async def relay(self, call: OpenCall) -> str:
        """Relay the core's answers until the last; return the call's outcome."""
        while True:
            answer = await call.next_answer()
            if isinstance(answer, TextDelta):
                await self._send_text(answer.text)
            elif isinstance(answer, FinishCall):
                return await self._finish(answer.result)
            elif isinstance(answer, FailCall):
                return await self.fail(answer.error)

    async def fail(self, error: StagewalkError) -> str:
        """Send an error: as the response, or as the stream's last event if it has begun."""
        if self._exchange.started:
            error = self._exchange.adjust_for_resend(error)
            await self._exchange.write(_event(render_stream_error(error)), last=True)
        else:
            await self._exchange.fail(error)
        return error.kind.value

    async def _send_text(self, text: str) -> None:
        await self._start()
        self._sent_characters += len(text)
        self._sent_digest.update(text.encode())
        await self._send(_text_answer(self._checked_request.request, text))

    async def _finish(self, result: CompletionResult) -> str:
        """Send the text not yet sent, with the versions, and end the stream."""
        sent, rest = result.text[: self._sent_characters], result.text[self._sent_characters :]
        if xxhash.xxh64_intdigest(sent.encode()) != self._sent_digest.intdigest():
            return await self.fail(delivery_error(_STREAM_MISMATCH))
        await self._start()
        last = _whole_answer(self._checked_request.request, result)
        last.choices[0].text = rest
        await self._send(last)
        await self._exchange.write(_STREAM_END, last=True)
        return OUTCOME_OK

    async def _start(self) -> None:
        if self._exchange.started:
            return
        self._metrics.first_chunk_latency.observe(self._clock() - self._checked_request.arrived)
        headers = (("cache-control", "no-cache"),)
        await self._exchange.start(200, EVENT_STREAM_CONTENT_TYPE, headers)

    async def _send(self, answer: CompletionAnswer) -> None:
        await self._exchange.write(_event(msgspec.json.encode(answer)))


async def _respond_whole(
    exchange: Exchange, answer: FinalAnswer, request: CompletionRequest
) -> str:
    if isinstance(answer, FinishCall):
        body = msgspec.json.encode(_whole_answer(request, answer.result))
        await exchange.respond(200, JSON_CONTENT_TYPE, body)
        return OUTCOME_OK
    error = answer.error if isinstance(answer, FailCall) else deadline_exceeded_error()
    await exchange.fail(error)
    return error.kind.value


async def _answer_retained(exchange: Exchange, call: OpenCall, request_id: str) -> str:
    answer = await receive_final_answer(call, RETAINED_ANSWER_TIMEOUT_SECONDS)
    if isinstance(answer, FinishCall):
        completion = _completion(request_id, "", 0, answer.result)
        await exchange.respond(200, JSON_CONTENT_TYPE, msgspec.json.encode(completion))
        return OUTCOME_OK
    error = answer.error if isinstance(answer, FailCall) else deadline_exceeded_error()
    await exchange.fail(error)
    return error.kind.value


def estimate_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt, at least one."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def _event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


def _text_answer(request: CompletionRequest, text: str) -> CompletionAnswer:
    choices = (Choice(text, None),)
    return CompletionAnswer(request.request_id, _OBJECT, int(time.time()), request.model, choices)


def _whole_answer(request: CompletionRequest, result: CompletionResult) -> CompletionAnswer:
    return _completion(request.request_id, request.model, request.prompt_token_count, result)


def _completion(
    request_id: str, model: str, prompt_tokens: int, result: CompletionResult
) -> CompletionAnswer:
    return CompletionAnswer(
        id=request_id,
        object=_OBJECT,
        created=int(time.time()),
        model=model,
        choices=(Choice(result.text, result.finish_reason),),
        versions=result.spans,
        usage=Usage(prompt_tokens, result.token_count, prompt_tokens + result.token_count),
    )
