"""Core of the log client, without I/O: ordered reads of streams, and appends with safe retries.

Each stream has its own state, so failures of one do not delay another. An append whose answer was
lost is settled by reading the stream: either the record is found, or a read begun at least
`settle_delay` after the failure reaches the stream's head without it. Only then it is sent again,
with the same record id. A delayed first copy may still be appended, so readers must ignore a
repeated record id.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import RecordId
from stagewalk.node.core.events import AppendConfirmed, AppendFailed, LogRead, LogReadFailed
from stagewalk.node.core.instructions import AppendRecord, ReadLog, WriteLogLine
from stagewalk.node.log_client.config import LogClientConfig
from stagewalk.node.log_client.notifications import AppendAbandoned, AppendSettled, RecordsRead
from stagewalk.node.log_client.stream import StreamState

LogClientOutput = (
    ReadLog | AppendRecord | WriteLogLine | RecordsRead | AppendSettled | AppendAbandoned
)

LogClientEvent = LogRead | LogReadFailed | AppendConfirmed | AppendFailed

RECORD_ID_BITS = 128
"""Enough to make a collision of random record ids practically impossible."""


@dataclass(frozen=True, slots=True)
class QueuedAppend:
    """A queued append, and the outputs to execute at once."""

    record_id: RecordId
    output: list[LogClientOutput]


class LogClientCore:
    """Manages the reads and appends of all streams of one process.

    Parameters
    ----------
    generator
        Source of record ids and backoff jitter; two processes must not share a seed.
    """

    def __init__(self, generator: random.Random, config: LogClientConfig) -> None:
        self._generator = generator
        self._config = config
        self._streams: dict[str, StreamState] = {}

    def follow(self, stream: str, offset: int) -> None:
        """Notify the records of a stream from an offset on; the next tick sends the first read."""
        self._state(stream).follow(offset)

    def follow_latest(self, stream: str, count: int) -> None:
        """Notify the last `count` records of a stream and all that follow."""
        self._state(stream).follow_latest(count)

    def advance(self, stream: str, offset: int) -> None:
        """Skip records below an offset that were received by other means; never moves back."""
        self._state(stream).advance(offset)

    def append(
        self, stream: str, payload: bytes, now: float
    ) -> Result[QueuedAppend, StagewalkError]:
        """Queue a record; records of one stream are sent in order, one at a time.

        Returns
        -------
        QueuedAppend
            Its outcome follows as `AppendSettled` or `AppendAbandoned`.
        StagewalkError
            Kind `overloaded` if the stream's queue is full: nothing was queued.
        """
        state = self._state(stream)
        if len(state.appends) >= self._config.queue_limit:
            detail = f"{len(state.appends)} appends to {stream} are waiting"
            return Error(
                StagewalkError(
                    ErrorKind.OVERLOADED,
                    ErrorStep.LOG_APPEND,
                    "log",
                    detail,
                    retry_after_seconds=self._config.maximum_backoff,
                )
            )
        bits = self._generator.getrandbits(RECORD_ID_BITS)
        record_id = RecordId(f"{self._config.client_id}{bits:032x}")
        state.queue(record_id, payload, now)
        return Ok(QueuedAppend(record_id, state.start_due(now)))

    def handle(self, event: LogClientEvent, now: float) -> list[LogClientOutput]:
        """Handle the answer to a read or an append."""
        state = self._streams.get(event.stream)
        if state is None:
            return []
        match event:
            case LogRead():
                output = state.read(event, now)
            case LogReadFailed():
                output = state.read_failed(event.detail, now)
            case AppendConfirmed():
                output = state.append_confirmed(event.record_id, event.offset)
            case AppendFailed():
                output = state.append_failed(event, now)
        return output + state.start_due(now)

    def tick(self, now: float) -> list[LogClientOutput]:
        """Start reads and appends that are due, and expire those that waited too long."""
        output: list[LogClientOutput] = []
        for state in self._streams.values():
            if now >= state.next_tick_at:
                output += state.expire(now)
                output += state.start_due(now)
        return output

    def _state(self, stream: str) -> StreamState:
        state = self._streams.get(stream)
        if state is None:
            state = StreamState(stream, self._config, self._generator)
            self._streams[stream] = state
        return state
