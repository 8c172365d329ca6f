"""This node's view of all batches, and appends to their partitions.

Owns the ledger, one follower and one appender per partition, and the times of gaps in records.
Relies on `partitioned_log` for reading and appending, and on `batches.ledger` to apply records.
"""

from __future__ import annotations

import math
import uuid
from functools import partial

import anyio
import anyio.abc
import xxhash
from expression import Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchPlace
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.ledger import (
    FORGET_AFTER_SECONDS,
    BatchLedger,
    ChangeListener,
    LedgerChange,
)
from stagewalk.gateway.batches.record_parts import split_result, split_submission
from stagewalk.gateway.batches.records import (
    BatchEnded,
    BatchRecord,
    ItemFinished,
    decode_record,
    encode_record,
)
from stagewalk.gateway.dialect import Submission
from stagewalk.gateway.partitioned_log.appender import AppendFailure, PartitionAppender
from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog, PartitionRecord

BATCHES_TOPIC = "batches"
PARTITIONS = 6
"""Maximum number of partitions in use. A batch's partition is a hash of its name, so that all nodes
use the same one."""

CATCH_UP_TIMEOUT_SECONDS = 0.8
"""How long a call may wait for the log to bring a view up to date."""

MAXIMUM_CURRENT_VIEW_AGE_SECONDS = 1.5
"""A followed view younger than this counts as current."""

READ_PAUSE_SECONDS = 0.05
"""Pause between two reads of a partition, so that one read returns several records."""


