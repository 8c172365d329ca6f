"""Forwards streams of events as they arrive; where allowed, goes on at another worker."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from expression import Error, Ok, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.forwarding.attempt_failures import note_failed_attempt, note_withheld_attempt
from stagewalk.gateway.forwarding.forwarder import (
    BegunListener,
    ignore_begun,
    log_request_end,
)
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import Ending, ForwardedRequest, Unanswered, evidence_of
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    StreamEnd,
    StreamHead,
    StreamPart,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import CrashReports, SentRequest
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

SUCCESS = 200
StreamConsumer = Callable[[StreamPart], Awaitable[None]]


class OutOfOrderError(Exception):
    """A worker sent an event that does not follow the last one."""


@dataclass(slots=True)
class _Progress:
    """What the caller has got.

    `last_event` is the number of the last event passed on, or the one the caller resumes after.
    """

    started: bool = False
    last_event: int = 0


@dataclass(slots=True, eq=False)
class _Attempt:
    """A stream under way at a worker; `moved` is cancelled to have it go on at another one."""

    worker: Worker
    state: ForwardedRequest
    moved: anyio.CancelScope = field(default_factory=anyio.CancelScope)


_MOVED = AttemptFailure(AttemptFault.MAY_HAVE_RUN, "moved: the worker's zone is evacuated")


class StreamForwarder:
    """Forwards streams. The head the caller sees is that of the first worker that answered."""

    def __init__(
        self,
        client: WorkerClient,
        eligibility: Eligibility,
        routes: RouteTable,
        crashes: CrashReports,
        on_begun: BegunListener = ignore_begun,
    ) -> None:
        self._on_begun = on_begun
        self._client = client
        self._crashes = crashes
        self._eligibility = eligibility
        self._routes = routes
        self._under_way: dict[_Attempt, None] = {}
        eligibility.evacuations.listen(self._zone_evacuated, lambda _zone, _now: None)

    async def forward(
        self,
        request: InboundRequest,
        route: Route,
        deadline_at: float,
        resume_after: int,
        consume: StreamConsumer,
    ) -> Result[StreamEnd, Unanswered]:
        """Pass a stream on; return how the worker ended it, or how it ended without.

        After an error the caller's answer, if it has begun, must not look complete.
        """
        state = ForwardedRequest(route, deadline_at, steady_seconds())
        service = self._routes.choose_back_end(route).service
        progress = _Progress(last_event=resume_after)
        ended: StreamEnd | None = None
        try:
            with anyio.move_on_at(anyio.current_time() + max(0.0, deadline_at - steady_seconds())):
                while ended is None:
                    state.withheld = await self._crashes.denial(request.content)
                    worker = self._choose(request, service, state)
                    if worker is None or not state.may_try_again(steady_seconds()):
                        break
                    ended = await self._attempt(request, state, worker, progress, consume)
        finally:
            if ended is None:
                self._crashes.tell(request.content)
        if ended is not None:
            log_request_end(request, state, self._routes.version, f"stream_{ended.status}")
            return Ok(ended)
        await self._crashes.told(request.content)
        ending = state.ending(steady_seconds())
        if progress.started and ending is Ending.NOT_RUN:
            ending = Ending.UNKNOWN
        log_request_end(request, state, self._routes.version, ending.value)
        return Error(state.unanswered(ending))

    def _choose(
        self, request: InboundRequest, service: str, state: ForwardedRequest
    ) -> Worker | None:
        if state.withheld is not None:
            return None
        now = steady_seconds()
        found = self._eligibility.candidates(service, request.scope(state.route), now)
        self._eligibility.want(found, now)
        state.denied = found.denied
        return choose_worker(found.workers, now, self._eligibility.proximity, state.tried)

    async def _attempt(
        self,
        request: InboundRequest,
        state: ForwardedRequest,
        worker: Worker,
        progress: _Progress,
        consume: StreamConsumer,
    ) -> StreamEnd | None:
        state.started(worker.announcement.worker, evidence_of(worker, steady_seconds()))
        worker.note_sent()

        async def deliver(part: StreamPart) -> None:
            await self._pass_on(part, worker, progress, consume, request.tenant)

        now = steady_seconds()
        known_level = self._crashes.known_level(request.content)
        scope = request.scope(state.route)
        permit = self._eligibility.permit(worker, scope, now, state.late)
        if permit.is_error():
            note_withheld_attempt(request, state, worker, permit.error)
            return None
        outbound = OutboundRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline_seconds=state.worker_seconds(now),
            repeatable=state.route.repeatable,
            resume_after=progress.last_event or None,
            tenant=request.tenant,
            priority=request.priority,
        )
        attempt = _Attempt(worker, state)
        self._under_way[attempt] = None
        result: Result[StreamEnd, AttemptFailure] = Error(_MOVED)
        try:
            with attempt.moved:
                result = await self._client.stream(permit.ok, outbound, deliver)
        except OutOfOrderError as error:
            result = Error(AttemptFailure(AttemptFault.MAY_HAVE_RUN, str(error)))
        finally:
            del self._under_way[attempt]
            worker.note_ended()
        if result.is_ok():
            state.under_way -= 1
            self._crashes.answered(request.content)
            return result.ok
        sent = SentRequest(
            request.request_id, request.content, worker, state.route.name, known_level, now
        )
        await self._crashes.lost(sent, result.error)
        note_failed_attempt(request, state, worker, result.error)
        return None

    def _zone_evacuated(self, zone: str, now: float) -> None:
        """Have streams go on elsewhere whose worker's zone is being evacuated, where they may."""
        for attempt in list(self._under_way):
            if attempt.worker.announcement.zone == zone and attempt.state.may_move(now):
                attempt.moved.cancel()

    async def _pass_on(
        self,
        part: StreamPart,
        worker: Worker,
        progress: _Progress,
        consume: StreamConsumer,
        tenant: str | None,
    ) -> None:
        if isinstance(part, StreamHead):
            worker.note_load(part.load, steady_seconds())
            if part.status == SUCCESS and not progress.started:
                progress.started = True
                self._on_begun(tenant, steady_seconds())
                await consume(part)
            return
        if part.number != progress.last_event + 1:
            raise OutOfOrderError(f"event {part.number} after {progress.last_event}")
        progress.last_event = part.number
        await consume(part)
