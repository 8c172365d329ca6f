"""Forwards streams of events as they arrive; resumes them at another worker where allowed.

Checks the order of events, and moves streams out of zones that are being evacuated. Decisions are
made in `forwarding.policy`; the parts of an attempt common with buffered requests are in
`forwarding.attempts`.
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
    Forwarding,
    RunStartListener,
    ignore_run_start,
    log_failure,
    log_request_end,
    record_denied,
)
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.open_requests import OpenRequests
from stagewalk.gateway.forwarding.policy import HTTP_OK, Ending, ForwardedRequest, Unanswered
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

_Stream = Callable[[], Awaitable[Result[StreamEnd, AttemptFailure]]]


class OutOfOrderError(Exception):
    """A worker sent an event whose number does not follow the last one."""


@dataclass(slots=True)
class _StreamedRequest(Forwarding):
    """A request whose events are passed on as they arrive.

    Attributes
    ----------
    started
        Whether the stream's head was passed on to the caller.
    last_event
        Number of the last event passed on, or of the one that the caller resumes after.
    """

    consume: StreamConsumer
    last_event: int
    started: bool = False


@dataclass(slots=True, eq=False)
class _OpenStream:
    """A stream in flight; cancelling `move_scope` makes it resume at another worker."""

    worker: Worker
    state: ForwardedRequest
    move_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


_STREAM_MOVED = AttemptFailure(
    AttemptFault.MAY_HAVE_RUN, "stream moved: zone of the worker is being evacuated"
)


def ignore_cut_off() -> None:
    """Ignore that a caller was cut off."""


class StreamForwarder:
    """Forwards streams. The caller gets the head of the first worker that answered with 200.

    Parameters
    ----------
    open_requests
        Ends requests at their deadline or at the end of a stop.
    readers
        Bounds the data buffered for slow callers; None: no buffering, a worker's stream is read
        only as fast as its caller reads.
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
        on_begun: RunStartListener = ignore_run_start,
        readers: ResponseReaders | None = None,
    ) -> None:
        self._client = client
        self._eligibility = eligibility
        self._crashes = crashes
        self._routes = routes
        self._open_requests = open_requests
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
        """Forward a stream; return the end sent by the worker, or how it ended without one.

        Once the stream has started, only the end of its events is returned. After an error, an
        answer that has started must not look complete to the caller.

        Parameters
        ----------
        on_cut_off
            Called after the end of a stream whose caller was cut off for reading too slowly.
        """
        state = ForwardedRequest(route, deadline_at, steady_seconds())
        service = self._routes.choose_back_end(route).service
        buffer = self._open_buffer(request, route, consume)
        streamed = _StreamedRequest(
            request, state, service, consume if buffer is None else buffer.put, resume_after
        )
        attempts = partial(self._attempt_until_ended, streamed)
        ended: StreamEnd | None = None
        try:
            with self._open_requests.until(deadline_at):
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
            self._attempts.set_retry_delay(streamed)
        log_request_end(streamed, self._routes.version, ending.value)
        if buffer is not None and buffer.was_cut_off:
            on_cut_off()
        return Error(state.unanswered(ending))

    def _open_buffer(
        self, request: InboundRequest, route: Route, consume: StreamConsumer
    ) -> RelayBuffer | None:
        """Return a buffer between a stream's worker and its caller, None without buffering."""
        if self._readers is None:
            return None
        return RelayBuffer(self._readers, consume, request.request_id, resumable=route.resumable)

    async def _attempt_until_ended(self, streamed: _StreamedRequest) -> StreamEnd | None:
        """Run attempts until a worker ends the stream; None if there is no further attempt.

        The caller may still have buffered events to read.
        """
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

    async def _attempt(self, streamed: _StreamedRequest, worker: Worker) -> StreamEnd | None:
        state = streamed.state
        self._attempts.start(state, worker)
        attempt = self._attempts.prepare(streamed, worker, streamed.last_event or None)
        permit = self._eligibility.permit(
            worker, attempt.scope, attempt.started_at, state.deadline_denial
        )
        if permit.is_error():
            record_denied(attempt, permit.error)
            return None
        deliver = partial(self._deliver, streamed, worker)
        stream = partial(self._client.stream, permit.ok, attempt.outbound, deliver)
        result = await self._run(attempt, stream)
        if result.is_ok():
            self._attempts.record_answered(attempt)
            if state.accepts_end(result.ok.status, steady_seconds(), begun=streamed.started):
                return result.ok
            # The worker is not avoided, as after an error status of a whole response.
            begun = "has" if streamed.started else "has not"
            detail = f"status {result.ok.status} to a stream that {begun} begun"
            log_failure(attempt, AttemptFailure(AttemptFault.MAY_HAVE_RUN, detail))
            return None
        await self._attempts.record_unanswered(attempt, result.error)
        return None

    async def _run(self, attempt: Attempt, stream: _Stream) -> Result[StreamEnd, AttemptFailure]:
        """Run a stream until it ends or is to be moved to another worker."""
        opened = _OpenStream(attempt.worker, attempt.state)
        self._open[opened] = None
        result: Result[StreamEnd, AttemptFailure] = Error(_STREAM_MOVED)
        try:
            with opened.move_scope:
                result = await stream()
        except OutOfOrderError as error:
            result = Error(AttemptFailure(AttemptFault.MAY_HAVE_RUN, str(error)))
        finally:
            del self._open[opened]
            attempt.worker.record_ended()
        return result

    def _zone_evacuated(self, zone: str, now: float) -> None:
        """Cancel the streams at a zone's workers that may resume at other workers."""
        for stream in list(self._open):
            if stream.worker.announcement.zone == zone and stream.state.may_move(now):
                stream.move_scope.cancel()

    async def _deliver(self, streamed: _StreamedRequest, worker: Worker, part: StreamPart) -> None:
        """Pass a part of a stream on to the caller: the first head, and events in order."""
        if isinstance(part, StreamHead):
            worker.record_load(part.load, steady_seconds())
            if part.status == HTTP_OK and not streamed.started:
                streamed.started = True
                self._on_begun(streamed.request.tenant, steady_seconds())
                await streamed.consume(part)
            return
        if part.number != streamed.last_event + 1:
            raise OutOfOrderError(f"received event {part.number} after event {streamed.last_event}")
        streamed.last_event = part.number
        await streamed.consume(part)
