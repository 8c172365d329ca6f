"""Port of the platform's spelling: names and encodings of its records, headers and calls.

Owns the product's types for what operators, trainers and callers send. The adapter implements
`Dialect`; nothing else knows the platform's names.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from stagewalk.common.errors import StagewalkError
from stagewalk.gateway.batches.prompt import Prompt
from stagewalk.gateway.batches.records import BatchHeader, BatchItem, ItemFinished
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, Partition
from stagewalk.gateway.routes.route import RouteConfiguration
from stagewalk.gateway.workers.worker import WorkerAnnouncement


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A trainer named a weight version of a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """An operator evacuates a zone, or ends its evacuation.

    Attributes
    ----------
    in_force
        Whether nothing may be sent to the zone's workers from now on.
    """

    zone: str
    in_force: bool


OperatorRecord = RouteConfiguration | NamedVersion | ZoneEvacuation


@dataclass(frozen=True, slots=True)
class CallerInterface:
    """How callers spell the gateway's own calls; the defaults are the product's own spelling.

    Attributes
    ----------
    request_id, deadline_milliseconds, wait_milliseconds, last_event
        Lower-case names of headers.
    ready_path, resolve_path
        Paths of the readiness check and the directory.
    batches_prefix, items_prefix
        What a batch's name follows in paths.
    position_parameter, item_parameter
        Names in queries: the position to read from, and the item.
    """

    request_id: str = "stagewalk-request-id"
    deadline_milliseconds: str = "stagewalk-deadline-milliseconds"
    wait_milliseconds: str = "stagewalk-wait-milliseconds"
    last_event: str = "last-event-id"
    ready_path: str = "/readyz"
    resolve_path: str = "/v1/resolve"
    batches_prefix: str = "/v1/batches/"
    items_prefix: str = "/v1/items/"
    position_parameter: str = "from_position"
    item_parameter: str = "item"


@dataclass(frozen=True, slots=True)
class Submission:
    """A batch as its trainer submitted it."""

    header: BatchHeader
    items: tuple[BatchItem, ...]


class Dialect(Protocol):
    """Translates between the platform's spelling and the product's types."""

    @property
    def callers(self) -> CallerInterface:
        """Return how callers spell calls."""

    @property
    def operators(self) -> Partition:
        """Return the partition on which operators and trainers publish."""

    @property
    def workers(self) -> Partition:
        """Return the partition on which workers announce themselves."""

    def decode_operator_record(self, record: KeyedRecord) -> OperatorRecord | None:
        """Decode what an operator or trainer published, None for anything else."""

    def decode_worker_announcement(self, record: KeyedRecord) -> WorkerAnnouncement | None:
        """Decode a worker's entry, None for anything else."""

    def submission(
        self, batch: str, host: str, path: str, body: bytes
    ) -> Result[Submission, StagewalkError]:
        """Decode a batch; the error names the field at fault."""

    def prompt(self, item: BatchItem) -> Prompt:
        """Return what an item's headers state of its prompt; nothing of it is stored apart."""

    def results(self, total: int, next_position: int, results: list[ItemFinished]) -> bytes:
        """Encode a page of results."""

    def addresses(self, addresses: list[str], seconds_to_live: float) -> bytes:
        """Encode the directory's answer."""
