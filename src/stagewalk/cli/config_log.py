"""An operator's session with the log: the node's log client over blocking HTTP calls.

Makes the HTTP calls and enforces the deadline of each operation; `node.log_client` handles retries
and `node.configuration` determines outcomes.
"""

from __future__ import annotations

import random
import secrets
import time
from collections import deque
from dataclasses import dataclass

import httpx
import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import RecordId
from stagewalk.node.configuration.outcomes import ChangeAccepted, ChangeRejected
from stagewalk.node.configuration.records import (
    CONFIGURATION_SNAPSHOT_STREAM,
    CONFIGURATION_STREAM,
    AnyChange,
    encode_change,
)
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.events import AppendConfirmed, AppendFailed, LogRead, LogReadFailed
from stagewalk.node.core.instructions import AppendRecord, ReadLog
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.log_client.config import LogClientConfig
from stagewalk.node.log_client.core import LogClientCore, LogClientEvent, LogClientOutput
from stagewalk.node.log_client.notifications import AppendAbandoned, AppendSettled, RecordsRead

CALL_TIMEOUT_SECONDS = 5.0
PAUSE_SECONDS = 0.02
MAXIMUM_RECORDS_PER_READ = 500


class _ReadRecord(msgspec.Struct):
    offset: int
    record_id: str
    payload: bytes


class _ReadAnswer(msgspec.Struct):
    records: list[_ReadRecord]
    head: int


class _AppendedRecord(msgspec.Struct):
    record_id: str
    payload: bytes


class _AppendBody(msgspec.Struct):
    records: list[_AppendedRecord]


class _AppendAnswer(msgspec.Struct):
    offsets: list[int]


@dataclass(frozen=True, slots=True)
class Published:
    """A change in the log and its outcome, which is the same on every node."""

    record_id: RecordId
    offset: int
    outcome: ChangeAccepted | ChangeRejected


