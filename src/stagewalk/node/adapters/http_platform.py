"""HTTP clients of the platform's log, machine list, weight store and scorer.

Owns the wire formats and the timeouts; each failure is a `StagewalkError` with step and peer.
"""

from __future__ import annotations

import httpx
import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.http.calls import call_json, call_json_if_changed, quote_path_segment
from stagewalk.common.identities import Address, ModelName, Placement, RecordId, WeightVersion
from stagewalk.node.core.instructions import ScoreSample
from stagewalk.node.core.platform import (
    LogRecord,
    Machine,
    MachineKind,
    MachineState,
    PublishedVersion,
)
from stagewalk.node.ports.platform_services import LogPage

LOG_LONG_POLL_SECONDS = 5.0
"""How long the log may wait for a first record before it answers a read."""

LOG_READ_TIMEOUT_SECONDS = LOG_LONG_POLL_SECONDS + 5.0
"""Longer than the long poll, so that a read without records does not time out."""

LOG_APPEND_TIMEOUT_SECONDS = 5.0
LOG_PAGE_RECORDS = 500
MACHINES_TIMEOUT_SECONDS = 5.0
VERSIONS_TIMEOUT_SECONDS = 5.0
SCORE_TIMEOUT_SECONDS = 10.0

LOG_PEER = "log"
MACHINES_PEER = "machines"
WEIGHTS_PEER = "weights"
SCORER_PEER = "scorer"


class _AppendedRecord(msgspec.Struct):
    record_id: str
    payload: bytes


class _AppendBody(msgspec.Struct):
    records: tuple[_AppendedRecord, ...]


class _AppendAnswer(msgspec.Struct):
    offsets: list[int]


class _MachineRow(msgspec.Struct):
    name: str
    kind: MachineKind
    host: str
    port: int
    region: str
    zone: str
    state: MachineState
    service: str = ""

    def machine(self) -> Machine:
        return Machine(
            name=self.name,
            kind=self.kind,
            address=Address(self.host, self.port),
            placement=Placement(self.region, self.zone),
            state=self.state,
            service=self.service,
        )


class _MachinesAnswer(msgspec.Struct):
    machines: list[_MachineRow]


class _VersionRow(msgspec.Struct):
    version: int
    size_bytes: int
    published_at: float


class _VersionsAnswer(msgspec.Struct):
    versions: list[_VersionRow]


class _ScoreAnswer(msgspec.Struct):
    score: float


class _LogAnswer(msgspec.Struct):
    records: tuple[LogRecord, ...]
    head: int


class HttpLogService:
    """The append-only log at a base URL."""

    def __init__(self, transport: httpx.AsyncBaseTransport, base_url: str) -> None:
        self._transport = transport
        self._base_url = base_url

    async def read(
        self, stream: str, offset: int, *, wait: bool = True
    ) -> Result[LogPage, StagewalkError]:
        """Read records from an offset on; `wait`: up to `LOG_LONG_POLL_SECONDS` for a first one."""
        wait_seconds = LOG_LONG_POLL_SECONDS if wait else 0
        query = f"offset={offset}&limit={LOG_PAGE_RECORDS}&wait_seconds={wait_seconds}"
        answer = await call_json(
            self._transport,
            "GET",
            f"{self._records_url(stream)}?{query}",
            answer=_LogAnswer,
            step=ErrorStep.LOG_READ,
            peer=LOG_PEER,
            read_seconds=LOG_READ_TIMEOUT_SECONDS,
        )
        return answer.map(lambda page: LogPage(page.records, page.head))

    async def append(
        self, stream: str, record_id: RecordId, payload: bytes
    ) -> Result[int, StagewalkError]:
        """Append a record and return its offset."""
        answer = await call_json(
            self._transport,
            "POST",
            self._records_url(stream),
            body=_AppendBody((_AppendedRecord(record_id, payload),)),
            answer=_AppendAnswer,
            step=ErrorStep.LOG_APPEND,
            peer=LOG_PEER,
            read_seconds=LOG_APPEND_TIMEOUT_SECONDS,
        )
        return answer.bind(_single_offset)

    def _records_url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{quote_path_segment(stream)}/records"


def _single_offset(answer: _AppendAnswer) -> Result[int, StagewalkError]:
    if len(answer.offsets) == 1:
        return Ok(answer.offsets[0])
    detail = f"expected one offset, got {len(answer.offsets)}"
    return Error(
        StagewalkError(
            ErrorKind.REJECTED, ErrorStep.LOG_APPEND, LOG_PEER, detail, ExecutionStatus.UNKNOWN
        )
    )


class HttpMachineList:
    """The machine list at a base URL."""

    def __init__(self, transport: httpx.AsyncBaseTransport, base_url: str) -> None:
        self._transport = transport
        self._base_url = base_url
        self._entity_tag: str | None = None

    async def read(self) -> Result[tuple[Machine, ...] | None, StagewalkError]:
        """Read the whole list; None if it is the same as at the last read.

        Conditional, since with hundreds of nodes the list would be most of a node's incoming
        traffic.
        """
        answer = await call_json_if_changed(
            self._transport,
            f"{self._base_url}/machines",
            self._entity_tag,
            answer=_MachinesAnswer,
            step=ErrorStep.ROUTING,
            peer=MACHINES_PEER,
            read_seconds=MACHINES_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            return Error(answer.error)
        changed = answer.ok
        if changed is None:
            return Ok(None)
        self._entity_tag = changed.entity_tag
        return Ok(tuple(row.machine() for row in changed.value.machines))


class HttpWeightStore:
    """The weight store at a base URL."""

    def __init__(self, transport: httpx.AsyncBaseTransport, base_url: str) -> None:
        self._transport = transport
        self._base_url = base_url

    async def versions(
        self, model: ModelName
    ) -> Result[tuple[PublishedVersion, ...], StagewalkError]:
        """Read the list of a model's versions."""
        answer = await call_json(
            self._transport,
            "GET",
            f"{self._base_url}/models/{quote_path_segment(model)}/versions",
            answer=_VersionsAnswer,
            step=ErrorStep.WEIGHTS,
            peer=WEIGHTS_PEER,
            read_seconds=VERSIONS_TIMEOUT_SECONDS,
        )
        return answer.map(lambda rows: tuple(_published(model, row) for row in rows.versions))


def _published(model: ModelName, row: _VersionRow) -> PublishedVersion:
    return PublishedVersion(model, WeightVersion(row.version), row.size_bytes, row.published_at)


class HttpScorer:
    """The scorer at a base URL."""

    def __init__(self, transport: httpx.AsyncBaseTransport, base_url: str) -> None:
        self._transport = transport
        self._base_url = base_url

    async def score(self, sample: ScoreSample) -> Result[float, StagewalkError]:
        """Score one sample; idempotent."""
        answer = await call_json(
            self._transport,
            "POST",
            f"{self._base_url}/score",
            body=sample,
            answer=_ScoreAnswer,
            step=ErrorStep.SCORING,
            peer=SCORER_PEER,
            read_seconds=SCORE_TIMEOUT_SECONDS,
        )
        return answer.map(lambda scored: scored.score)
