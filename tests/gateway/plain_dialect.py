"""A dialect that encodes the gateway's own types in JSON."""

from __future__ import annotations

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.gateway.batches.prompt import UNKNOWN_PROMPT, Prompt
from stagewalk.gateway.batches.records import BatchHeader, BatchItem, ItemFinished
from stagewalk.gateway.dialect import (
    CallerInterface,
    NamedVersion,
    OperatorRecord,
    Submission,
    ZoneEvacuation,
)
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, Partition
from stagewalk.gateway.routes.route import RouteConfiguration
from stagewalk.gateway.workers.worker import WorkerAnnouncement

CONFIGURATION_KEY = "configuration"
VERSION_PREFIX = "version/"
EVACUATION_PREFIX = "evacuation/"


class SubmittedBatch(msgspec.Struct, kw_only=True):
    """Body of a submission."""

    items: tuple[BatchItem, ...]
    step: int = 0
    model: str = ""
    minimum_version: int = 0
    wanted_groups: int = 0


class ResultsPage(msgspec.Struct):
    """A page of results."""

    total: int
    next_position: int
    results: list[ItemFinished]


class Addresses(msgspec.Struct):
    """The directory's answer."""

    addresses: list[str]
    seconds_to_live: float


class PlainDialect:
    """Default names, and JSON encodings."""

    @property
    def callers(self) -> CallerInterface:
        """Return the default names."""
        return CallerInterface()

    @property
    def operators(self) -> Partition:
        """Return the partition of operators' records."""
        return Partition("operators", 0)

    @property
    def workers(self) -> Partition:
        """Return the partition of worker announcements."""
        return Partition("workers", 0)

    def decode_operator_record(self, record: KeyedRecord) -> OperatorRecord | None:
        """Decode a configuration, a named version or an evacuation."""
        if record.key.startswith(EVACUATION_PREFIX):
            zone = record.key.removeprefix(EVACUATION_PREFIX)
            return ZoneEvacuation(zone, record.value is not None)
        try:
            if record.key == CONFIGURATION_KEY:
                return msgspec.json.decode(record.value or b"", type=RouteConfiguration)
            return msgspec.json.decode(record.value or b"", type=NamedVersion)
        except msgspec.DecodeError:
            return None

    def decode_worker_announcement(self, record: KeyedRecord) -> WorkerAnnouncement | None:
        """Decode a worker's entry."""
        try:
            return msgspec.json.decode(record.value or b"", type=WorkerAnnouncement)
        except msgspec.DecodeError:
            return None

    def submission(
        self, batch: str, host: str, path: str, body: bytes
    ) -> Result[Submission, StagewalkError]:
        """Decode a batch."""
        try:
            decoded = msgspec.json.decode(body, type=SubmittedBatch)
        except msgspec.DecodeError as error:
            return Error(
                StagewalkError(
                    ErrorKind.INVALID_REQUEST, ErrorStep.VALIDATION, "caller", str(error)
                )
            )
        header = BatchHeader(
            batch,
            host,
            path,
            decoded.step,
            decoded.model,
            decoded.minimum_version,
            decoded.wanted_groups,
        )
        return Ok(Submission(header, decoded.items))

    def prompt(self, _item: BatchItem) -> Prompt:
        """Return an unknown prompt."""
        return UNKNOWN_PROMPT

    def results(self, total: int, next_position: int, results: list[ItemFinished]) -> bytes:
        """Encode a page of results."""
        return msgspec.json.encode(ResultsPage(total, next_position, results))

    def addresses(self, addresses: list[str], seconds_to_live: float) -> bytes:
        """Encode the directory's answer."""
        return msgspec.json.encode(Addresses(addresses, seconds_to_live))
