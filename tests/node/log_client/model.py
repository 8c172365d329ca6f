"""Model of the log and the I/O adapter in front of it, with faults, on virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.common.identities import RecordId
from stagewalk.node.core.events import AppendConfirmed, AppendFailed, LogRead, LogReadFailed
from stagewalk.node.core.instructions import AppendRecord, ReadLog
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.log_client.config import LogClientConfig
from stagewalk.node.log_client.core import LogClientCore, LogClientEvent, LogClientOutput
from stagewalk.node.log_client.notifications import AppendAbandoned, AppendSettled, RecordsRead

TICK_SECONDS = 0.1
POLL_SECONDS = 2.0
MAXIMUM_RECORDS_PER_READ = 5
LANDS_LATE_SECONDS = 4.0


@dataclass
class Faults:
    """Probability of each fault, and the longest delay of a message in seconds."""

    read_fails: float = 0.0
    append_refused: float = 0.0
    append_lost: float = 0.0
    answer_lost: float = 0.0
    lands_late: float = 0.0
    longest_delay: float = 0.05


class LogWorld:
    """One client, its I/O adapter and the log."""

    def __init__(self, seed: int, faults: Faults, config: LogClientConfig) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.client = LogClientCore(random.Random(seed + 1), config)
        self.now = 0.0
        self.down: set[str] = set()
        self.streams: dict[str, list[LogRecord]] = {}
        self.read: dict[str, list[LogRecord]] = {}
        self.heads: dict[str, list[int]] = {}
        self.settled: dict[RecordId, list[int]] = {}
        self.abandoned: list[AppendAbandoned] = []
        self.appends_sent: list[RecordId] = []
        self.read_offsets: list[int] = []
        self.open_reads: dict[str, int] = {}
        self.most_reads_open = 0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def put(self, stream: str, record_id: str, payload: bytes = b"") -> int:
        records = self.streams.setdefault(stream, [])
        records.append(LogRecord(len(records), RecordId(record_id), payload))
        return len(records) - 1

    def append(self, stream: str, payload: bytes = b"") -> RecordId:
        queued = self.client.append(stream, payload, self.now).ok
        self._execute(queued.output)
        return queued.record_id

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_SECONDS
            while self._scheduled and self._scheduled[0][0] <= self.now:
                heapq.heappop(self._scheduled)[2]()
            self._execute(self.client.tick(self.now))

    def feed(self, event: LogClientEvent) -> None:
        self._execute(self.client.handle(event, self.now))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now + seconds, self._sequence, action))

    def _occurs(self, chance: float) -> bool:
        return self.random.random() < chance

    def _delay(self) -> float:
        return self.random.uniform(0.0, self.faults.longest_delay)

    def _execute(self, output: list[LogClientOutput]) -> None:
        for item in output:
            match item:
                case ReadLog():
                    self._begin_read(item)
                case AppendRecord():
                    self._begin_append(item)
                case RecordsRead():
                    self.read.setdefault(item.stream, []).extend(item.records)
                    self.heads.setdefault(item.stream, []).append(item.head)
                case AppendSettled():
                    self.settled.setdefault(item.record_id, []).append(item.offset)
                case AppendAbandoned():
                    self.abandoned.append(item)

    def _begin_read(self, item: ReadLog) -> None:
        self.read_offsets.append(item.offset)
        self.open_reads[item.stream] = self.open_reads.get(item.stream, 0) + 1
        self.most_reads_open = max(self.most_reads_open, self.open_reads[item.stream])
        if self._occurs(self.faults.read_fails):
            self._answer_read(LogReadFailed(item.stream, "503"))
            return
        self._after(self._delay(), lambda: self._poll(item, self.now + POLL_SECONDS))

    def _poll(self, item: ReadLog, until: float) -> None:
        records = self.streams.setdefault(item.stream, [])
        found = tuple(records[item.offset : item.offset + MAXIMUM_RECORDS_PER_READ])
        if item.stream in self.down:
            self._answer_read(LogReadFailed(item.stream, "503"))
        elif found or self.now >= until:
            self._answer_read(LogRead(item.stream, found, len(records)))
        else:
            self._after(TICK_SECONDS, lambda: self._poll(item, until))

    def _answer_read(self, event: LogRead | LogReadFailed) -> None:
        def answer() -> None:
            self.open_reads[event.stream] -= 1
            self.feed(event)

        self._after(self._delay(), answer)

    def _begin_append(self, item: AppendRecord) -> None:
        self.appends_sent.append(item.record_id)
        failure = AppendFailed(item.stream, item.record_id, True, "connection lost")
        if item.stream in self.down or self._occurs(self.faults.append_refused):
            failure = AppendFailed(item.stream, item.record_id, False, "connection refused")
            self._after(self._delay(), lambda: self.feed(failure))
        elif self._occurs(self.faults.append_lost):
            self._after(self._delay(), lambda: self.feed(failure))
        elif self._occurs(self.faults.lands_late):
            self._after(self._delay(), lambda: self.feed(failure))
            self._after(LANDS_LATE_SECONDS, lambda: self._store(item, answered=False))
        elif self._occurs(self.faults.answer_lost):
            self._after(self._delay(), lambda: self._store(item, answered=False))
            self._after(self._delay(), lambda: self.feed(failure))
        else:
            self._after(self._delay(), lambda: self._store(item, answered=True))

    def _store(self, item: AppendRecord, *, answered: bool) -> None:
        offset = self.put(item.stream, item.record_id, item.payload)
        if answered:
            confirmed = AppendConfirmed(item.stream, item.record_id, offset)
            self._after(self._delay(), lambda: self.feed(confirmed))
