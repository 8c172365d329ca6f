"""Stand-in of callers of completions: an open loop at a rate, through the nodes beside it.

Owns requests, retries and their observations; relies on `node_pool` for where to send and on
`history_file` for the record.
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

SEND_AGAIN_SECONDS = 0.5
UNAVAILABLE_STATUS = 503
DEADLINE_MARGIN_SECONDS = 10.0
PREFIX_CHARACTERS = 800
MOST_WAIT_SECONDS = 1.0
"""Longest wait of a call whose connection the caller itself breaks."""
CONNECTION_CUT = "connection_cut"
"""Kind of the fault observed when the caller breaks a connection itself."""
MAXIMUM_SEED = 2**31 - 1
EVENT_PREFIX = "data: "
DONE_DATA = "[DONE]"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerOptions:
    """What a caller does.

    Attributes
    ----------
    rate
        Mean requests a second, exponential gaps.
    streaming_fraction, non_repeatable_fraction
        How the requests are mixed.
    impatient_fraction
        Fraction of calls whose connection the caller itself breaks before the answer.
    sends
        Most times one request id is sent: again only after its connection broke, or after a
        refusal as not run for a passing reason.
    prefixes
        Number of distinct shared prompt prefixes.
    seed
        Its requests depend on its name, this, and their number alone.
    resent
        It runs again: an earlier run of it may have sent the same requests.
    request_class
        If given, non-repeatable requests are marked by this class of their tenant instead of by
        themselves.
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
    """The caller holds a whole answer."""

    text: str
    spans: tuple[VersionSpan, ...]


class Broken(Enum):
    """Why a call ended without an answer or a final error."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing was sent."""
    CUT = "cut"
    """The connection broke, or the answer could not be read."""
    GIVEN_UP = "given_up"
    """The caller broke the connection itself."""


Result = Answered | Problem | Broken


class Caller:
    """Sends requests until its time is over, then waits for what is in flight."""

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
        """Send at the given rate until the time is over or `stop` is set."""
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
        """Send a request, and the same id again through another node if that may help."""
        node = self._nodes.current
        for _ in range(self._options.sends):
            result = await self._send(node, body)
            self._observe_result(node, body, result)
            if not _worth_sending_again(result):
                return
            if result in (Broken.CUT, Broken.GIVEN_UP):
                body = msgspec.structs.replace(body, resent=True)
            await anyio.sleep(SEND_AGAIN_SECONDS)
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
        result: Result = Broken.GIVEN_UP
        with anyio.move_on_after(self._generator.uniform(0.0, MOST_WAIT_SECONDS)):
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
            return Broken.UNREACHABLE
        except httpx.HTTPError as error:
            log_event("call_failed", node=node.name, error=type(error).__name__)
            return Broken.CUT
        except msgspec.MsgspecError as error:
            log_event("answer_unreadable", node=node.name, error=str(error))
            return Broken.CUT

    def _observe_result(self, node: NodeEndpoint, body: CompletionBody, result: Result) -> None:
        match result:
            case Answered():
                outcome = "answered"
                self._observe_answer(node, body, result)
            case Problem():
                outcome = f"refused_{result.title}"
                self._observe_refusal(node, body, result)
            case Broken():
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

    def _observe_break(self, node: NodeEndpoint, body: CompletionBody, broken: Broken) -> None:
        """Observe a broken connection; one that was never made is none."""
        if broken is Broken.UNREACHABLE:
            return
        at = clock()
        if broken is Broken.GIVEN_UP:
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


def _worth_sending_again(result: Result) -> bool:
    """Return whether no answer came, or a refusal that names a passing trouble of its node."""
    if isinstance(result, Problem):
        return result.ran == ExecutionStatus.NO and result.status == UNAVAILABLE_STATUS
    return isinstance(result, Broken)


async def _read_stream(answer: httpx.Response) -> Result:
    """Read a streamed answer; only one that ends with `[DONE]` is whole."""
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
    return Broken.CUT


async def run_caller(
    options: CallerOptions,
    nodes: NodePool,
    history: HistoryFile,
    generator: random.Random,
    stop: anyio.Event,
) -> None:
    """Run a caller to its end."""
    timeout = httpx.Timeout(options.deadline_seconds + DEADLINE_MARGIN_SECONDS, connect=3.0)
    async with open_client(timeout) as client:
        await Caller(options, nodes, client, history, generator).run(stop)