class LogSession:
    """Follows the configuration stream and publishes to it.

    Parameters
    ----------
    timeout_seconds
        Timeout of each operation, retries included.
    """

    def __init__(self, url: str, client_id: str, timeout_seconds: float) -> None:
        self.fold = ConfigurationStateMachine()
        self._http = httpx.Client(base_url=url, timeout=CALL_TIMEOUT_SECONDS)
        self._url = url
        self._timeout = timeout_seconds
        config = LogClientConfig(client_id=client_id, abandon_after=timeout_seconds)
        self._client = LogClientCore(random.Random(secrets.randbits(128)), config)
        self._head: int | None = None
        self._snapshots_read = False
        self._settled: AppendSettled | AppendAbandoned | None = None
        self._last_failure = "no answer"

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def catch_up(self) -> Result[int, StagewalkError]:
        """Apply the stream from the latest snapshot up to its head; return that offset."""
        deadline = time.monotonic() + self._timeout
        self._client.follow_latest(CONFIGURATION_SNAPSHOT_STREAM, 1)
        while not self._snapshots_read:
            if not self._step(deadline):
                return Error(self._failure(ErrorStep.LOG_READ, ExecutionStatus.NO))
        self._client.follow(CONFIGURATION_STREAM, self.fold.offset)
        while self._head is None or self.fold.offset < self._head:
            if not self._step(deadline):
                return Error(self._failure(ErrorStep.LOG_READ, ExecutionStatus.NO))
        return Ok(self.fold.offset)

    def publish(self, change: AnyChange) -> Result[Published, StagewalkError]:
        """Append a change and return its outcome; a lost answer is resolved by reading the log.

        The error has `ran=unknown` if the record may have been appended or may still be.
        """
        now = time.monotonic()
        deadline = now + self._timeout
        queued = self._client.append(CONFIGURATION_STREAM, encode_change(change), now)
        if queued.is_error():
            return Error(queued.error)
        self._settled = None
        record_id = queued.ok.record_id
        self._execute(queued.ok.output)
        while True:
            outcome = self.fold.outcome_of(record_id)
            if outcome is not None:
                return Ok(Published(record_id, self._offset_of(record_id), outcome))
            if isinstance(self._settled, AppendAbandoned):
                ran = (
                    ExecutionStatus.UNKNOWN if self._settled.outcome_unknown else ExecutionStatus.NO
                )
                return Error(self._failure(ErrorStep.LOG_APPEND, ran, record_id))
            if not self._step(deadline):
                return Error(
                    self._failure(ErrorStep.LOG_APPEND, ExecutionStatus.UNKNOWN, record_id)
                )

    def _offset_of(self, record_id: RecordId) -> int:
        return next(entry.offset for entry in self.fold.history if entry.record_id == record_id)

    def _step(self, deadline: float) -> bool:
        """Run the client's due actions; return False once the deadline has passed."""
        now = time.monotonic()
        if now >= deadline:
            return False
        output = self._client.tick(now)
        if not output:
            time.sleep(PAUSE_SECONDS)
        self._execute(output)
        return True

    def _execute(self, output: list[LogClientOutput]) -> None:
        """Execute instructions in order, with those that result from their answers."""
        waiting = deque(output)
        while waiting:
            item = waiting.popleft()
            match item:
                case ReadLog():
                    waiting.extend(self._handle(self._read(item)))
                case AppendRecord():
                    waiting.extend(self._handle(self._append(item)))
                case RecordsRead():
                    self._apply_records(item)
                case AppendSettled() | AppendAbandoned():
                    self._settled = item

    def _handle(self, event: LogClientEvent) -> list[LogClientOutput]:
        if isinstance(event, LogReadFailed | AppendFailed):
            self._last_failure = event.detail
        return self._client.handle(event, time.monotonic())

    def _apply_records(self, read: RecordsRead) -> None:
        if read.stream == CONFIGURATION_SNAPSHOT_STREAM:
            self._snapshots_read = True
            if read.records:
                self.fold.restore(read.records[-1].payload)
            return
        for record in read.records:
            self.fold.apply(record)
        self._head = read.head

    def _read(self, item: ReadLog) -> LogRead | LogReadFailed:
        parameters = {"offset": item.offset, "limit": MAXIMUM_RECORDS_PER_READ, "wait_seconds": 0}
        try:
            response = self._http.get(f"/streams/{item.stream}/records", params=parameters)
            if not response.is_success:
                return LogReadFailed(item.stream, f"HTTP {response.status_code}")
            answer = msgspec.json.decode(response.content, type=_ReadAnswer)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            return LogReadFailed(item.stream, _describe(error))
        records = tuple(
            LogRecord(record.offset, RecordId(record.record_id), record.payload)
            for record in answer.records
        )
        return LogRead(item.stream, records, answer.head)

    def _append(self, item: AppendRecord) -> AppendConfirmed | AppendFailed:
        """Append a record; only a failed connection or a 4xx proves that nothing was appended."""
        body = _AppendBody([_AppendedRecord(item.record_id, item.payload)])
        stream, record_id = item.stream, item.record_id
        try:
            response = self._http.post(
                f"/streams/{stream}/records",
                content=msgspec.json.encode(body),
                headers={"content-type": "application/json"},
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return AppendFailed(stream, record_id, False, _describe(error))
        except httpx.HTTPError as error:
            return AppendFailed(stream, record_id, True, _describe(error))
        if response.is_client_error:
            return AppendFailed(stream, record_id, False, f"HTTP {response.status_code}")
        if not response.is_success:
            return AppendFailed(stream, record_id, True, f"HTTP {response.status_code}")
        try:
            answer = msgspec.json.decode(response.content, type=_AppendAnswer)
            return AppendConfirmed(stream, record_id, answer.offsets[0])
        except (msgspec.MsgspecError, IndexError) as error:
            return AppendFailed(stream, record_id, True, _describe(error))

    def _failure(
        self, step: ErrorStep, ran: ExecutionStatus, record_id: RecordId | None = None
    ) -> StagewalkError:
        kind = (
            ErrorKind.OUTCOME_UNKNOWN if ran is ExecutionStatus.UNKNOWN else ErrorKind.UNREACHABLE
        )
        record = f" for record {record_id}" if record_id else ""
        detail = f"no result within {self._timeout:g} s{record}; last: {self._last_failure}"
        return StagewalkError(kind, step, self._url, detail, ran)


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
