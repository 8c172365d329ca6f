"""Events and instructions of the scheduler.

These are the types that the pure scheduler and its I/O loop (`runners.scheduler_loop`) exchange.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress
from stagewalk.gateway.ports.workers import AttemptFailure, StreamEvent, StreamHead
from stagewalk.gateway.scoring.messages import ScoreEvent, ScoreInstruction


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """A worker began to respond to an attempt."""

    attempt: int
    head: StreamHead


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An attempt received one more event."""

    attempt: int
    event: StreamEvent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's response is complete."""

    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class ItemAttemptFailed:
    """An attempt ended without a complete response."""

    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class AttemptRaised:
    """An attempt at an item or a score call ended with an exception of this process.

    It would end in the same way at any worker and on any node, so it is not retried.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, or another change may allow items to start."""


SchedulerEvent = (
    AttemptHead
    | AttemptEvent
    | AttemptEnded
    | ItemAttemptFailed
    | AttemptRaised
    | ScoreEvent
    | Tick
)


@dataclass(frozen=True, slots=True)
class StartItem:
    """Send an item to a worker; with `resume_after`, resume after that event.

    `tenant` is the batch's tenant, see `BatchHeader`; `priority` as in `OutboundRequest`.
    """

    attempt: int
    batch: str
    host: str
    item: BatchItem
    worker: str
    resume_after: int | None
    tenant: str | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ItemAwaitingMemory:
    """An item waits because no engine has memory for it; issued once for each wait.

    Attributes
    ----------
    engines
        How many engines were checked for memory.
    lacking_tokens
        Smallest number of tokens that one of them lacked.
    """

    item: str
    engines: int
    lacking_tokens: int


@dataclass(frozen=True, slots=True)
class BatchWaits:
    """Items of a batch have been waiting and none of them has been at a worker for a while.

    Attributes
    ----------
    items
        How many wait.
    candidates
        Engines that may run the first of them; whether they have room is not considered.
    may_start
        Whether a recent enough view of the log shows the batch as open.
    seconds
        How long it has lasted.
    """

    batch: str
    items: int
    candidates: int
    minimum_version: int
    may_start: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class StopItem:
    """Close an attempt's connection: the worker stops working on it."""

    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordItem:
    """Append a result or progress to the batch's partition."""

    record: ItemFinished | ItemProgress


SchedulerInstruction = (
    StartItem | ItemAwaitingMemory | BatchWaits | StopItem | RecordItem | ScoreInstruction
)
