"""Runs calls: sends a call's event to the core and the core's answers to the caller.

Owns a call's lifetime: the core is told if it ends before its last answer. Relies on the event
queue and on the open calls for the core's answers.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

import anyio

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.http.exchange import Exchange
from stagewalk.common.http.peer_names import EDGE_PEER
from stagewalk.common.identities import CallId
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.core.events import CallAbandoned, Event
from stagewalk.node.core.instructions import FailCall
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import EdgeMetrics
from stagewalk.node.open_calls import FinalAnswer, OpenCall, OpenCalls, TextDelta

ANSWER_GRACE_SECONDS = 5.0
"""How long after its deadline the edge still waits for the core's answer."""

OUTCOME_OK = "ok"
OUTCOME_ABANDONED = "abandoned"
OUTCOME_SLOW_READER = "slow_reader"

CallResponder = Callable[[OpenCall], Awaitable[str]]
"""Sends the core's answers to the caller and returns the call's outcome."""


class CallRunner:
    """Runs calls: from the exchange to the core's last answer, or until the caller disconnects."""

    def __init__(self, calls: OpenCalls, events: EventQueue, metrics: EdgeMetrics) -> None:
        self._calls = calls
        self._events = events
        self._metrics = metrics

    async def run(
        self,
        exchange: Exchange,
        endpoint: str,
        ask: Callable[[CallId], Event],
        answer: CallResponder,
        *,
        streaming: bool = False,
        ran_if_refused: ExecutionStatus = ExecutionStatus.NO,
    ) -> None:
        """Send the call's event to the core and its answers to the caller, until it disconnects.

        `ran_if_refused` is the execution status to report if the call can't be opened.
        """
        opened = self._calls.open(streaming)
        if opened.is_error():
            self._count(endpoint, opened.error.kind.value)
            await exchange.fail(dataclasses.replace(opened.error, ran=ran_if_refused))
            return
        call = opened.ok
        started_at = steady_seconds()
        self._metrics.open_calls.inc()
        try:
            outcome = await self._relay_answers(exchange, call, ask, answer)
        finally:
            self._metrics.open_calls.dec()
            self._calls.close(call)
            if not call.ended:
                with anyio.CancelScope(shield=True):
                    await self._events.put(CallAbandoned(call.id))
        self._count(endpoint, outcome)
        self._metrics.request_latency.labels(endpoint=endpoint).observe(
            steady_seconds() - started_at
        )

    async def _relay_answers(
        self,
        exchange: Exchange,
        call: OpenCall,
        ask: Callable[[CallId], Event],
        answer: CallResponder,
    ) -> str:
        with anyio.CancelScope() as scope:
            exchange.on_disconnect(scope.cancel)
            call.on_overflow(scope.cancel)
            await self._events.put(ask(call.id))
            return await answer(call)
        if call.overflowed:
            self._metrics.slow_readers.inc()
            if not exchange.started:
                await exchange.fail(delivery_error("the answer came faster than it was read"))
            return OUTCOME_SLOW_READER
        return OUTCOME_ABANDONED

    def _count(self, endpoint: str, outcome: str) -> None:
        self._metrics.calls.labels(endpoint=endpoint, outcome=outcome).inc()


async def receive_final_answer(call: OpenCall, seconds: float) -> FinalAnswer:
    """Return the core's last answer to a call, or an error if none came in time."""
    with anyio.move_on_after(seconds + ANSWER_GRACE_SECONDS):
        while True:
            answer = await call.next_answer()
            if not isinstance(answer, TextDelta):
                return answer
    return FailCall(call.id, deadline_exceeded_error())


def deadline_exceeded_error() -> StagewalkError:
    """Return the error for a call that the core did not answer by its deadline."""
    return delivery_error("no answer by the deadline")


def delivery_error(detail: str) -> StagewalkError:
    """Return the error for an answer that could not be delivered."""
    return StagewalkError(
        ErrorKind.OUTCOME_UNKNOWN, ErrorStep.DELIVERY, EDGE_PEER, detail, ExecutionStatus.UNKNOWN
    )
