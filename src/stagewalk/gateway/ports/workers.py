"""Port of the workers: back ends of services, including model engines.

Defines the types of requests, answers and failures, and the timeouts of a connection.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result

from stagewalk.gateway.ports.send_permits import SendPermit, WorkerTarget

HeaderList = tuple[tuple[str, str], ...]

POOL_TIMEOUT_SECONDS = 0.3
CONNECT_TIMEOUT_SECONDS = 0.6
"""How long an attempt waits for a place in the worker's connection pool, and then for its
connection to be established."""

MAXIMUM_SEND_DELAY_SECONDS = POOL_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS
"""Longest time from the start of an attempt until its request is sent or the attempt has failed. An
attempt whose request must not reach a worker after some time has to start this long before it."""


class AttemptFault(StrEnum):
    """How an attempt failed, by what is known about execution of the request."""

    WITHHELD = "withheld"
    """This process did not send it: its permit was no longer valid."""
    NOT_SENT = "not_sent"
    """No byte of the request reached the worker."""
    NOT_RUN = "not_run"
    """The worker replied that it did not run the request."""
    WRONG_WORKER = "wrong_worker"
    """Another worker has the address; it did not run the request."""
    MAY_HAVE_RUN = "may_have_run"
    """The connection broke, the answer was damaged or none came in time."""

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not run at this worker."""
        return self is not AttemptFault.MAY_HAVE_RUN


class ContactLoss(StrEnum):
    """How contact with a worker was lost after a request had been sent."""

    CLOSED = "closed"
    """The connection closed before the whole answer arrived, as when the worker's process ends."""
    TIMED_OUT = "silent"
    """No whole answer in time: the worker's machine is down, or the worker is slow."""


class SendPurpose(StrEnum):
    """The purpose of a request to a worker."""

    FORWARDED = "forwarded"
    ITEM = "item"
    SCORE = "score"
    REPORT = "report"
    ORDER = "order"
    PROBE = "probe"


class ConnectionReason(StrEnum):
    """Why a new connection to a worker was opened."""

    FIRST = "first"
    """No connection had been opened to it."""
    ALL_BUSY = "surge"
    """All connections were in use."""
    IDLE_CLOSED = "idle_closed"
    """An idle connection was closed, by either side."""
    WORKER_CLOSES = "worker_closes"
    """The worker announced that it closes the last connection."""
    REFUSED = "refused"
    """The last connection returned a refusal that was not read to its end."""
    CUT = "cut"
    """This node cancelled the request on the last connection."""
    LOST = "lost"
    """The last connection broke."""
    NOT_REUSABLE = "not_kept"
    """The request must not use a pooled connection."""


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load that a worker reported with an answer.

    Attributes
    ----------
    running, waiting, slots
        Numbers of running and waiting requests, and how many the worker runs at once.
    pace
        Current duration of work relative to normal: 1.0 is normal, 2.0 takes twice as long. It
        changes many times a second. None: not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """An opaque request to be sent to a worker.

    Attributes
    ----------
    target
        Path and query, exactly as the caller sent them.
    deadline_seconds
        Time limit for the worker; None: no limit.
    repeatable
        Whether a pooled connection may be used, which can break while the request is sent.
    resume_after
        The last event already received, for a stream that is resumed.
    expected_version
        Weight version the worker must hold to run it.
    tenant
        Tenant of the request, `ANONYMOUS` if it has none. It replaces a tenant named by the caller,
        and the caller's key is removed. None: no tenants are in force, and the caller's headers
        are sent unchanged.
    priority
        0 is the most urgent; None: the worker's default.
    purpose
        Used for metrics only.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    deadline_seconds: float | None
    repeatable: bool = True
    resume_after: int | None = None
    expected_version: int | None = None
    tenant: str | None = None
    priority: int | None = None
    purpose: SendPurpose = SendPurpose.FORWARDED


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """A worker's whole answer, verified to belong to the request.

    Attributes
    ----------
    signature
        The worker's signature of the answer, empty if it has none.
    leaving
        Whether the worker closes the connection.
    """

    status: int
    headers: HeaderList
    body: bytes
    signature: str
    load: WorkerLoad | None
    leaving: bool

    @property
    def is_signed(self) -> bool:
        """Whether the answer has a signature."""
        return bool(self.signature)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a usable answer.

    Attributes
    ----------
    contact_loss
        How contact was lost; None if the worker answered, read too slowly, or was never reached.
    local_limit
        Whether a limit of this node ended it, which says nothing about the worker.
    """

    fault: AttemptFault
    detail: str
    load: WorkerLoad | None = None
    contact_loss: ContactLoss | None = None
    local_limit: bool = False


@dataclass(frozen=True, slots=True)
class StreamHead:
    """The head of a stream of events."""

    status: int
    headers: HeaderList
    versions: tuple[int, ...]
    load: WorkerLoad | None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event; `version` is the weight version if it changed with this event."""

    number: int
    data: str
    version: int | None
    raw: bytes


StreamPart = StreamHead | StreamEvent
StreamSink = Callable[[StreamPart], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The end of a complete stream; with a status other than 200 it has a body and no events."""

    status: int
    headers: HeaderList = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of an engine, some hundred milliseconds old.

    Attributes
    ----------
    ordering
        Whether an order is being executed.
    orders_taken
        Number of orders accepted since the engine's start.
    running, waiting
        Numbers of requests.
    """

    versions: dict[str, int]
    ordering: bool
    orders_taken: int
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """A fenced order to load a version of a model, valid only if `orders_taken` still matches."""

    model: str
    version: int
    holder: str
    fence: int
    orders_taken: int


class OrderOutcome(StrEnum):
    """Outcome of an order."""

    TAKEN = "taken"
    HELD_ALREADY = "held_already"
    CONFLICT = "conflict"
    """Another order is being executed, or `orders_taken` differs."""
    FENCED = "fenced"
    """A lease holder with a higher fence has sent an order."""
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: the order may be executed, now or seconds later."""


class WorkerClient(Protocol):
    """Calls of workers.

    A permit is confirmed once there is a connection, just before the first byte is sent. If denied,
    the request fails with `AttemptFault.WITHHELD`.
    """

    async def send(
        self, permit: SendPermit, request: OutboundRequest
    ) -> Result[WorkerAnswer, AttemptFailure]:
        """Send a request and read the whole answer."""

    async def stream(
        self, permit: SendPermit, request: OutboundRequest, deliver: StreamSink
    ) -> Result[StreamEnd, AttemptFailure]:
        """Send a request and deliver the answer's head and complete events as they arrive."""

    async def is_listening(self, target: WorkerTarget) -> bool | None:
        """Return whether any process listens at a worker's address; None if that is unknown."""

    async def report(self, target: WorkerTarget) -> Result[WorkerReport, AttemptFailure]:
        """Return the state of an engine."""

    async def request_version_change(
        self, target: WorkerTarget, order: VersionOrder
    ) -> OrderOutcome:
        """Order an engine to change a model's version."""
