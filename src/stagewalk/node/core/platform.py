"""Data of the platform's services and the engines: machines, reports, orders, records, versions.

Plain data, decoded by the adapters; engine reports and orders have this form on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.common.identities import (
    Address,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    Placement,
    RecordId,
    WeightVersion,
)


class MachineKind(StrEnum):
    """What runs on a machine."""

    NODE = "node"
    ENGINE = "engine"


class MachineState(StrEnum):
    """State of a machine in the platform's list, which lags behind reality."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Machine:
    """One row of the platform's machine list.

    `address` is where a node's peers or an engine's clients reach it.
    """

    name: str
    kind: MachineKind
    address: Address
    placement: Placement
    state: MachineState
    service: str


class EngineState(StrEnum):
    """State that an engine reports for itself."""

    SERVING = "serving"
    DRAINING = "draining"
    """Ordered to take no new work; finishes the work in progress."""
    LEAVING = "leaving"
    """About to shut down; takes no new work."""
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own report of its load and state; it lags behind the engine's true state.

    Attributes
    ----------
    active_version
        Version of the weights it runs, which may differ from the one it was ordered to run.
    staged_versions
        Versions fetched and ready for activation.
    epoch
        Largest fencing token it has accepted.
    running, waiting
        Sequences in its batch and in its queue.
    pending_tokens
        Estimated tokens still to generate for both.
    tokens_per_second
        Recent generation rate of the whole batch.
    batch_limit
        Most sequences it decodes at once.
    kv_used_tokens, kv_capacity_tokens
        Tokens in its KV cache, and its capacity.
    generated_at
        Engine's clock, seconds; used only to order reports of one incarnation.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    state: EngineState
    active_version: WeightVersion
    staged_versions: tuple[WeightVersion, ...]
    epoch: Epoch
    running: int
    waiting: int
    pending_tokens: int
    tokens_per_second: float
    batch_limit: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    generated_at: float


class OrderKind(StrEnum):
    """Kinds of fenced orders; an engine obeys one only if its epoch is not older than the last."""

    STAGE = "stage"
    """Fetch a version's weights beside the active ones."""
    ACTIVATE = "activate"
    """Swap to a staged version."""
    DRAIN = "drain"
    """Take no new work."""
    SERVE = "serve"
    """Take new work again."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A fenced order to an engine."""

    order_id: str
    epoch: Epoch
    kind: OrderKind
    model: ModelName
    version: WeightVersion


class EngineOrderOutcome(StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale_epoch"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer came; the engine may have obeyed the order."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of the append-only log."""

    offset: int
    record_id: RecordId
    payload: bytes


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A version in the weight store; `published_at` is the store's clock in seconds."""

    model: ModelName
    version: WeightVersion
    size_bytes: int
    published_at: float
