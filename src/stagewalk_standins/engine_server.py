"""HTTP server for a simulated model engine.

Exposes `simulation.engine_model` through the engine protocol and advances it in real time.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator

import anyio
import msgspec
from anyio.abc import TaskGroup

from stagewalk.common.identities import (
    AttemptId,
    Epoch,
    ModelName,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.node.core.completions import Priority
from stagewalk.node.core.platform import EngineOrder, EngineOrderOutcome, EngineState, OrderKind
from stagewalk.simulation.engine_messages import (
    ActivationEnded,
    AttemptDone,
    AttemptPreempted,
    ChunkProduced,
    Duplicate,
    EngineOutput,
    EngineRequest,
    Refused,
    StagingStarted,
)
from stagewalk.simulation.engine_model import SimulatedEngine
from stagewalk_standins.engine_history import EngineHistory
from stagewalk_standins.engine_stream import AttemptStream
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import clock
from stagewalk_standins.web import (
    EVENT_STREAM,
    Answer,
    Application,
    BadRequest,
    Request,
    StreamingResponse,
    json_response,
    problem_response,
)
from stagewalk_standins.weight_fetcher import WeightFetcher

DISCONNECT_GRACE_SECONDS = 10.0
SWEEP_SECONDS = 1.0
DRAIN_DELAY_SECONDS = 2.0
"""Default minimum time between `leaving` and exit, so that clients can read the state."""
STOP_POLL_SECONDS = 0.05


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = True
    seed: int | None = None
    priority: int = Priority.INTERACTIVE
    resume_offset: int = 0
    resume_text: str = ""
    tenant: str = ""
    request_id: str = ""


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a fenced order."""

    order_id: str
    epoch: int
    kind: OrderKind
    model: str
    version: int = 0


class AttemptBody(msgspec.Struct, frozen=True):
    """Body of calls that name an attempt."""

    attempt: str


class OrderAnswerBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to an order."""

    outcome: str
    epoch: int | None = None
    detail: str | None = None


ORDER_STATUS = {
    EngineOrderOutcome.ACCEPTED: 200,
    EngineOrderOutcome.STALE_EPOCH: 409,
    EngineOrderOutcome.REFUSED: 422,
}


class EngineServer:
    """Advances an engine model in real time and serves the token streams of its attempts."""

    def __init__(
        self,
        model: SimulatedEngine,
        history: EngineHistory,
        weights: WeightFetcher,
        leave_seconds: float = DRAIN_DELAY_SECONDS,
    ) -> None:
        self._leave_seconds = leave_seconds
        self._model = model
        self._history = history
        self._weights = weights
        self._streams: dict[AttemptId, AttemptStream] = {}
        self._changed = anyio.Event()
        self._group: TaskGroup | None = None

    def application(self) -> Application:
        """Return the routes of the engine."""
        application = Application()
        application.route("POST", "/v1/completions", self._complete)
        application.route("GET", "/v1/streams/{attempt}", self._resume_stream)
        application.route("GET", "/control/report", self._report)
        application.route("GET", "/control/cache_events", self._cache_events)
        application.route("POST", "/control/orders", self._order)
        application.route("POST", "/control/cancel", self._cancel)
        return application

    async def run(self) -> None:
        """Advance the model with the clock until cancelled."""
        self._history.serving()
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._sweep_streams)
            while True:
                changed = self._changed
                self._dispatch_outputs(self._model.advance(clock()))
                wakeup = self._model.next_wakeup()
                delay = None if wakeup is None else max(0.0, wakeup - clock())
                with anyio.move_on_after(delay):
                    await changed.wait()

    async def leave(self) -> None:
        """Refuse new work, report `leaving`, and return once running attempts are done and read."""
        began = clock()
        self._model.leave(began)
        self._history.leaving()
        while not self._is_drained() or clock() < began + self._leave_seconds:
            await anyio.sleep(STOP_POLL_SECONDS)

    def _is_drained(self) -> bool:
        unread = any(stream.readers for stream in self._streams.values())
        return self._model.idle and not unread

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _dispatch_outputs(self, outputs: list[EngineOutput]) -> None:
        for output in outputs:
            match output:
                case ChunkProduced(attempt, chunk):
                    self._streams[attempt].add(chunk)
                case AttemptDone():
                    self._history.work_ended(output)
                    self._streams[output.attempt].end(output)
                case StagingStarted(model, version):
                    assert self._group is not None
                    self._group.start_soon(self._fetch, model, version)
                case ActivationEnded(ordered, active):
                    log_event("activation_ended", ordered=ordered, active=active)
                case AttemptPreempted(attempt):
                    log_event("attempt_preempted", attempt=attempt)

    async def _fetch(self, model: ModelName, version: WeightVersion) -> None:
        succeeded = await self._weights.fetch(model, version)
        self._model.stage_ended(version, succeeded, clock())
        self._wake()

    async def _sweep_streams(self) -> None:
        """Cancel attempts without a reader for the grace period, and delete ended streams."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = clock()
            for attempt, stream in list(self._streams.items()):
                if stream.readers or now < stream.unread_since + DISCONNECT_GRACE_SECONDS:
                    continue
                if stream.done:
                    del self._streams[attempt]
                else:
                    log_event("stream_lost", attempt=attempt)
                    self._model.cancel(attempt, now)
                    self._wake()

    async def _complete(self, request: Request) -> Answer:
        body = request.decode(CompletionBody)
        attempt = request.headers.get("x-request-id", "")
        if not attempt or body.max_tokens < 1 or body.resume_offset < 0:
            raise BadRequest("X-Request-Id, max_tokens >= 1 and resume_offset >= 0 are required")
        submitted = EngineRequest(
            attempt=AttemptId(attempt),
            request_id=RequestId(body.request_id),
            tenant=TenantName(body.tenant),
            model=ModelName(body.model),
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            priority=body.priority,
            resume_offset=body.resume_offset,
        )
        now = clock()
        match self._model.submit(submitted, now):
            case Refused(detail, retry_after_seconds):
                log_event("attempt_refused", attempt=attempt, detail=detail)
                if self._model.state in (EngineState.LEAVING, EngineState.DRAINING):
                    self._history.work_refused(submitted)
                return problem_response(503, "overloaded", detail, "no", retry_after_seconds)
            case Duplicate():
                return problem_response(409, "duplicate", "the attempt is known", "unknown")
        self._history.work_received(submitted)
        stream = AttemptStream(submitted, now)
        self._streams[submitted.attempt] = stream
        self._wake()
        return StreamingResponse(self._read(stream, 0), EVENT_STREAM)

    async def _resume_stream(self, request: Request) -> Answer:
        stream = self._streams.get(AttemptId(request.path_values["attempt"]))
        if stream is None or stream.cut:
            return problem_response(404, "unknown_attempt", "no stream of it is left", "unknown")
        offset = int(request.number("offset", 0))
        return StreamingResponse(self._read(stream, offset), EVENT_STREAM)

    async def _read(self, stream: AttemptStream, offset: int) -> AsyncGenerator[bytes, None]:
        stream.readers += 1
        try:
            async for event in stream.events(offset):
                yield event
        finally:
            stream.readers -= 1
            stream.unread_since = clock()

    async def _report(self, request: Request) -> Answer:
        return json_response(self._model.report(clock()))

    async def _cache_events(self, request: Request) -> Answer:
        after = int(request.number("after", 0))
        events, following = self._model.cache_events(after, clock())
        return json_response({"events": events, "next": following})

    async def _order(self, request: Request) -> Answer:
        body = request.decode(OrderBody)
        order = EngineOrder(
            order_id=body.order_id,
            epoch=Epoch(body.epoch),
            kind=body.kind,
            model=ModelName(body.model),
            version=WeightVersion(body.version),
        )
        answer = self._model.order(order, clock())
        log_event(
            "order_answered",
            kind=str(order.kind),
            version=order.version,
            epoch=order.epoch,
            outcome=str(answer.outcome),
        )
        if answer.outcome is EngineOrderOutcome.ACCEPTED:
            self._history.obeyed(order, self._model.weights.active_version)
        self._wake()
        stale = answer.outcome is EngineOrderOutcome.STALE_EPOCH
        value = OrderAnswerBody(
            str(answer.outcome), answer.epoch if stale else None, answer.detail or None
        )
        return json_response(value, ORDER_STATUS[answer.outcome])

    async def _cancel(self, request: Request) -> Answer:
        known = self._model.cancel(AttemptId(request.decode(AttemptBody).attempt), clock())
        self._wake()
        return json_response({"known": known})
