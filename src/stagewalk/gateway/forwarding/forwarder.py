"""Carries forwarded requests out: one task an attempt, the first whole answer wins."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
from expression import Error, Ok, Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.forwarding.attempt_failures import note_failed_attempt, note_withheld_attempt
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import (
    ForwardedRequest,
    Unanswered,
    evidence_of,
    is_success,
)
from stagewalk.gateway.policy import ALL_ON, Policy
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    WorkerAnswer,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import CrashReports, SentRequest
from stagewalk.gateway.routes.route import Route, RouteKind
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

BegunListener = Callable[[str | None, float], None]
"""Takes that a request of a tenant began to run at a worker at a time of the steady clock."""


def ignore_begun(_tenant: str | None, _began: float) -> None:
    """Take no notice."""


GOOD_OUTCOMES = frozenset({"answered_200", "stream_200"})


@dataclass(slots=True)
class _Settled:
    """Where attempts leave the answer that wins."""

    answer: WorkerAnswer | None = None


class Forwarder:
    """Forwards whole requests to workers of their route's services."""

    def __init__(
        self,
        client: WorkerClient,
        eligibility: Eligibility,
        routes: RouteTable,
        crashes: CrashReports,
        *,
        policy: Policy = ALL_ON,
        on_begun: BegunListener = ignore_begun,
    ) -> None:
        self._client = client
        self._eligibility = eligibility
        self._crashes = crashes
        self._routes = routes
        self._policy = policy
        self._on_begun = on_begun

    async def forward(
        self, request: InboundRequest, route: Route, deadline_at: float
    ) -> Result[WorkerAnswer, Unanswered]:
        """Return a worker's answer, or how the request ended without one.

        Cancelling this call closes the connections of all its attempts.
        """
        state = ForwardedRequest(route, deadline_at, steady_seconds())
        service = self._routes.choose_back_end(route).service
        settled = _Settled()
        try:
            with anyio.move_on_at(anyio.current_time() + max(0.0, deadline_at - steady_seconds())):
                await self._attempt_until_settled(request, state, service, settled)
        finally:
            if settled.answer is None:
                self._crashes.tell(request.content)
            if state.began_running is not None:
                self._on_begun(request.tenant, state.began_running)
        now = steady_seconds()
        if settled.answer is not None:
            outcome = f"answered_{settled.answer.status}"
            log_request_end(request, state, self._routes.version, outcome)
            return Ok(settled.answer)
        await self._crashes.told(request.content)
        ending = state.ending(now)
        log_request_end(request, state, self._routes.version, ending.value)
        return Error(state.unanswered(ending))

    async def _attempt_until_settled(
        self,
        request: InboundRequest,
        state: ForwardedRequest,
        service: str,
        settled: _Settled,
    ) -> None:
        while settled.answer is None:
            state.withheld = await self._crashes.denial(request.content)
            if state.withheld is not None:
                return
            worker = self._choose(request, service, state)
            if worker is None or not state.may_try_again(steady_seconds()):
                return
            await self._attempt_with_hedge(request, state, service, worker, settled)

    async def _attempt_with_hedge(
        self,
        request: InboundRequest,
        state: ForwardedRequest,
        service: str,
        worker: Worker,
        settled: _Settled,
    ) -> None:
        """Run one attempt, and a second one beside it if it is slow, until none is left."""
        async with anyio.create_task_group() as tasks:

            async def attempt(chosen: Worker) -> None:
                await self._attempt(request, state, chosen, settled)
                if settled.answer is not None or state.under_way == 0:
                    tasks.cancel_scope.cancel()

            now = steady_seconds()
            delay = state.hedge_after(worker.recent_latency(now))
            self._start(state, worker)
            tasks.start_soon(attempt, worker)
            await anyio.sleep(delay)
            state.suspected = self._crashes.known_level(request.content) > 0
            second = self._choose(request, service, state)
            if second is not None and state.may_hedge(steady_seconds()):
                self._start(state, second)
                tasks.start_soon(attempt, second)

    def _choose(
        self, request: InboundRequest, service: str, state: ForwardedRequest
    ) -> Worker | None:
        now = steady_seconds()
        scope = request.scope(state.route)
        found = self._eligibility.candidates(service, scope, now)
        self._eligibility.want(found, now)
        state.denied = found.denied
        # Only repeatable requests may go over a kept connection.
        repeatable = state.route.kind is RouteKind.REPEATABLE
        return choose_worker(
            found.workers,
            now,
            self._eligibility.proximity,
            state.tried,
            prefer_warm=repeatable and self._policy.warm_connections,
        )

    @staticmethod
    def _start(state: ForwardedRequest, worker: Worker) -> None:
        now = steady_seconds()
        state.started(worker.announcement.worker, evidence_of(worker, now))
        worker.note_sent()

    async def _attempt(
        self,
        request: InboundRequest,
        state: ForwardedRequest,
        worker: Worker,
        settled: _Settled,
    ) -> None:
        began = steady_seconds()
        known_level = self._crashes.known_level(request.content)
        scope = request.scope(state.route)
        permit = self._eligibility.permit(worker, scope, began, state.late)
        if permit.is_error():
            note_withheld_attempt(request, state, worker, permit.error)
            return
        outbound = OutboundRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline_seconds=state.worker_seconds(began),
            repeatable=state.route.kind is RouteKind.REPEATABLE,
            tenant=request.tenant,
            priority=request.priority,
        )
        proves_not_run = False
        try:
            result = await self._client.send(permit.ok, outbound)
            proves_not_run = result.is_error() and result.error.fault.proves_not_run
        finally:
            worker.note_ended()
            if not proves_not_run:
                state.note_unanswered(began)
        now = steady_seconds()
        if result.is_error():
            sent = SentRequest(
                request.request_id, request.content, worker, state.route.name, known_level, began
            )
            await self._crashes.lost(sent, result.error)
            note_failed_attempt(request, state, worker, result.error)
            return
        answer = result.ok
        state.note_run(began)
        worker.note_load(answer.load, now)
        worker.note_connection(outbound.repeatable and not answer.leaving, now)
        if is_success(answer.status) and not answer.genuine:
            damaged = AttemptFailure(AttemptFault.MAY_HAVE_RUN, "an answer without signature")
            note_failed_attempt(request, state, worker, damaged)
            return
        worker.note_success(now - began, now)
        self._crashes.answered(request.content)
        state.under_way -= 1
        if state.accepts(answer, now):
            settled.answer = answer


def log_request_end(
    request: InboundRequest, state: ForwardedRequest, configuration: int, outcome: str
) -> None:
    """Log how a forwarded request ended, which workers it went to and what chose them."""
    good = outcome in GOOD_OUTCOMES
    content = {} if good or not state.may_have_run else {"content": request.content.digest}
    log_event(
        "request_ended",
        "info" if good else "warning",
        request=request.request_id,
        route=state.route.name,
        configuration=configuration,
        outcome=outcome,
        workers=",".join(state.tried),
        occupancies=",".join(format(e.occupancy, ".2f") for e in state.evidence),
        load_ages=",".join(format(e.load_age, ".2f") for e in state.evidence),
        attempts=state.spent,
        denied=_count_denials(state),
        seconds=steady_seconds() - state.began_at,
        **content,
    )


def _count_denials(state: ForwardedRequest) -> str:
    """Return how many workers might not get a request, by reason."""
    counts = Counter(denial.value for denial in state.denied.values())
    return ",".join(f"{reason}:{count}" for reason, count in sorted(counts.items()))
