"""Forwards streams of events as they arrive; where allowed, goes on at another worker.

Owns what a stream's caller has got, the order of its events, and streams that move away from a zone
that is being evacuated. Relies on `forwarding.relay_buffer` to read workers whatever the callers'
pace, on `forwarding.policy` for every decision, on `forwarding.attempts`
for what each attempt does, and on the `WorkerClient` to send.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import anyio
from expression import Error, Ok, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.forwarding.admission_gate import AdmissionGate
from stagewalk.gateway.forwarding.attempts import (
    Attempt,
    Attempts,
    BegunListener,
    Forwarding,
    ignore_begun,
    log_request_end,
    record_denied,
)
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import Ending, ForwardedRequest, Unanswered
from stagewalk.gateway.forwarding.relay_buffer import RelayBuffer, StreamConsumer
from stagewalk.gateway.held_memory.readers import ResponseReaders
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    StreamEnd,
    StreamHead,
    StreamPart,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import CrashReports
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.worker import Worker

HTTP_OK = 200
_Stream = Callable[[], Awaitable[Result[StreamEnd, AttemptFailure]]]


class OutOfOrderError(Exception):
    """A worker sent an event that does not follow the last one."""


@dataclass(slots=True)
class _Streamed(Forwarding):
    """A request whose caller gets events as they arrive.

    Attributes
    ----------
    started
        Whether the caller has got the stream's head.
    last_event
        Number of the last event passed on, or of the one that the caller resumes after.
    """

    consume: StreamConsumer
    last_event: int
    started: bool = False


@dataclass(slots=True, eq=False)
class _OpenStream:
    """A stream under way at a worker; `moved` is cancelled to have it go on at another one."""

    worker: Worker
    state: ForwardedRequest
    moved: anyio.CancelScope = field(default_factory=anyio.CancelScope)


_MOVED = AttemptFailure(AttemptFault.MAY_HAVE_RUN, "moved: the worker's zone is evacuated")


def ignore_cut_off() -> None:
    """Do nothing."""


class StreamForwarder:
    """Forwards streams. The head the caller sees is that of the first worker that answered.

    Parameters
    ----------
    readers
        Counts what is held for slow callers; None: a worker is read at its caller's pace.
    """

    def __init__(
        self,
        client: WorkerClient,
        eligibility: Eligibility,
        routes: RouteTable,
        crashes: CrashReports,
        gate: AdmissionGate,
        *,
        on_begun: BegunListener = ignore_begun,
        readers: ResponseReaders | None = None,
    ) -> None:
        self._client = client
        self._eligibility = eligibility
        self._crashes = crashes
        self._routes = routes
        self._on_begun = on_begun
        self._readers = readers
        self._attempts = Attempts(eligibility, crashes, gate, prefer_warm=False)
        self._open: dict[_OpenStream, None] = {}
        eligibility.evacuations.listen(self._zone_evacuated, lambda _zone, _now: None)

    async def forward(
        self,
        request: InboundRequest,
        route: Route,
        deadline_at: float,
        resume_after: int,
        consume: StreamConsumer,
        *,
        on_cut_off: Callable[[], None] = ignore_cut_off,
    ) -> Result[StreamEnd, Unanswered]:
        """Pass a stream on; return how the worker ended it, or how it ended without.

        After an error the caller's answer, if it has begun, must not look complete.

        Parameters
        ----------
        on_cut_off
            Called if the caller read too slowly, once its stream has ended.
        """
        state = ForwardedRequest(route, deadline_at, steady_seconds())
        service = self._routes.choose_back_end(route).service
        buffer = self._open_buffer(request, route, consume)
        streamed = _Streamed(
            request, state, service, consume if buffer is None else buffer.put, resume_after
        )
        attempts = partial(self._attempt_until_ended, streamed)
        ended: StreamEnd | None = None
        try:
            with anyio.move_on_at(anyio.current_time() + max(0.0, deadline_at - steady_seconds())):
                ended = await (attempts() if buffer is None else buffer.relay(attempts))
        finally:
            if ended is None:
                self._crashes.publish(request.content)
        if ended is not None:
            log_request_end(streamed, self._routes.version, f"stream_{ended.status}")
            return Ok(ended)
        await self._crashes.wait_published(request.content)
        ending = state.ending(steady_seconds())
        if streamed.started and ending is Ending.NOT_RUN:
            ending = Ending.UNKNOWN
        if ending is Ending.NOT_RUN:
            self._attempts.record_refused(streamed)
        log_request_end(streamed, self._routes.version, ending.value)
        if buffer is not None and buffer.was_cut_off:
            on_cut_off()
        return Error(state.unanswered(ending))

    def _open_buffer(
        self, request: InboundRequest, route: Route, consume: StreamConsumer
    ) -> RelayBuffer | None:
        """Return the buffer between a stream's workers and its caller, None if it has none."""
        if self._readers is None:
            return None
        return RelayBuffer(self._readers, consume, request.request_id, resumable=route.resumable)

    async def _attempt_until_ended(self, streamed: _Streamed) -> StreamEnd | None:
        """Return how a worker ended the stream; its caller may still have to read the rest."""
        ended: StreamEnd | None = None
        try:
            while ended is None:
                worker = await self._attempts.next_worker(streamed)
                if worker is None:
                    return None
                ended = await self._attempt(streamed, worker)
        finally:
            self._attempts.release(streamed)
        return ended

    async def _attempt(self, streamed: _Streamed, worker: Worker) -> StreamEnd | None:
        state = streamed.state
        self._attempts.start(state, worker)
        attempt = self._attempts.prepare(streamed, worker, streamed.last_event or None)
        permit = self._eligibility.permit(worker, attempt.scope, attempt.started_at, state.late)
        if permit.is_error():
            record_denied(attempt, permit.error)
            return None
        deliver = partial(self._deliver, streamed, worker)
        stream = partial(self._client.stream, permit.ok, attempt.outbound, deliver)
        result = await self._run(attempt, stream)
        if result.is_ok():
            self._attempts.record_answered(attempt)
            return result.ok
        await self._attempts.record_unanswered(attempt, result.error)
        return None

    async def _run(self, attempt: Attempt, stream: _Stream) -> Result[StreamEnd, AttemptFailure]:
        """Run a stream until it ends, or is moved to another worker."""
        opened = _OpenStream(attempt.worker, attempt.state)
        self._open[opened] = None
        result: Result[StreamEnd, AttemptFailure] = Error(_MOVED)
        try:
            with opened.moved:
                result = await stream()
        except OutOfOrderError as error:
            result = Error(AttemptFailure(AttemptFault.MAY_HAVE_RUN, str(error)))
        finally:
            del self._open[opened]
            attempt.worker.record_ended()
        return result

    def _zone_evacuated(self, zone: str, now: float) -> None:
        """Move the streams of a zone's workers to other workers, where their routes allow it."""
        for stream in list(self._open):
            if stream.worker.announcement.zone == zone and stream.state.may_move(now):
                stream.moved.cancel()

    async def _deliver(self, streamed: _Streamed, worker: Worker, part: StreamPart) -> None:
        """Pass a part of a stream on to the caller: its first head, and each event once."""
        if isinstance(part, StreamHead):
            worker.record_load(part.load, steady_seconds())
            if part.status == HTTP_OK and not streamed.started:
                streamed.started = True
                self._on_begun(streamed.request.tenant, steady_seconds())
                await streamed.consume(part)
            return
        if part.number != streamed.last_event + 1:
            raise OutOfOrderError(f"event {part.number} after {streamed.last_event}")
        streamed.last_event = part.number
        await streamed.consume(part)
