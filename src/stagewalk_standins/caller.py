"""Open-loop load generator for the completions API.

Sends requests at a mean rate, retries failed ones through other nodes and records every outcome.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import anyio
import httpx
import msgspec

from stagewalk.common.errors import ExecutionStatus
from stagewalk.history.answer_text import answer_length
from stagewalk.history.observations import (
    FaultInjected,
    RequestAnswered,
    RequestCut,
    RequestRefused,
    RequestSent,
)
from stagewalk.node.core.completions import VersionSpan
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import HistoryFile, clock
from stagewalk_standins.http_client import open_client
from stagewalk_standins.node_pool import NodeEndpoint, NodePool

RETRY_DELAY_SECONDS = 0.5
UNAVAILABLE_STATUS = 503
DEADLINE_MARGIN_SECONDS = 10.0
PREFIX_CHARACTERS = 800
MAXIMUM_ABORT_DELAY_SECONDS = 1.0
"""Upper bound on the time before the caller aborts a request on purpose."""
CONNECTION_CUT = "connection_cut"
"""Fault kind recorded when the caller aborts a request."""
MAXIMUM_SEED = 2**31 - 1
EVENT_PREFIX = "data: "
DONE_DATA = "[DONE]"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerOptions:
    """Settings of a caller.

    Attributes
    ----------
    rate
        Mean requests per second; the gaps are exponentially distributed.
    streaming_fraction, non_repeatable_fraction
        Fractions of requests that are streamed and that must not run twice.
    impatient_fraction
        Fraction of calls that the caller aborts after a random delay.
    sends
        Maximum number of attempts per request id. Retries follow connection errors and 503
        responses that say the request was not run.
    prefixes
        Number of distinct shared prompt prefixes.
    seed
        Together with the caller's name and the request number, determines each request.
    resent
        An earlier run of this caller may already have sent the same requests.
    request_class
        If given, non-repeatable requests name this class of the tenant instead of setting
        `repeatable` to false.
    """

    caller: str
    tenant: str
    model: str
    rate: float
    duration_seconds: float
    deadline_seconds: float
    max_tokens: int
    streaming_fraction: float
    non_repeatable_fraction: float
    impatient_fraction: float
    sends: int
    prefixes: int
    seed: int = 0
    request_class: str = ""
    resent: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    seed: int
    tenant: str
    request_id: str
    repeatable: bool
    request_class: str
    deadline_seconds: float
    resent: bool = False


class Choice(msgspec.Struct, frozen=True):
    """One choice of an answer."""

    text: str = ""


class Problem(msgspec.Struct, frozen=True):
    """An error answer."""

    title: str = ""
    status: int = 0
    detail: str = ""
    ran: str = "unknown"
    step: str = ""
    peer: str = ""


class CompletionAnswer(msgspec.Struct, frozen=True):
    """An answer, or one event of a streamed one."""

    choices: list[Choice] = []
    versions: list[VersionSpan] | None = None
    error: Problem | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer."""

    text: str
    spans: tuple[VersionSpan, ...]


class CallFailure(Enum):
    """Why a call ended without an answer or a final error."""

    UNREACHABLE = "unreachable"
    """Connecting failed, so nothing was sent."""
    CUT = "cut"
    """The connection broke, or the answer could not be read."""
    ABORTED = "given_up"
    """The caller aborted the request on purpose."""


Result = Answered | Problem | CallFailure