class BatchStore:
    """Follows all partitions of batches, and appends to them."""

    def __init__(
        self,
        log: PartitionedLog,
        producer: str,
        record_bytes: int,
        call_bytes: int,
        partitions: int,
    ) -> None:
        self._record_bytes = record_bytes
        self.ledger = BatchLedger(self._changed)
        self._listener: ChangeListener = lambda _batch, _change: None
        self._change_events: dict[str, anyio.Event] = {}
        numbers = [Partition(BATCHES_TOPIC, n) for n in range(min(PARTITIONS, partitions))]
        self._log = log
        self._followers = [
            PartitionFollower(
                log, p, self._apply, READ_PAUSE_SECONDS, partial(self._drop_partition, p.number)
            )
            for p in numbers
        ]
        self._records_lost_at: dict[int, float] = {}
        """By partition, when records were last found to be dropped unread (steady clock)."""
        self._following = True
        self._following_event = anyio.Event()
        self.set_following(False)
        self._appenders = [PartitionAppender(log, p, producer, call_bytes) for p in numbers]

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        listener: ChangeListener = lambda _batch, _change: None,
    ) -> None:
        """Start following and appending.

        Parameters
        ----------
        listener
            Called with each batch and what a record changed in it.
        """
        self._listener = listener
        for follower in self._followers:
            tasks.start_soon(follower.run)
        for appender in self._appenders:
            tasks.start_soon(appender.run)

    @property
    def following(self) -> bool:
        """Whether all partitions are followed."""
        return self._following

    def set_following(self, following: bool) -> None:
        """Follow all partitions, or read a partition only when a call needs it."""
        self._following = following
        if following:
            self._following_event.set()
        elif self._following_event.is_set():
            self._following_event = anyio.Event()
        for follower in self._followers:
            if following:
                follower.resume()
            else:
                follower.pause()

    async def wait_until_following(self) -> None:
        """Wait until all partitions are followed."""
        await self._following_event.wait()

    @property
    def freshness(self) -> list[Freshness]:
        """Return how current the view of each partition is."""
        return [follower.freshness for follower in self._followers]

    @property
    def idle(self) -> bool:
        """Whether no records are waiting to be appended."""
        return all(appender.idle for appender in self._appenders)

    def has_read_to_end(self, batch: str) -> bool:
        """Whether a batch's partition was read to its end since this process started."""
        return self._follower(batch).freshness.ever_confirmed

    def view_age(self, batch: str, now: float) -> float:
        """Return how old the view of a batch's partition is, in seconds."""
        return self._follower(batch).freshness.age(now)

    async def catch_up(self, batch: str) -> bool:
        """Bring the view of a batch's partition up to date; return whether that succeeded."""
        return await self._follower(batch).catch_up(CATCH_UP_TIMEOUT_SECONDS)

    async def submit(
        self, submission: Submission, runner: str, timeout_seconds: float
    ) -> Result[int, AppendFailure]:
        """Append a submission."""
        header = submission.header
        payloads = split_submission(
            header, submission.items, uuid.uuid4().hex, runner, self._record_bytes
        )
        return await self._appender(header.batch).append(payloads, timeout_seconds)

    async def end(self, batch: str, timeout_seconds: float) -> Result[int, AppendFailure]:
        """Append the end of a batch."""
        payload = encode_record(BatchEnded(batch))
        return await self._appender(batch).append([payload], timeout_seconds)

    def post(self, batch: str, record: BatchRecord) -> None:
        """Append a record without waiting for the log.

        A large result is split. Another record that is too large is skipped: that can only be the
        text of an unfinished item, which merely saves generating it again.
        """
        if isinstance(record, ItemFinished):
            payloads = split_result(record, uuid.uuid4().hex, self._record_bytes)
        else:
            payloads = [encode_record(record)]
        if all(len(payload) <= self._record_bytes for payload in payloads):
            self._appender(batch).post(payloads)
        else:
            log_event("record_too_large", batch=batch, record=type(record).__name__)

    def partition(self, batch: str) -> int:
        """Return the number of a batch's partition."""
        return _partition_of(batch, len(self._followers))

    def read_from(self, place: BatchPlace, on_change: ChangeListener) -> PartialLedger:
        """Return a ledger of the partition's batches that begin at a place or later."""
        return PartialLedger(
            self._log, Partition(BATCHES_TOPIC, place.partition), place.offset, on_change
        )

    def is_current(self, batch: str, now: float) -> bool:
        """Whether the view of a batch's partition is followed and was complete recently."""
        return self._following and self.view_age(batch, now) < MAXIMUM_CURRENT_VIEW_AGE_SECONDS

    def appends_stalled_since(self, batch: str) -> float | None:
        """Return since when appends to the batch's partition have failed, None if they succeed."""
        return self._appender(batch).failing_since

    async def wait_for_change(self, batch: str, timeout_seconds: float) -> None:
        """Wait until a batch changes, or until the timeout."""
        event = self._change_events.setdefault(batch, anyio.Event())
        with anyio.move_on_after(timeout_seconds):
            await event.wait()

    def record_ended(self, batch: str) -> None:
        """Apply the end of a batch that is marked as ended, but whose end was dropped unread."""
        self.ledger.apply(BatchEnded(batch), steady_seconds())

    def first_offset(self, batch: str, now: float) -> int | None:
        """Return where a batch's records begin; None if they may begin before this node's view."""
        known = self.ledger.get(batch)
        if known is None or not self.is_current(batch, now) or self.lacks_history(batch, now):
            return None
        return known.first_offset

    def records_lost_at(self, batch: str) -> float:
        """Return when records of a batch's partition were last found to be dropped unread."""
        return self._records_lost_at.get(self.partition(batch), -math.inf)

    def lacks_history(self, batch: str, now: float) -> bool:
        """Whether records of a batch may be among those that were recently dropped unread."""
        return now - self.records_lost_at(batch) < FORGET_AFTER_SECONDS

    def _follower(self, batch: str) -> PartitionFollower:
        return self._followers[self.partition(batch)]

    def _appender(self, batch: str) -> PartitionAppender:
        return self._appenders[self.partition(batch)]

    def _apply(self, record: PartitionRecord) -> None:
        decoded = decode_record(record.payload)
        if decoded is None:
            log_event("record_unreadable", "warning", topic=BATCHES_TOPIC, offset=record.offset)
            return
        self.ledger.apply(decoded, steady_seconds(), record.offset)

    def _drop_partition(self, partition: int) -> None:
        """Drop the batches of a partition: the unread records may hold their ends or results."""
        self._records_lost_at[partition] = steady_seconds()
        self.ledger.lose([name for name in self.ledger.names if self.partition(name) == partition])

    def _changed(self, batch: Batch, change: LedgerChange) -> None:
        event = self._change_events.pop(batch.header.batch, None)
        if event is not None:
            event.set()
        self._listener(batch, change)


def _partition_of(batch: str, partitions: int) -> int:
    return xxhash.xxh64_intdigest(batch.encode()) % partitions
