"""Port of the platform's wire format: names and encodings of its records, headers and calls.

Owns the gateway's types for the data that operators, trainers and callers send. The adapter
implements `Dialect`; no other part depends on the platform's names.
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
    """An operator started or ended the evacuation of a zone.

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
    """Names of headers, paths and query parameters of the gateway's own calls.

    Attributes
    ----------
    request_id, deadline_milliseconds, wait_milliseconds, last_event
        Header names, in lower case.
    ready_path, resolve_path
        Paths of the readiness check and the directory.
    batches_prefix, items_prefix
        Path prefixes, each followed by the name of a batch.
    position_parameter, item_parameter
        Query parameters: the position to read from, and the item.
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
    """Translates between the platform's wire format and the gateway's types."""

    @property
    def callers(self) -> CallerInterface:
        """Return the names that callers use in calls."""

    @property
    def operators(self) -> Partition:
        """Return the partition of records published by operators and trainers."""

    @property
    def workers(self) -> Partition:
        """Return the partition of worker announcements."""

    def decode_operator_record(self, record: KeyedRecord) -> OperatorRecord | None:
        """Decode a record of an operator or trainer; return None for any other record."""

    def decode_worker_announcement(self, record: KeyedRecord) -> WorkerAnnouncement | None:
        """Decode a worker's announcement; return None for any other record."""

    def submission(
        self, batch: str, host: str, path: str, body: bytes
    ) -> Result[Submission, StagewalkError]:
        """Decode a submitted batch; an error names the invalid field."""

    def prompt(self, item: BatchItem) -> Prompt:
        """Return the prompt information in an item's headers, which isn't stored separately."""

    def results(self, total: int, next_position: int, results: list[ItemFinished]) -> bytes:
        """Encode a page of results."""

    def addresses(self, addresses: list[str], seconds_to_live: float) -> bytes:
        """Encode the directory's answer."""
