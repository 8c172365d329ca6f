"""In-memory fakes of engines and other workers, for gateways in the same process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from expression import Error, Ok, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.send_permits import SendPermit, WorkerTarget
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    ContactLoss,
    OrderOutcome,
    OutboundRequest,
    StreamEnd,
    StreamEvent,
    StreamHead,
    StreamSink,
    VersionOrder,
    WorkerAnswer,
    WorkerLoad,
    WorkerReport,
)

HTTP_OK = 200
CRASH_SECONDS = 0.02
"""Time from the start of a request that crashes its worker to the crash."""

_CONNECTION_REFUSED = AttemptFailure(AttemptFault.NOT_SENT, "connection refused")
_NO_ANSWER = AttemptFailure(
    AttemptFault.MAY_HAVE_RUN, "no answer in time", contact_loss=ContactLoss.TIMED_OUT
)
_CONNECTION_CLOSED = AttemptFailure(
    AttemptFault.MAY_HAVE_RUN, "connection closed", contact_loss=ContactLoss.CLOSED
)


@dataclass(slots=True)
class MemoryWorker:
    """Configurable behaviour of one worker; tests may change it at any time.

    Attributes
    ----------
    events
        Number of events generated for each item.
    event_seconds
        Time per event.
    event_padding
        Bytes of padding in each event.
    faults
        Faults of the next requests, in order.
    statuses
        Statuses of the next answers, in order.
    refusals
        Number of next buffered requests that it refuses on arrival, as a full worker does.
    """

    events: int = 3
    event_seconds: float = 0.01
    event_padding: int = 0
    answer_seconds: float = 0.0
    faults: list[AttemptFault] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    refusals: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    orders: list[VersionOrder] = field(default_factory=list)
    running: int = 0
    slots: int = 4
    pace: float | None = None
    """Reported with each load; None: not reported."""
    ended: anyio.Event = field(default_factory=anyio.Event)
    """Set once its process has crashed and its connections are lost."""

    @property
    def load(self) -> WorkerLoad:
        """Return the load that it reports."""
        return WorkerLoad(self.running, 0, self.slots, self.pace)


def _scripted_failure(worker: MemoryWorker) -> AttemptFailure:
    """Return a worker's next scripted failure; `MAY_HAVE_RUN` includes a closed connection."""
    fault = worker.faults.pop(0)
    loss = ContactLoss.CLOSED if fault is AttemptFault.MAY_HAVE_RUN else None
    return AttemptFailure(fault, "scripted", worker.load, loss)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of a request at a worker, at a time of the steady clock."""

    at: float
    worker: str


class MemoryWorkers:
    """Fake `WorkerClient` for all workers, by name."""

    def __init__(self) -> None:
        self.workers: dict[str, MemoryWorker] = {}
        self.arrivals: Counter[str] = Counter()
        """Number of times each request reached a worker."""
        self.tenants: dict[str, str | None] = {}
        """Tenant last sent with each request."""
        self.cancelled = 0
        self.connect_seconds = 0.0
        """Time to open a connection."""
        self.log: list[Arrival] = []
        """Requests that reached a worker, in order."""
        self.crashing: set[bytes] = set()
        """Bodies of requests that crash any worker that runs them."""
        self.crashes: list[str] = []
        """Workers that crashed, in order."""
        self.silent_crashes = False
        """Whether connections of a crashed worker time out instead of being closed."""
        self.raising: set[str] = set()
        """Requests whose attempts raise an exception, as a fault of the adapter would."""
        self.stream_script: list[AttemptFault | int | None] = []
        """Outcomes of the next attempts of streams, in order, whichever worker gets them: a fault
        after the first event, an answer with a status, or None for the worker's own behaviour."""
        self.on_crash: Callable[[str], None] = lambda _worker: None

    async def _connect(self, permit: SendPermit) -> AttemptFailure | None:
        """Open a connection, confirm the permit, and record the arrival."""
        await anyio.sleep(self.connect_seconds)
        denial = permit.confirm(steady_seconds())
        if denial is not None:
            return AttemptFailure(AttemptFault.WITHHELD, denial.value)
        self.log.append(Arrival(steady_seconds(), permit.target.worker))
        return None

    def reached_since(self, at: float) -> set[str]:
        """Return the workers that requests reached since a time of the steady clock."""
        return {arrival.worker for arrival in self.log if arrival.at >= at}

    async def send(
        self, permit: SendPermit, request: OutboundRequest
    ) -> Result[WorkerAnswer, AttemptFailure]:
        """Answer with the worker's name and the body."""
        self._raise_if_scripted(request)
        target = permit.target
        worker = self.workers[target.worker]
        if worker.ended.is_set():
            return Error(_CONNECTION_REFUSED)
        if worker.faults and worker.faults[0] is AttemptFault.NOT_SENT:
            return Error(AttemptFailure(worker.faults.pop(0), "scripted"))
        withheld = await self._connect(permit)
        if withheld is not None:
            return Error(withheld)
        if worker.refusals > 0:
            worker.refusals -= 1
            full = WorkerLoad(worker.slots, worker.slots, worker.slots, worker.pace)
            return Error(AttemptFailure(AttemptFault.NOT_RUN, "full", full))
        self.arrivals[request.request_id] += 1
        self.tenants[request.request_id] = request.tenant
        worker.running += 1
        try:
            await self._work(target.worker, request, worker.answer_seconds)
            if worker.ended.is_set() and self.silent_crashes:
                await anyio.sleep((request.deadline_seconds or 0.0) - CRASH_SECONDS)
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            worker.running -= 1
        if worker.ended.is_set():
            return Error(_NO_ANSWER if self.silent_crashes else _CONNECTION_CLOSED)
        if worker.faults:
            return Error(_scripted_failure(worker))
        headers = (("x-worker", target.worker),)
        body = request.target.encode() + b" " + request.body
        status = worker.statuses.pop(0) if worker.statuses else HTTP_OK
        signature = f"{target.worker}/{request.request_id}"
        return Ok(WorkerAnswer(status, headers, body, signature, worker.load, False))

    async def stream(
        self, permit: SendPermit, request: OutboundRequest, deliver: StreamSink
    ) -> Result[StreamEnd, AttemptFailure]:
        """Generate an item's events; a scripted fault occurs after the first one."""
        self._raise_if_scripted(request)
        worker = self.workers[permit.target.worker]
        if worker.ended.is_set():
            return Error(_CONNECTION_REFUSED)
        withheld = await self._connect(permit)
        if withheld is not None:
            return Error(withheld)
        self.arrivals[request.request_id] += 1
        self.tenants[request.request_id] = request.tenant
        await self._work(permit.target.worker, request, 0.0)
        if worker.ended.is_set():
            return Error(_CONNECTION_CLOSED)
        scripted = self.stream_script.pop(0) if self.stream_script else None
        if isinstance(scripted, int):
            await deliver(StreamHead(scripted, (), (), worker.load))
            return Ok(StreamEnd(scripted, (), b"scripted"))
        fault = scripted or (worker.faults.pop(0) if worker.faults else None)
        if fault is not None and fault.proves_not_run:
            return Error(AttemptFailure(fault, "scripted", worker.load))
        version = max(worker.versions.values(), default=1)
        await deliver(StreamHead(HTTP_OK, (), (version,), worker.load))
        for number in range((request.resume_after or 0) + 1, worker.events + 1):
            await self._work(permit.target.worker, request, worker.event_seconds)
            if worker.ended.is_set():
                return Error(_CONNECTION_CLOSED)
            data = f"{request.request_id}-{number}" + "." * worker.event_padding
            await deliver(StreamEvent(number, data, None, data.encode()))
            if fault is not None:
                return Error(AttemptFailure(fault, "scripted", worker.load))
        return Ok(StreamEnd(HTTP_OK))

    def _raise_if_scripted(self, request: OutboundRequest) -> None:
        if request.request_id in self.raising:
            raise UnicodeEncodeError("ascii", request.request_id, 0, 1, "scripted")

    async def _work(self, name: str, request: OutboundRequest, seconds: float) -> None:
        """Work for a time, or until the worker crashes, which the request may cause."""
        worker = self.workers[name]
        if request.body in self.crashing:
            await anyio.sleep(CRASH_SECONDS)
            self.crash(name)
        with anyio.move_on_after(seconds):
            await worker.ended.wait()

    def crash(self, name: str) -> None:
        """Crash a worker: its requests are lost and new connections are refused."""
        if not self.workers[name].ended.is_set():
            self.workers[name].ended.set()
            self.crashes.append(name)
            self.on_crash(name)

    async def is_listening(self, target: WorkerTarget) -> bool | None:
        """Return whether the worker's process runs."""
        return not self.workers[target.worker].ended.is_set()

    async def report(self, target: WorkerTarget) -> Result[WorkerReport, AttemptFailure]:
        """Return a worker's report with its versions."""
        worker = self.workers[target.worker]
        return Ok(WorkerReport(dict(worker.versions), False, len(worker.orders), 0, 0))

    async def request_version_change(
        self, target: WorkerTarget, order: VersionOrder
    ) -> OrderOutcome:
        """Carry out an order at once, unless it is fenced or out of date."""
        worker = self.workers[target.worker]
        if worker.orders and order.fence < worker.orders[-1].fence:
            return OrderOutcome.FENCED
        if order.orders_taken != len(worker.orders):
            return OrderOutcome.CONFLICT
        worker.orders.append(order)
        worker.versions[order.model] = order.version
        return OrderOutcome.TAKEN
