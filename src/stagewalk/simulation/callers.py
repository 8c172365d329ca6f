"""Interactive callers: each request until its final answer, with retries under the same id.

Owns each request's retries and the callers' observations; relies on `client_calls` to reach nodes
and on `history.answer_text` for the length of a whole answer.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from stagewalk.common.errors import ErrorKind, ExecutionStatus, StagewalkError
from stagewalk.common.identities import CallId, RequestId
from stagewalk.history.answer_text import answer_length
from stagewalk.history.checker_stops import CONNECTION_CUT
from stagewalk.history.observations import (
    FaultInjected,
    RequestAnswered,
    RequestCut,
    RequestRefused,
    RequestSent,
)
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, Priority
from stagewalk.node.core.events import CompletionRequested, Event
from stagewalk.node.core.instructions import FailCall, FinishCall, SendChunk
from stagewalk.simulation.client_calls import other_nodes
from stagewalk.simulation.engine_prefix_cache import prompt_token_count
from stagewalk.simulation.layout import CallerLoad
from stagewalk.simulation.network import Connection
from stagewalk.simulation.node_host import CallAnswer, NodeHost
from stagewalk.simulation.platform_settings import EngineSettings
from stagewalk.simulation.prompts import PromptSource
from stagewalk.simulation.virtual_time import Scheduler, Steps
from stagewalk.simulation.witness import Witness

MAXIMUM_SENDS = 4
GIVE_UP_SECONDS = 5.0
"""How long after the deadline a caller still waits for a final answer."""

STREAMED_FRACTION = 0.5
RETRY_AFTER_REFUSAL_FRACTION = 0.5
RETRY_SECONDS = (0.1, 1.5)
BURST_FRACTION = 0.005
BURST_REQUESTS = 40
"""Requests in a burst, enough for nodes to refuse some of them."""

RETRIABLE = frozenset(
    {
        ErrorKind.OVER_LIMIT,
        ErrorKind.OVERLOADED,
        ErrorKind.NO_ENGINE,
        ErrorKind.STOPPING,
        ErrorKind.UNREACHABLE,
        ErrorKind.UNKNOWN_TENANT,
    }
)


@dataclass(frozen=True, slots=True)
class CallerWorld:
    """Parts of the simulated world that callers use."""

    scheduler: Scheduler
    witness: Witness
    nodes: Sequence[NodeHost]
    engine_settings: EngineSettings


@dataclass(frozen=True, slots=True)
class RequestParameters:
    """Parameters of one request, the same on each retry."""

    request_id: RequestId
    prompt: str
    seed: int
    repeatable: bool
    streamed: bool
    deadline_at: float


class InteractiveCaller:
    """The callers of one tenant that use one node first."""

    def __init__(
        self,
        world: CallerWorld,
        load: CallerLoad,
        home: NodeHost,
        rate: float,
        generator: random.Random,
    ) -> None:
        self.world = world
        self.load = load
        self.home = home
        self.name = f"{load.tenant}@{home.name}"
        self.generator = generator
        self._rate = rate
        self._prompts = PromptSource(self.name, load.prompt_families, generator)
        self._count = 0
        self.unanswered = 0

    def run(self) -> Steps:
        """Send requests at random intervals, in an endless loop."""
        while True:
            yield self.world.scheduler.sleep(self.generator.expovariate(self._rate))
            burst = self.generator.random() < BURST_FRACTION
            for _ in range(BURST_REQUESTS if burst else 1):
                ClientRequest(self, self._draw_parameters()).send(self.home)

    def _draw_parameters(self) -> RequestParameters:
        self._count += 1
        draw = self.generator.random
        return RequestParameters(
            request_id=RequestId(f"{self.name}/{self._count}"),
            prompt=self._prompts.draw(),
            seed=self.generator.getrandbits(31),
            repeatable=draw() >= self.load.non_repeatable_fraction,
            streamed=draw() < STREAMED_FRACTION,
            deadline_at=self.world.scheduler.now + self.load.deadline_seconds,
        )


class ClientRequest:
    """One request with its retries, until its final answer or until its caller stops waiting."""

    def __init__(self, caller: InteractiveCaller, parameters: RequestParameters) -> None:
        self.caller = caller
        self.parameters = parameters
        self._sends = 0
        self._current: RequestAttempt | None = None
        self._done = False
        self._connection_lost = False
        scheduler = caller.world.scheduler
        wait_ends_at = parameters.deadline_at + GIVE_UP_SECONDS
        scheduler.at(wait_ends_at, lambda: self._abandon(unanswered=True))
        if caller.generator.random() < caller.load.abandon_fraction:
            scheduler.after(5.0 * caller.generator.random(), self._abandon)

    def send(self, node: NodeHost) -> None:
        """Send the request to a node; schedule a retry if the node refuses the connection."""
        if self._done:
            return
        world = self.caller.world
        if world.scheduler.now >= self.parameters.deadline_at:
            self._done = True
            return
        current = RequestAttempt(self, node)
        connection = node.open_call(self.caller.home.endpoint, current, self._event)
        if connection is None:
            self._retry()
            return
        current.connection = connection
        self._current = current
        self._record_sent(node)

    def answered(self, node: NodeHost, text: str, result: CompletionResult) -> None:
        """Handle the whole answer."""
        self._done = True
        self.caller.world.witness.observe(
            RequestAnswered(
                at=self.caller.world.scheduler.now,
                caller=self.caller.name,
                node=node.name,
                tenant=self.caller.load.tenant,
                request_id=self.parameters.request_id,
                text=text,
                spans=result.spans,
            )
        )

    def refused(self, node: NodeHost, error: StagewalkError) -> None:
        """Handle a final error; a refused request may be sent again under the same id."""
        self.caller.world.witness.observe(
            RequestRefused(
                at=self.caller.world.scheduler.now,
                caller=self.caller.name,
                node=node.name,
                tenant=self.caller.load.tenant,
                request_id=self.parameters.request_id,
                ran=error.ran,
                kind=error.kind,
                step=error.step,
                peer=error.peer,
            )
        )
        retries = self.caller.generator.random() < RETRY_AFTER_REFUSAL_FRACTION
        if error.ran is ExecutionStatus.NO and error.kind in RETRIABLE and retries:
            self._retry(error.retry_after_seconds or 0.0)
        else:
            self._done = True

    def cut(self, node: NodeHost, by_network: bool) -> None:
        """Send to another node under the same id after the connection broke."""
        self._connection_lost = True
        now = self.caller.world.scheduler.now
        if by_network:
            self.caller.world.witness.observe(
                FaultInjected(at=now, kind=CONNECTION_CUT, target=node.name, until=now)
            )
        self.caller.world.witness.observe(
            RequestCut(
                at=now,
                caller=self.caller.name,
                node=node.name,
                tenant=self.caller.load.tenant,
                request_id=self.parameters.request_id,
            )
        )
        self._retry()

    def _retry(self, least_seconds: float = 0.0) -> None:
        self._current = None
        self._sends += 1
        if self._sends >= MAXIMUM_SENDS:
            self._done = True
            return
        generator = self.caller.generator
        node = generator.choice(other_nodes(self.caller.world.nodes, self.caller.home))
        delay = least_seconds + generator.uniform(*RETRY_SECONDS)
        self.caller.world.scheduler.after(delay, lambda: self.send(node))

    def _abandon(self, unanswered: bool = False) -> None:
        if self._done:
            return
        self._done = True
        self.caller.unanswered += int(unanswered)
        if self._current is not None:
            self._current.close()

    def _record_sent(self, node: NodeHost) -> None:
        world, parameters, load = self.caller.world, self.parameters, self.caller.load
        expected = answer_length(
            parameters.prompt, parameters.seed, load.max_tokens, world.engine_settings.lengths
        )
        world.witness.observe(
            RequestSent(
                at=world.scheduler.now,
                caller=self.caller.name,
                node=node.name,
                tenant=load.tenant,
                request_id=parameters.request_id,
                repeatable=parameters.repeatable,
                prompt=parameters.prompt,
                seed=parameters.seed,
                expected_tokens=expected,
            )
        )

    def _event(self, call: CallId, node_time: float) -> Event:
        parameters, load = self.parameters, self.caller.load
        remaining = parameters.deadline_at - self.caller.world.scheduler.now
        request = CompletionRequest(
            request_id=parameters.request_id,
            tenant=load.tenant,
            model=load.model,
            prompt=parameters.prompt,
            max_tokens=load.max_tokens,
            repeatable=parameters.repeatable,
            deadline=node_time + remaining,
            priority=Priority.INTERACTIVE,
            stream=parameters.streamed,
            seed=parameters.seed,
            prompt_token_count=prompt_token_count(parameters.prompt),
            resent=self._connection_lost,
        )
        return CompletionRequested(call, request)


class RequestAttempt:
    """One call of a request: the caller's end of the connection."""

    def __init__(self, request: ClientRequest, node: NodeHost) -> None:
        self.connection: Connection | None = None
        self._request = request
        self._node = node
        self._text: list[str] = []
        self._closed = False

    def answered(self, answer: CallAnswer) -> None:
        """Handle a piece of the answer, its end, or an error."""
        if self._closed:
            return
        if isinstance(answer, SendChunk):
            self._text.append(answer.chunk.text)
            return
        self._closed = True
        if self.connection is not None:
            self.connection.finish()
        if isinstance(answer, FinishCall):
            streamed = self._request.parameters.streamed
            text = "".join(self._text) if streamed else answer.result.text
            self._request.answered(self._node, text, answer.result)
        elif isinstance(answer, FailCall):
            self._request.refused(self._node, answer.error)

    def lost(self, by_network: bool) -> None:
        """Handle a broken connection."""
        if not self._closed:
            self._closed = True
            self._request.cut(self._node, by_network)

    def close(self) -> None:
        """Close the connection without waiting for an answer."""
        self._closed = True
        if self.connection is not None:
            self.connection.client_gone()
