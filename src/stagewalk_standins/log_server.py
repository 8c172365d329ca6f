"""Stand-in for the append-only log service."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass, field

import anyio
import msgspec

from stagewalk.history.observations import RecordAppended
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import HistoryFile, clock
from stagewalk_standins.web import (
    Answer,
    Application,
    BadRequest,
    Request,
    json_response,
)

DEFAULT_READ_LIMIT = 256
MAXIMUM_WAIT_SECONDS = 30.0


class NewRecord(msgspec.Struct, frozen=True):
    """A record to append; `payload` is base64."""

    record_id: str
    payload: str


class AppendBody(msgspec.Struct, frozen=True):
    """Body of an append."""

    records: list[NewRecord]


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as returned to readers."""

    offset: int
    record_id: str
    payload: str


@dataclass(slots=True)
class _Stream:
    records: list[StoredRecord] = field(default_factory=list)
    appended: anyio.Event = field(default_factory=anyio.Event)


class LogServer:
    """Keeps streams in memory, with consecutive offsets from 0."""

    def __init__(self, history: HistoryFile) -> None:
        self._history = history
        self._streams: dict[str, _Stream] = {}

    def application(self) -> Application:
        """Return the routes of the service."""
        application = Application()
        application.route("POST", "/streams/{stream}/records", self._append)
        application.route("GET", "/streams/{stream}/records", self._read)
        return application

    async def _append(self, request: Request) -> Answer:
        body = request.decode(AppendBody)
        payloads = [_decoded(record) for record in body.records]
        stream = self._stream(request.path_values["stream"])
        offsets = []
        for record, payload in zip(body.records, payloads, strict=True):
            offset = len(stream.records)
            stream.records.append(StoredRecord(offset, record.record_id, record.payload))
            offsets.append(offset)
            self._observe(request.path_values["stream"], offset, record.record_id, payload)
        stream.appended.set()
        stream.appended = anyio.Event()
        return json_response({"offsets": offsets})

    async def _read(self, request: Request) -> Answer:
        offset = int(request.number("offset", 0))
        limit = int(request.number("limit", DEFAULT_READ_LIMIT))
        wait_seconds = min(request.number("wait_seconds", 0.0), MAXIMUM_WAIT_SECONDS)
        if offset < 0 or limit < 0:
            raise BadRequest("offset and limit must not be negative")
        stream = self._stream(request.path_values["stream"])
        with anyio.move_on_after(wait_seconds):
            while len(stream.records) <= offset:
                await stream.appended.wait()
        records = stream.records[offset : offset + limit]
        return json_response({"records": records, "head": len(stream.records)})

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _observe(self, stream: str, offset: int, record_id: str, payload: bytes) -> None:
        self._history.write(
            RecordAppended(
                at=clock(), stream=stream, offset=offset, record_id=record_id, payload=payload
            )
        )
        log_event("record_appended", stream=stream, offset=offset, record_id=record_id)


def _decoded(record: NewRecord) -> bytes:
    try:
        return base64.b64decode(record.payload, validate=True)
    except binascii.Error as error:
        raise BadRequest(f"payload of {record.record_id}: {error}") from error
