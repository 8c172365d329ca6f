"""Reads and appends of one stream.

After a lost answer, an append is repeated only once a later read shows that the record is not in
the stream. The parameters are fields of `LogClientConfig`.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from stagewalk.common.identities import RecordId
from stagewalk.node.core.events import AppendFailed, LogRead
from stagewalk.node.core.instructions import AppendRecord, LogLineFields, ReadLog, WriteLogLine
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.log_client.backoff import Backoff
from stagewalk.node.log_client.config import LogClientConfig
from stagewalk.node.log_client.notifications import AppendAbandoned, AppendSettled, RecordsRead

StreamOutput = ReadLog | AppendRecord | WriteLogLine | RecordsRead | AppendSettled | AppendAbandoned


class AppendState(Enum):
    """State of an append."""

    WAITING = auto()
    """Not sent, or to be sent again after the backoff."""
    SENT = auto()
    UNKNOWN = auto()
    """The answer was lost; a read determines the outcome."""


@dataclass(slots=True)
class PendingAppend:
    """An append that is not settled.

    Attributes
    ----------
    may_be_in_log
        Whether the answer to some attempt was lost.
    proof_head
        Head returned by a read that began at least `settle_delay` after the answer was lost. If
        the record is not found below this offset, it is absent.
    """

    record_id: RecordId
    payload: bytes
    queued_at: float
    state: AppendState = AppendState.WAITING
    changed_at: float = 0.0
    not_before: float = 0.0
    may_be_in_log: bool = False
    proof_head: int | None = None


class StreamState:
    """Reads one stream and sends its appends, in order and one at a time.

    `_cursor` is the next offset to read. Before the first append to a stream that is not followed,
    its head is read, so that a record whose answer is lost is searched from there on and not from
    the beginning of the stream.
    """

    def __init__(self, name: str, config: LogClientConfig, generator: random.Random) -> None:
        self._name = name
        self._config = config
        self.appends: deque[PendingAppend] = deque()
        self.next_tick_at = 0.0
        self._followed = False
        self._latest_count: int | None = None
        self._cursor: int | None = None
        self._deliver_from = 0
        self._first_read_notified = False
        self._read_started_at: float | None = None
        self._read_not_before = 0.0
        initial, maximum = config.initial_backoff, config.maximum_backoff
        self._read_backoff = Backoff(generator, initial, maximum)
        self._append_backoff = Backoff(generator, initial, maximum)

    def follow(self, offset: int) -> None:
        """Notify records from an offset on; no effect if the stream is already followed."""
        if self._followed:
            return
        self._followed = True
        self._deliver_from = offset
        if self._cursor is None or not self._is_unsettled():
            self._cursor = offset
        else:
            self._cursor = min(self._cursor, offset)
        self.next_tick_at = 0.0

    def follow_latest(self, count: int) -> None:
        """Notify the last `count` records and all that follow; no effect if already followed."""
        if self._followed:
            return
        self._followed = True
        self._latest_count = count
        self.next_tick_at = 0.0

    def advance(self, offset: int) -> None:
        """Skip records below an offset, except those read to settle an append."""
        self._deliver_from = max(self._deliver_from, offset)
        if self._cursor is not None and not self._is_unsettled():
            self._cursor = max(self._cursor, offset)

    def queue(self, record_id: RecordId, payload: bytes, now: float) -> None:
        """Queue an append."""
        self.appends.append(PendingAppend(record_id, payload, now))

    def read(self, event: LogRead, now: float) -> list[StreamOutput]:
        """Handle the answer to a read."""
        read_started_at = self._read_started_at
        self._read_started_at = None
        self._read_backoff.reset()
        output: list[StreamOutput] = []
        cursor = self._resolve_cursor(event.head)
        if event.head < cursor:
            output.append(self._log_line("log_head_behind", {"head": event.head, "cursor": cursor}))
        fresh: list[LogRecord] = []
        for record in event.records:
            if record.offset < cursor:
                continue
            if record.offset > cursor:
                output.append(
                    self._log_line("log_gap", {"cursor": cursor, "offset": record.offset})
                )
                break
            output += self._settle(record.record_id, record.offset)
            fresh.append(record)
            cursor += 1
        self._cursor = cursor
        self._read_not_before = now if fresh else now + self._config.empty_read_pause
        if read_started_at is not None:
            self._retry_if_absent(event.head, read_started_at, now)
        return output + self._deliver(fresh, event.head)

    def read_failed(self, detail: str, now: float) -> list[StreamOutput]:
        """Handle the failure of a read, which is retried after the backoff."""
        self._read_started_at = None
        self._read_not_before = now + self._read_backoff.next_delay()
        return [self._log_line("log_read_failed", {"detail": detail})]

    def append_confirmed(self, record_id: RecordId, offset: int) -> list[StreamOutput]:
        """Handle the offset at which the log appended a record."""
        return self._settle(record_id, offset)

    def append_failed(self, event: AppendFailed, now: float) -> list[StreamOutput]:
        """Handle the failure of an append; an unknown outcome is settled by reading the stream."""
        append = self._first()
        if append is None or append.record_id != event.record_id:
            return []
        if append.state is not AppendState.SENT:
            return []
        append.changed_at = now
        if event.outcome_unknown:
            self._mark_outcome_unknown(append)
        else:
            append.state = AppendState.WAITING
            append.not_before = now + self._append_backoff.next_delay()
        fields: LogLineFields = {
            "record_id": event.record_id,
            "outcome_unknown": event.outcome_unknown,
            "detail": event.detail,
        }
        return [self._log_line("log_append_failed", fields)]

    def expire(self, now: float) -> list[StreamOutput]:
        """Treat overdue answers as lost, and abandon appends that waited too long."""
        output: list[StreamOutput] = []
        since = self._read_started_at
        if since is not None and now >= since + self._config.read_timeout:
            output += self.read_failed("no answer to the read", now)
        append = self._first()
        if append is not None and append.state is AppendState.SENT:
            if now >= append.changed_at + self._config.append_timeout:
                append.changed_at = now
                self._mark_outcome_unknown(append)
            return output
        while append is not None and now >= append.queued_at + self._config.abandon_after:
            self.appends.popleft()
            output.append(self._abandoned(append))
            append = self._first()
        return output

    def start_due(self, now: float) -> list[StreamOutput]:
        """Start the append and the read that are due, and set the time of the next tick needed."""
        output: list[StreamOutput] = []
        append = self._first()
        if append is not None and self._may_send(append, now):
            append.state = AppendState.SENT
            append.changed_at = now
            append.proof_head = None
            output.append(AppendRecord(self._name, append.record_id, append.payload))
        if self._needs_read() and self._read_started_at is None and now >= self._read_not_before:
            self._read_started_at = now
            # Don't wait for new records if only the head is needed to find the latest records.
            wait = self._latest_count is None or self._first_read_notified
            output.append(ReadLog(self._name, self._cursor or 0, wait))
        self.next_tick_at = self._next_due_time()
        return output

    def _first(self) -> PendingAppend | None:
        return self.appends[0] if self.appends else None

    def _is_unsettled(self) -> bool:
        """Return whether a record may be in the log without a confirmation."""
        append = self._first()
        if append is None:
            return False
        return append.state is not AppendState.WAITING or append.may_be_in_log

    def _may_send(self, append: PendingAppend, now: float) -> bool:
        if self._cursor is None or append.state is not AppendState.WAITING:
            return False
        return now >= append.not_before

    def _needs_read(self) -> bool:
        if self._followed:
            return True
        append = self._first()
        if append is None:
            return False
        return self._cursor is None or append.state is AppendState.UNKNOWN

    def _resolve_cursor(self, head: int) -> int:
        """Return the cursor; derive it from the head if it is unknown."""
        if self._latest_count is not None:
            start = max(0, head - self._latest_count)
            self._latest_count = None
            self._deliver_from = max(self._deliver_from, start)
            if self._cursor is None or not self._is_unsettled():
                return self._deliver_from
        if self._cursor is None:
            return head
        return self._cursor

    def _mark_outcome_unknown(self, append: PendingAppend) -> None:
        append.state = AppendState.UNKNOWN
        append.may_be_in_log = True
        append.proof_head = None

    def _settle(self, record_id: RecordId, offset: int) -> list[StreamOutput]:
        append = self._first()
        if append is None or append.record_id != record_id:
            return []
        self.appends.popleft()
        self._append_backoff.reset()
        if not self._followed and self._cursor is not None:
            self._cursor = max(self._cursor, offset + 1)
        return [AppendSettled(self._name, record_id, offset)]

    def _retry_if_absent(self, head: int, read_started_at: float, now: float) -> None:
        """Schedule a retry of an append once reads show that the stream does not contain it."""
        append = self._first()
        if append is None or append.state is not AppendState.UNKNOWN:
            return
        if (
            append.proof_head is None
            and read_started_at >= append.changed_at + self._config.settle_delay
        ):
            append.proof_head = head
        if append.proof_head is None or self._cursor is None or self._cursor < append.proof_head:
            return
        append.state = AppendState.WAITING
        append.changed_at = now
        append.not_before = now + self._append_backoff.next_delay()

    def _deliver(self, fresh: list[LogRecord], head: int) -> list[StreamOutput]:
        if not self._followed:
            return []
        records = tuple(record for record in fresh if record.offset >= self._deliver_from)
        if not records and self._first_read_notified:
            return []
        self._first_read_notified = True
        return [RecordsRead(self._name, records, head)]

    def _abandoned(self, append: PendingAppend) -> AppendAbandoned:
        detail = f"not settled within {self._config.abandon_after:g} s"
        return AppendAbandoned(self._name, append.record_id, append.may_be_in_log, detail)

    def _next_due_time(self) -> float:
        """Return the earliest time at which something is due without an event."""
        due = math.inf
        if self._read_started_at is not None:
            due = self._read_started_at + self._config.read_timeout
        elif self._needs_read():
            due = self._read_not_before
        append = self._first()
        if append is None:
            return due
        if append.state is AppendState.SENT:
            return min(due, append.changed_at + self._config.append_timeout)
        due = min(due, append.queued_at + self._config.abandon_after)
        if append.state is AppendState.WAITING and self._cursor is not None:
            due = min(due, append.not_before)
        return due

    def _log_line(self, name: str, fields: LogLineFields) -> WriteLogLine:
        return WriteLogLine(name, {"level": "warning", "stream": self._name, **fields})
