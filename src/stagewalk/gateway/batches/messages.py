"""Events and instructions of the scheduler.

Owns the types that the pure scheduler and the shell (`runners.scheduler_loop`) exchange. Relies on
the ports of workers for heads, events and failures.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress
from stagewalk.gateway.ports.workers import AttemptFailure, StreamEvent, StreamHead
from stagewalk.gateway.scoring.messages import ScoreEvent, ScoreInstruction


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """A worker began to answer an attempt."""

    attempt: int
    head: StreamHead


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An attempt brought one more event."""

    attempt: int
    event: StreamEvent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's answer is whole."""

    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class ItemAttemptFailed:
    """An attempt ended without a whole answer."""

    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, or something else has changed that may let items start."""


SchedulerEvent = AttemptHead | AttemptEvent | AttemptEnded | ItemAttemptFailed | ScoreEvent | Tick


@dataclass(frozen=True, slots=True)
class StartItem:
    """Send an item to a worker; with `resume_after`, from the event after that one.

    `tenant` is whose batch it belongs to, see `BatchHeader`; `priority` as in `OutboundRequest`.
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
    """An item waits because no engine has memory for it; said once for each item.

    Attributes
    ----------
    engines
        How many engines had a free place.
    lacking_tokens
        What the best of them lacked.
    """

    item: str
    engines: int
    lacking_tokens: int


@dataclass(frozen=True, slots=True)
class StopItem:
    """Close an attempt's connection: the worker stops working on it."""

    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordItem:
    """Append a result or progress to the batch's partition."""

    record: ItemFinished | ItemProgress


SchedulerInstruction = StartItem | ItemAwaitingMemory | StopItem | RecordItem | ScoreInstruction