class Caller:
    """Sends requests for the configured duration, then waits for those in flight."""

    def __init__(
        self,
        options: CallerOptions,
        nodes: NodePool,
        client: httpx.AsyncClient,
        history: HistoryFile,
        generator: random.Random,
    ) -> None:
        self._options = options
        self._nodes = nodes
        self._client = client
        self._history = history
        self._generator = generator
        self._counts: Counter[str] = Counter()

    async def run(self, stop: anyio.Event) -> None:
        """Send at the configured rate until the duration has passed or `stop` is set."""
        ends_at = anyio.current_time() + self._options.duration_seconds
        number = 0
        async with anyio.create_task_group() as group:
            while not stop.is_set():
                gap = self._generator.expovariate(self._options.rate)
                if anyio.current_time() + gap >= ends_at:
                    break
                with anyio.move_on_after(gap):
                    await stop.wait()
                    break
                number += 1
                group.start_soon(self._request, self._new_body(number))
        log_event("caller_finished", sent=number, **self._counts)

    def _new_body(self, number: int) -> CompletionBody:
        options = self._options
        generator = random.Random(f"{options.caller} {options.seed} {number}")
        topic = generator.randrange(options.prefixes)
        prefix = f"{options.tenant} topic {topic}. ".ljust(PREFIX_CHARACTERS, ".")
        request_id = f"{options.caller}-{number}-{generator.getrandbits(48):012x}"
        repeatable = generator.random() >= options.non_repeatable_fraction
        return CompletionBody(
            model=options.model,
            prompt=f"{prefix} Question {request_id}?",
            max_tokens=options.max_tokens,
            stream=generator.random() < options.streaming_fraction,
            seed=generator.randrange(MAXIMUM_SEED),
            tenant=options.tenant,
            request_id=request_id,
            repeatable=repeatable or bool(options.request_class),
            request_class="" if repeatable else options.request_class,
            deadline_seconds=options.deadline_seconds,
            resent=options.resent,
        )

    async def _request(self, body: CompletionBody) -> None:
        """Send a request, and retry it through the next node if its failure is retryable."""
        node = self._nodes.current
        for _ in range(self._options.sends):
            result = await self._send(node, body)
            self._observe_result(node, body, result)
            if not _is_retryable(result):
                return
            if result in (CallFailure.CUT, CallFailure.ABORTED):
                body = msgspec.structs.replace(body, resent=True)
            await anyio.sleep(RETRY_DELAY_SECONDS)
            node = self._nodes.after(node)

    async def _send(self, node: NodeEndpoint, body: CompletionBody) -> Result:
        self._history.write(
            RequestSent(
                at=clock(),
                caller=self._options.caller,
                node=node.name,
                tenant=body.tenant,
                request_id=body.request_id,
                repeatable=body.repeatable and not body.request_class,
                prompt=body.prompt,
                seed=body.seed,
                expected_tokens=answer_length(body.prompt, body.seed, body.max_tokens),
            )
        )
        if self._generator.random() >= self._options.impatient_fraction:
            return await self._exchange(node, body)
        result: Result = CallFailure.ABORTED
        with anyio.move_on_after(self._generator.uniform(0.0, MAXIMUM_ABORT_DELAY_SECONDS)):
            result = await self._exchange(node, body)
        return result

    async def _exchange(self, node: NodeEndpoint, body: CompletionBody) -> Result:
        content = msgspec.json.encode(body)
        headers = {"content-type": "application/json"}
        url = f"{node.url}/v1/completions"
        try:
            async with self._client.stream("POST", url, content=content, headers=headers) as answer:
                if answer.status_code != 200:
                    return msgspec.json.decode(await answer.aread(), type=Problem)
                if body.stream:
                    return await _read_stream(answer)
                whole = msgspec.json.decode(await answer.aread(), type=CompletionAnswer)
                return Answered(whole.choices[0].text, tuple(whole.versions or ()))
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            log_event("node_unreachable", node=node.name, error=type(error).__name__)
            return CallFailure.UNREACHABLE
        except httpx.HTTPError as error:
            log_event("call_failed", node=node.name, error=type(error).__name__)
            return CallFailure.CUT
        except msgspec.MsgspecError as error:
            log_event("answer_unreadable", node=node.name, error=str(error))
            return CallFailure.CUT

    def _observe_result(self, node: NodeEndpoint, body: CompletionBody, result: Result) -> None:
        match result:
            case Answered():
                outcome = "answered"
                self._observe_answer(node, body, result)
            case Problem():
                outcome = f"refused_{result.title}"
                self._observe_refusal(node, body, result)
            case CallFailure():
                outcome = result.value
                self._observe_break(node, body, result)
        self._counts[outcome] += 1
        log_event("request_ended", request_id=body.request_id, node=node.name, outcome=outcome)

    def _observe_answer(self, node: NodeEndpoint, body: CompletionBody, answer: Answered) -> None:
        self._history.write(
            RequestAnswered(
                at=clock(),
                caller=self._options.caller,
                node=node.name,
                tenant=body.tenant,
                request_id=body.request_id,
                text=answer.text,
                spans=answer.spans,
            )
        )

    def _observe_refusal(self, node: NodeEndpoint, body: CompletionBody, problem: Problem) -> None:
        self._history.write(
            RequestRefused(
                at=clock(),
                caller=self._options.caller,
                node=node.name,
                tenant=body.tenant,
                request_id=body.request_id,
                ran=problem.ran,
                kind=problem.title,
                step=problem.step,
                peer=problem.peer,
            )
        )

    def _observe_break(self, node: NodeEndpoint, body: CompletionBody, broken: CallFailure) -> None:
        """Record a broken connection; a failed connect is not recorded."""
        if broken is CallFailure.UNREACHABLE:
            return
        at = clock()
        if broken is CallFailure.ABORTED:
            self._history.write(
                FaultInjected(at=at, kind=CONNECTION_CUT, target=node.name, until=at)
            )
        self._history.write(
            RequestCut(
                at=at,
                caller=self._options.caller,
                node=node.name,
                tenant=body.tenant,
                request_id=body.request_id,
            )
        )


def _is_retryable(result: Result) -> bool:
    """Return whether the call failed, or was refused with a 503 before it ran."""
    if isinstance(result, Problem):
        return result.ran == ExecutionStatus.NO and result.status == UNAVAILABLE_STATUS
    return isinstance(result, CallFailure)


async def _read_stream(answer: httpx.Response) -> Result:
    """Read a streamed answer; one without a final `[DONE]` counts as cut."""
    texts: list[str] = []
    spans: tuple[VersionSpan, ...] = ()
    async for line in answer.aiter_lines():
        if not line.startswith(EVENT_PREFIX):
            continue
        data = line[len(EVENT_PREFIX) :]
        if data == DONE_DATA:
            return Answered("".join(texts), spans)
        event = msgspec.json.decode(data, type=CompletionAnswer)
        if event.error is not None:
            return event.error
        texts.extend(choice.text for choice in event.choices)
        if event.versions is not None:
            spans = tuple(event.versions)
    return CallFailure.CUT


async def run_caller(
    options: CallerOptions,
    nodes: NodePool,
    history: HistoryFile,
    generator: random.Random,
    stop: anyio.Event,
) -> None:
    """Run a caller until it has finished or `stop` is set."""
    timeout = httpx.Timeout(options.deadline_seconds + DEADLINE_MARGIN_SECONDS, connect=3.0)
    async with open_client(timeout) as client:
        await Caller(options, nodes, client, history, generator).run(stop)
