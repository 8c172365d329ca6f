"""Forwards requests with buffered answers: a task for each attempt, the first accepted answer wins.

Runs the retries and hedged attempts of a request. Decisions are made in `forwarding.policy`; the
parts of an attempt common with streams are in `forwarding.attempts`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import anyio
import anyio.abc
from expression import Error, Ok, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.forwarding.admission_gate import AdmissionGate
from stagewalk.gateway.forwarding.attempts import (
    Attempt,
    Attempts,
    Forwarding,
    RunStartListener,
    ignore_run_start,
    log_request_end,
    record_denied,
    record_failure,
)
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.open_requests import OpenRequests
from stagewalk.gateway.forwarding.policy import Ending, ForwardedRequest, Unanswered, is_success
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    WorkerAnswer,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import CrashReports
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.worker import Worker

_Send = Callable[[], Awaitable[Result[WorkerAnswer, AttemptFailure]]]


@dataclass(slots=True)
class _BufferedRequest(Forwarding):
    """A request whose answer is buffered; `answer` is set by the attempt that got it."""

    answer: WorkerAnswer | None = None


class Forwarder:
    """Forwards requests with buffered answers to the workers of their route's services.

    Parameters
    ----------
    open_requests
        Ends requests at their deadline or at the end of a stop.
    """

    def __init__(
        self,
        client: WorkerClient,
        eligibility: Eligibility,
        routes: RouteTable,
        crashes: CrashReports,
        gate: AdmissionGate,
        *,
        open_requests: OpenRequests,
        policy: Policy = DEFAULT_POLICY,
        on_begun: RunStartListener = ignore_run_start,
    ) -> None:
        self._client = client
        self._eligibility = eligibility
        self._crashes = crashes
        self._routes = routes
        self._open_requests = open_requests
        self._on_begun = on_begun
        self._attempts = Attempts(eligibility, crashes, gate, prefer_warm=policy.warm_connections)

    async def forward(
        self, request: InboundRequest, route: Route, deadline_at: float
    ) -> Result[WorkerAnswer, Unanswered]:
        """Return a worker's answer, or how the request ended without one.

        Cancelling this call closes the connections of all attempts.

        Parameters
        ----------
        deadline_at
            Steady time.
        """
        state = ForwardedRequest(route, deadline_at, steady_seconds())
        buffered = _BufferedRequest(request, state, self._routes.choose_back_end(route).service)
        try:
            with self._open_requests.until(deadline_at):
                await self._attempt_until_answered(buffered)
        finally:
            self._attempts.release(buffered)
            if buffered.answer is None:
                self._crashes.publish(request.content)
            if state.run_started_at is not None:
                self._on_begun(request.tenant, state.run_started_at)
        now = steady_seconds()
        if buffered.answer is not None:
            log_request_end(buffered, self._routes.version, f"answered_{buffered.answer.status}")
            return Ok(buffered.answer)
        await self._crashes.wait_published(request.content)
        ending = state.ending(now)
        if ending is Ending.NOT_RUN:
            self._attempts.set_retry_delay(buffered)
        log_request_end(buffered, self._routes.version, ending.value)
        return Error(state.unanswered(ending))

    async def _attempt_until_answered(self, buffered: _BufferedRequest) -> None:
        while buffered.answer is None:
            worker = await self._attempts.next_worker(buffered)
            if worker is None:
                return
            await self._attempt_with_hedge(buffered, worker)

    async def _attempt_with_hedge(self, buffered: _BufferedRequest, worker: Worker) -> None:
        """Run an attempt, and a hedged one if it is slow, until one is accepted or all end."""
        state = buffered.state
        async with anyio.create_task_group() as tasks:

            async def attempt(chosen: Worker) -> None:
                await self._attempt(buffered, chosen)
                if buffered.answer is not None or state.in_flight == 0:
                    tasks.cancel_scope.cancel()

            now = steady_seconds()
            delay = state.hedge_after(worker.recent_latency(now))
            self._attempts.start(state, worker)
            tasks.start_soon(attempt, worker)
            await anyio.sleep(delay)
            state.crash_suspected = self._crashes.known_crashes(buffered.request.content) > 0
            if buffered.place is not None and not buffered.place.may_hedge():
                return
            second = self._attempts.choose(buffered)
            if second is not None and state.may_hedge(steady_seconds()):
                self._attempts.start(state, second)
                tasks.start_soon(attempt, second)

    async def _attempt(self, buffered: _BufferedRequest, worker: Worker) -> None:
        attempt = self._attempts.prepare(buffered, worker)
        permit = self._eligibility.permit(
            worker, attempt.scope, attempt.started_at, buffered.state.deadline_denial
        )
        if permit.is_error():
            record_denied(attempt, permit.error)
            return
        result = await _run(attempt, partial(self._client.send, permit.ok, attempt.outbound))
        if result.is_error():
            await self._attempts.record_unanswered(attempt, result.error)
        else:
            self._handle_answer(buffered, attempt, result.ok)

    def _handle_answer(
        self, buffered: _BufferedRequest, attempt: Attempt, answer: WorkerAnswer
    ) -> None:
        state, worker = buffered.state, attempt.worker
        now = steady_seconds()
        state.record_run(attempt.started_at)
        worker.record_load(answer.load, now)
        worker.record_connection(attempt.outbound.repeatable and not answer.leaving, now)
        if is_success(answer.status) and not answer.is_signed:
            failure = AttemptFailure(AttemptFault.MAY_HAVE_RUN, "answer has no signature")
            record_failure(attempt, failure)
            return
        worker.record_success(now - attempt.started_at, now)
        self._attempts.record_answered(attempt)
        if state.accepts(answer, now):
            buffered.answer = answer


async def _run(attempt: Attempt, send: _Send) -> Result[WorkerAnswer, AttemptFailure]:
    """Send an attempt; record its end and whether it may have run, even if it is cancelled."""
    proves_not_run = False
    try:
        result = await send()
        proves_not_run = result.is_error() and result.error.fault.proves_not_run
    finally:
        attempt.worker.record_ended()
        if not proves_not_run:
            attempt.state.record_unanswered(attempt.started_at)
    return result
