"""Sends score calls to the workers that score, and tells the scheduler what became of them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import (
    PUBLISH_FROM_CRASHES,
    CrashReports,
    SentRequest,
)
from stagewalk.gateway.runners.run_views import RunViews
from stagewalk.gateway.scoring.messages import (
    SCORE_METHOD,
    ScoreAnswered,
    ScoreBroken,
    ScoreEvent,
    SendScore,
    StopScore,
    score_content,
)
from stagewalk.gateway.workers.table import WorkerTable

HOST_HEADER = "host"
SUCCESS = 200

EventSink = Callable[[ScoreEvent], None]


class ScoreSender:
    """Carries out what the score calls decide.

    Parameters
    ----------
    eligibility
        Permits sends.
    tell
        Takes what became of an attempt.
    views
        Tell whether something of a batch may be sent to a worker at a time.
    crashes
        Take which calls lost their worker.
    """

    def __init__(
        self,
        client: WorkerClient,
        workers: WorkerTable,
        eligibility: Eligibility,
        tell: EventSink,
        views: RunViews,
        *,
        crashes: CrashReports,
    ) -> None:
        self._crashes = crashes
        self._client = client
        self._workers = workers
        self._eligibility = eligibility
        self._tell = tell
        self._views = views
        self._tasks: anyio.abc.TaskGroup | None = None
        self._scopes: dict[int, anyio.CancelScope] = {}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Have attempts run in a task group from now on."""
        self._tasks = tasks

    def send(self, send: SendScore) -> None:
        """Begin an attempt."""
        assert self._tasks is not None
        scope = anyio.CancelScope()
        self._scopes[send.attempt] = scope
        self._tasks.start_soon(self._run, send, scope)

    def stop(self, stop: StopScore) -> None:
        """Break an attempt off."""
        scope = self._scopes.pop(stop.attempt, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, send: SendScore, scope: anyio.CancelScope) -> None:
        began = steady_seconds()
        with scope:
            event = await self._attempt(send)
        if not scope.cancelled_caught:
            self._scopes.pop(send.attempt, None)
            _log_outcome(send, event, steady_seconds() - began)
            self._tell(event)

    async def _attempt(self, send: SendScore) -> ScoreEvent:
        worker = self._workers.worker(send.worker)
        if worker is None:
            gone = AttemptFailure(AttemptFault.NOT_SENT, "the worker is gone")
            return ScoreBroken(send.attempt, gone)
        now = steady_seconds()
        if not self._views.may_start(send.batch, now):
            withheld = AttemptFailure(AttemptFault.WITHHELD, "the view of the log is too old")
            return ScoreBroken(send.attempt, withheld)
        content = score_content(send.call)
        denial = await self._crashes.denial(content)
        if denial is not None:
            return ScoreBroken(send.attempt, AttemptFailure(AttemptFault.WITHHELD, denial.value))
        scope = self._eligibility.scope(send.call.path, content, send.tenant)
        permit = self._eligibility.permit(
            worker, scope, now, lambda at: self._views.denial(send.batch, at)
        )
        if permit.is_error():
            withheld = AttemptFailure(AttemptFault.WITHHELD, permit.error.value)
            return ScoreBroken(send.attempt, withheld)
        request = OutboundRequest(
            request_id=send.call.call,
            method=SCORE_METHOD,
            target=send.call.path,
            headers=((HOST_HEADER, send.call.host),),
            body=send.call.body,
            deadline_seconds=send.deadline_seconds,
            tenant=send.tenant,
        )
        known_crashes = self._crashes.known_crashes(content)
        result = await self._client.send(permit.ok, request)
        if result.is_ok():
            self._crashes.answered(content)
            return ScoreAnswered(send.attempt, result.ok)
        route = "" if scope is None else scope.route.name
        sent = SentRequest(send.call.call, content, worker, route, known_crashes, now)
        await self._crashes.connection_lost(sent, result.error)
        self._crashes.publish(content, PUBLISH_FROM_CRASHES)
        return ScoreBroken(send.attempt, result.error)


def _log_outcome(send: SendScore, event: ScoreEvent, seconds: float) -> None:
    if isinstance(event, ScoreAnswered):
        good = event.answer.status == SUCCESS
        outcome, detail = f"answered_{event.answer.status}", ""
    else:
        good = False
        outcome, detail = event.failure.fault.value, event.failure.detail
    log_event(
        "score_call_ended",
        "info" if good else "warning",
        item=send.item,
        batch=send.batch,
        call=send.call.call,
        attempt=send.attempt,
        worker=send.worker,
        outcome=outcome,
        detail=detail,
        seconds=seconds,
    )
