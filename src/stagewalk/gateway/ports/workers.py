"""Port of the workers: back ends of services, model engines among them.

Owns the types of requests, answers and failures, and the time bounds of a connection.
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
"""How long an attempt at a worker waits for a place among the connections to it, and then for its
connection to be established."""

MAXIMUM_SEND_DELAY_SECONDS = POOL_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS
"""Longest time from the start of an attempt until its request is on its way, or it has failed. What
must not reach a worker after some moment is decided this long before it."""


class AttemptFault(StrEnum):
    """How an attempt at a worker failed, by what it proves about execution."""

    WITHHELD = "withheld"
    """This process did not send it: what allowed it was no longer true."""
    NOT_SENT = "not_sent"
    """No byte of the request reached the worker."""
    NOT_RUN = "not_run"
    """The worker said that it did not run the request."""
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
    """The connection ended before a whole answer: at once where the worker's process ended."""
    TIMED_OUT = "silent"
    """Nothing whole came in time: a worker whose machine is gone, or one that is slow."""


class SendPurpose(StrEnum):
    """What a worker is called for."""

    FORWARDED = "forwarded"
    ITEM = "item"
    SCORE = "score"
    REPORT = "report"
    ORDER = "order"
    PROBE = "probe"


class ConnectionReason(StrEnum):
    """Why a new connection to a worker was opened."""

    FIRST = "first"
    """None had been opened to it."""
    ALL_BUSY = "surge"
    """All were in use."""
    IDLE_CLOSED = "idle_closed"
    """An idle one was closed, by either side."""
    WORKER_CLOSES = "worker_closes"
    """The worker said that it closes the last one."""
    REFUSED = "refused"
    """The last one brought a refusal, which was not read to its end."""
    CUT = "cut"
    """This node had ended the request on the last one."""
    LOST = "lost"
    """The last one broke."""
    NOT_REUSABLE = "not_kept"
    """The request may not go over a kept one."""


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load that a worker reported with an answer.

    Attributes
    ----------
    running, waiting, slots
        Requests, and how many it runs at once.
    pace
        How long work takes there at the moment, in parts of the usual: 1.0 is usual, 2.0 twice as
        long. It varies many times a second. None: the worker doesn't say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """An opaque request as it goes to a worker.

    Attributes
    ----------
    target
        Path and query, exactly as the caller sent them.
    deadline_seconds
        How long the worker may work on it; None without a limit.
    repeatable
        Whether a kept connection may be used, which can break just as the request is sent.
    resume_after
        The last event already received, for a stream that is resumed.
    expected_version
        Weight version the worker must hold to run it.
    tenant
        Whose request it is, `ANONYMOUS` if nobody's. It replaces the tenant that the caller named,
        and the worker does not see the caller's key. None: no tenants are in force, and the
        caller's headers stay as they are.
    priority
        0 is the most urgent; None: the worker's default.
    purpose
        For counts only.
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
    """A worker's whole answer, checked to belong to the request.

    Attributes
    ----------
    signature
        The worker's signature of what it answers, empty if the answer carries none.
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
        """Whether it carries the worker's signature."""
        return bool(self.signature)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a usable answer.

    Attributes
    ----------
    contact_loss
        How contact was lost, None if the worker answered, doesn't read, or was never reached.
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
    """One whole event: its number, its data, and the weight version if it changed here."""

    number: int
    data: str
    version: int | None
    raw: bytes


StreamPart = StreamHead | StreamEvent
StreamSink = Callable[[StreamPart], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """A stream ended whole; any status but 200 comes with a plain answer instead of events."""

    status: int
    headers: HeaderList = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of an engine, some hundred milliseconds old.

    Attributes
    ----------
    ordering
        Whether an order is under way.
    orders_taken
        Orders that it accepted since its start.
    running, waiting
        Requests.
    """

    versions: dict[str, int]
    ordering: bool
    orders_taken: int
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """A fenced order to bring a model to a version, if `orders_taken` is still true."""

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
    """Another order is under way, or the count of orders taken differs."""
    FENCED = "fenced"
    """A holder with a higher fence has ordered already."""
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: it may be carried out, now or seconds later."""


class WorkerClient(Protocol):
    """Calls of workers.

    A request's permit is confirmed once its connection is there, just before its first byte goes;
    denied then, it ends as `AttemptFault.WITHHELD`.
    """

    async def send(
        self, permit: SendPermit, request: OutboundRequest
    ) -> Result[WorkerAnswer, AttemptFailure]:
        """Send a request and read the whole answer."""

    async def stream(
        self, permit: SendPermit, request: OutboundRequest, deliver: StreamSink
    ) -> Result[StreamEnd, AttemptFailure]:
        """Send a request and deliver its head and whole events as they arrive."""

    async def is_listening(self, target: WorkerTarget) -> bool | None:
        """Return whether any process listens at a worker's address; None if that is unknown."""

    async def report(self, target: WorkerTarget) -> Result[WorkerReport, AttemptFailure]:
        """Return the state of an engine."""

    async def request_version_change(
        self, target: WorkerTarget, order: VersionOrder
    ) -> OrderOutcome:
        """Order an engine to change a model's version."""
