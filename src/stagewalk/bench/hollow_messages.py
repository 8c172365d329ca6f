"""Messages between the coordinator of a hollow cluster and its worker processes."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import RecordId
from stagewalk.node.core.platform import LogRecord, Machine
from stagewalk.node.node_identity import NodeIdentity


@dataclass(frozen=True, slots=True)
class StartNodes:
    """Start these nodes. `machines` is what the hollow machine list shows."""

    identities: tuple[NodeIdentity, ...]
    machines: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class RecordAppended:
    """The log has a new record."""

    stream: str
    record: LogRecord


@dataclass(frozen=True, slots=True)
class CutLog:
    """From now on only every `reached_by`-th node reaches the log."""

    reached_by: int


@dataclass(frozen=True, slots=True)
class KillNode:
    """End a node without a word."""

    name: str


@dataclass(frozen=True, slots=True)
class AskSample:
    """Ask for a `WorkerSample`."""


@dataclass(frozen=True, slots=True)
class StopWorker:
    """End the process."""


Command = StartNodes | RecordAppended | CutLog | KillNode | AskSample | StopWorker


@dataclass(frozen=True, slots=True)
class AppendRequested:
    """A hollow node appends a record."""

    stream: str
    record_id: RecordId
    payload: bytes


@dataclass(frozen=True, slots=True)
class Traffic:
    """Counts since the start, in sum over a worker's nodes."""

    peer_messages_out: float = 0.0
    peer_messages_in: float = 0.0
    peer_bytes_out: float = 0.0
    peer_bytes_in: float = 0.0
    engine_polls: int = 0
    machine_list_reads: int = 0
    log_reads: int = 0
    appends: int = 0


@dataclass(frozen=True, slots=True)
class WorkerSample:
    """What a worker has spent and seen so far.

    Attributes
    ----------
    cpu_seconds
        Processor time of the process.
    resident_bytes
        Resident memory of the process.
    empty_resident_bytes
        The same before its nodes were started.
    complete
        Nodes that see all members alive and have the configuration in force.
    deaths
        When each node told of a member's death, on the machine's monotonic clock.
    in_force
        When each node put an offset in force.
    """

    cpu_seconds: float
    resident_bytes: int
    empty_resident_bytes: int
    complete: int
    traffic: Traffic
    deaths: tuple[Seen, ...]
    in_force: tuple[Seen, ...]


@dataclass(frozen=True, slots=True)
class Seen:
    """A node saw something at a time: `subject` is a member's name or an offset."""

    observer: str
    subject: str
    at: float
