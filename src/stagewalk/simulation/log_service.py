"""The platform's append-only log, with its outages.

Owns records, offsets and waiting reads; relies on `remote_call` for how calls travel and fail.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.common.identities import RecordId
from stagewalk.history.observations import RecordAppended
from stagewalk.node.core.platform import LogRecord
from stagewalk.simulation.layout import Endpoint
from stagewalk.simulation.network import Network
from stagewalk.simulation.remote_call import Answer, RemoteCall
from stagewalk.simulation.witness import Witness

MAXIMUM_RECORDS_PER_READ = 500
READ_WAIT_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 8.0
SERVICE_SECONDS = 0.004
SLOW_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read; `head` is the offset after the stream's last record."""

    records: tuple[LogRecord, ...]
    head: int


@dataclass(slots=True)
class _Waiter:
    offset: int
    respond: Callable[[LogPage], None]
    settled: bool = False


class LogService:
    """Streams of records.

    Attributes
    ----------
    down
        It refuses connections.
    slow
        Each call takes seconds.
    answer_loss_fraction
        Fraction of appends whose answer is lost after the record was appended.
    """

    def __init__(
        self, network: Network, endpoint: Endpoint, witness: Witness, generator: random.Random
    ) -> None:
        self.endpoint = endpoint
        self.down = False
        self.slow = False
        self.answer_loss_fraction = 0.0
        self._network = network
        self._witness = witness
        self._generator = generator
        self._streams: defaultdict[str, list[LogRecord]] = defaultdict(list)
        self._waiters: defaultdict[str, list[_Waiter]] = defaultdict(list)

    def read(
        self,
        client: Endpoint,
        stream: str,
        offset: int,
        answered: Callable[[LogPage], None],
        failed: Callable[[bool], None],
        *,
        wait: bool = True,
    ) -> None:
        """Read records; with `wait`, a read at the head waits some seconds for a record."""

        def serve(respond: Callable[[LogPage], None]) -> None:
            self._serve_read(stream, offset, respond, wait)

        self._call(client, serve, answered, failed)

    def append(
        self,
        client: Endpoint,
        stream: str,
        record_id: RecordId,
        payload: bytes,
        *,
        answered: Callable[[int], None],
        failed: Callable[[bool], None],
    ) -> None:
        """Append a record; after `failed(True)` it is unknown whether it was appended."""

        def serve(respond: Callable[[int], None]) -> None:
            self._serve_append(stream, record_id, payload, respond)

        self._call(client, serve, answered, failed)

    def records(self, stream: str) -> tuple[LogRecord, ...]:
        """Return all records of a stream."""
        return tuple(self._streams[stream])

    def _call(
        self,
        client: Endpoint,
        serve: Callable[[Callable[[Answer], None]], None],
        answered: Callable[[Answer], None],
        failed: Callable[[bool], None],
    ) -> None:
        """Call the log; unless it is down, `serve` runs once its service time is over."""

        def accept(respond: Callable[[Answer], None]) -> bool:
            if self.down:
                return False
            self._network.scheduler.after(self._service_seconds(), lambda: serve(respond))
            return True

        RemoteCall(
            self._network,
            client,
            self.endpoint,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            serve=accept,
            answered=answered,
            failed=failed,
        )

    def _service_seconds(self) -> float:
        if self.slow:
            return SLOW_SECONDS * (0.5 + self._generator.random())
        return SERVICE_SECONDS * (0.5 + self._generator.random())

    def _serve_read(
        self, stream: str, offset: int, respond: Callable[[LogPage], None], wait: bool
    ) -> None:
        waiter = _Waiter(offset, respond)
        if offset < len(self._streams[stream]) or not wait:
            self._answer_read(stream, waiter)
            return
        self._waiters[stream].append(waiter)
        self._network.scheduler.after(READ_WAIT_SECONDS, lambda: self._answer_read(stream, waiter))

    def _answer_read(self, stream: str, waiter: _Waiter) -> None:
        if waiter.settled or self.down:
            return
        waiter.settled = True
        records = self._streams[stream]
        page = tuple(records[waiter.offset : waiter.offset + MAXIMUM_RECORDS_PER_READ])
        waiter.respond(LogPage(page, len(records)))

    def _serve_append(
        self, stream: str, record_id: RecordId, payload: bytes, respond: Callable[[int], None]
    ) -> None:
        if self.down:
            return
        records = self._streams[stream]
        offset = len(records)
        records.append(LogRecord(offset, record_id, payload))
        self._witness.observe(
            RecordAppended(
                at=self._network.scheduler.now,
                stream=stream,
                offset=offset,
                record_id=record_id,
                payload=payload,
            )
        )
        waiters, self._waiters[stream] = self._waiters[stream], []
        for waiter in waiters:
            self._answer_read(stream, waiter)
        if self._generator.random() >= self.answer_loss_fraction:
            respond(offset)
