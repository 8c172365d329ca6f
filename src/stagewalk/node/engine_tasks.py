"""Carries out the core's instructions to engines: attempts, cancellations, reports, orders.

Owns the running attempts' streams. Relies on the engine client for timeouts, and on the core for
retries.
"""

from __future__ import annotations

import anyio
import anyio.abc

from stagewalk.common.identities import AttemptId
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    EngineReported,
    EngineReportFailed,
    Event,
)
from stagewalk.node.core.instructions import (
    CancelAttempt,
    PollEngine,
    SendEngineOrder,
    StartAttempt,
)
from stagewalk.node.core.platform import EngineOrderOutcome
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import EngineMetrics, ServiceMetrics
from stagewalk.node.ports.engines import AttemptEvent, EngineClient


class EngineTasks:
    """Runs calls to engines as tasks and turns their outcomes into events."""

    def __init__(
        self,
        client: EngineClient,
        events: EventQueue,
        metrics: EngineMetrics,
        services: ServiceMetrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._client = client
        self._events = events
        self._metrics = metrics
        self._services = services
        self._tasks = tasks
        self._running: dict[AttemptId, anyio.CancelScope] = {}

    def start_attempt(self, start: StartAttempt) -> None:
        """Start an attempt's stream."""
        scope = anyio.CancelScope()
        self._running[start.attempt] = scope
        self._tasks.start_soon(self._run_attempt, start, scope)

    def cancel_attempt(self, cancel: CancelAttempt) -> None:
        """Stop an attempt's stream, without further events, and the attempt at the engine."""
        scope = self._running.get(cancel.attempt)
        if scope is not None:
            scope.cancel()
        self._tasks.start_soon(self._cancel, cancel)

    def poll(self, poll: PollEngine) -> None:
        """Read an engine's report."""
        self._tasks.start_soon(self._poll, poll)

    def order(self, order: SendEngineOrder) -> None:
        """Send an order."""
        self._tasks.start_soon(self._order, order)

    async def _run_attempt(self, start: StartAttempt, scope: anyio.CancelScope) -> None:
        self._metrics.running_attempts.inc()
        try:
            with scope:
                await self._client.run_attempt(start, self._deliver)
        finally:
            self._metrics.running_attempts.dec()
            del self._running[start.attempt]
        if scope.cancelled_caught:
            self._metrics.attempts.labels(outcome="cancelled").inc()

    async def _deliver(self, event: AttemptEvent) -> None:
        if isinstance(event, AttemptChunk):
            self._metrics.answer_tokens.inc(event.chunk.token_count)
        else:
            self._metrics.attempts.labels(outcome=_outcome(event)).inc()
        await self._events.put(event)

    async def _cancel(self, cancel: CancelAttempt) -> None:
        answer = await self._client.cancel(cancel)
        if answer.is_error():
            self._services.count_error(answer.error)

    async def _poll(self, poll: PollEngine) -> None:
        answer = await self._client.report(poll.engine, poll.address)
        event: Event
        if answer.is_ok():
            event = EngineReported(poll.engine, answer.ok)
        else:
            self._services.count_error(answer.error)
            event = EngineReportFailed(poll.engine, answer.error.detail)
        await self._events.put(event)

    async def _order(self, order: SendEngineOrder) -> None:
        answered = await self._client.order(order)
        if answered.outcome is EngineOrderOutcome.UNKNOWN:
            self._services.count("engine_order", "unreachable")
        await self._events.put(answered)


def _outcome(event: AttemptEvent) -> str:
    if isinstance(event, AttemptFinished):
        return "finished"
    if isinstance(event, AttemptFailed):
        return "failed" if event.sent else "not_sent"
    return "refused"
