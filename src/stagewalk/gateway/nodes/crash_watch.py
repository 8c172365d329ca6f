"""Detects requests that crash workers, and exchanges the worker ends with the other nodes.

Owns this node's evidence, its pace of appends, and when a suspect may be sent. Relies on
`quarantine` for the decisions and on the nodes' partition, which every node follows anyway.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, Partition, PartitionedLog
from stagewalk.gateway.ports.send_permits import WorkerTarget
from stagewalk.gateway.ports.workers import AttemptFailure, ContactLoss
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import CrashHistory, QuarantinedContent
from stagewalk.gateway.quarantine.crash_reports import SentRequest
from stagewalk.gateway.quarantine.hold_rule import next_crash_count
from stagewalk.gateway.quarantine.lost_connections import (
    LostConnection,
    PendingLosses,
    WorkerIncarnation,
)
from stagewalk.gateway.quarantine.records import CRASH_KEY_PREFIX, CrashRecord, decode_crash_record
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

Probe = Callable[[WorkerTarget], Awaitable[bool | None]]
"""Returns whether anybody listens at a worker's address; None if that is unknown."""

RenewView = Callable[[float, float], Awaitable[bool]]
"""Returns whether the nodes' partition is known as of so many seconds ago; reads, within the second
time, if it isn't."""

MAXIMUM_SUSPECT_VIEW_AGE_SECONDS = 0.0
SUSPECT_READ_SECONDS = 0.3
"""A suspect is sent only after one more read of other nodes' reports: its caller retries within a
fifth of a second, and the views of nodes are up to 1.2 s old. Without an answer in 0.3 s it isn't
sent: in a soak whose store answered late, nine workers ended under one, five too late."""

MAXIMUM_UNVERIFIED_CRASHES = 1
"""Most consecutive crashes of a content that is sent although nothing newer could be read, and only
within the try in which the worker ended: most of those are bystanders, whose second attempt is
served."""

PUBLISH_WAIT_SECONDS = 0.25
"""How long a caller's answer waits for the report to be in the log, so that its next try meets it.
The log answers within 0.01 s."""

RETRY_SECONDS = 0.25
"""Between two tries of a failed append."""

MAXIMUM_UNAPPENDED = 256
"""Reports that wait for the log at most; the oldest are dropped first."""

BURST_APPENDS = 8.0
APPENDS_PER_SECOND = 4.0
"""Bounds what a node appends while many workers end at once. A node that serves 8 requests a second
has one or two under way as a zone loses power."""

ENDED_SECONDS = 1.0
"""How long a worker that was found ended needs no other probe: requests lost together share one. A
node that was cut off is refused at workers that live, so it probes again after that."""

EXPIRE_SECONDS = 10.0
"""Between two searches for expired ends: one over 2,048 ends takes some 4 ms."""


@dataclass(slots=True)
class _AppendPace:
    """A token bucket of appends."""

    tokens: float = BURST_APPENDS
    refilled_at: float = field(default_factory=steady_seconds)

    def seconds_until_next(self, now: float) -> float:
        """Consume a token; return how many seconds to wait for it."""
        gained = (now - self.refilled_at) * APPENDS_PER_SECOND
        self.tokens = min(BURST_APPENDS, self.tokens + gained) - 1.0
        self.refilled_at = now
        return max(0.0, -self.tokens / APPENDS_PER_SECOND)


class CrashWatch:
    """This node's part in finding requests that crash workers; see `quarantine.crash_reports`.

    Parameters
    ----------
    partition
        Compacted partition that all nodes follow anyway.
    renew_view
        Reads that partition again.
    """

    def __init__(
        self,
        *,
        log: PartitionedLog,
        partition: Partition,
        node: str,
        suspects: CrashHistory,
        workers: WorkerTable,
        probe: Probe,
        renew_view: RenewView,
    ) -> None:
        self._log = log
        self._partition = partition
        self._node = node
        self._suspects = suspects
        self._workers = workers
        self._probe = probe
        self._renew_view = renew_view
        self._losses = PendingLosses()
        self._unpublished: dict[str, list[CrashRecord]] = {}
        self._unappended: dict[str, bytes] = {}
        """By key the value to set, empty to drop it."""
        self._pace = _AppendPace()
        self._work = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._ended_at: dict[str, float] = {}
        self._expired_at = -math.inf

    # Senders' side.

    def known_crashes(self, content: RequestContent) -> int:
        """Return the number of consecutive crashes known of a content."""
        return self._suspects.consecutive_crashes(content)

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent; a suspect's reports are read first."""
        if self._suspects.consecutive_crashes(content) == 0:
            return None
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        renewed = await self._renew_view(MAXIMUM_SUSPECT_VIEW_AGE_SECONDS, SUSPECT_READ_SECONDS)
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        return None if renewed or self._in_first_try(content) else Denial.CRASH_REPORTS_TOO_OLD

    async def connection_lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record that the connection to a worker was lost; find out whether the worker ended."""
        announcement = sent.worker.announcement
        listed = self._workers.lists(announcement.listed_as)
        closed = failure.contact_loss is ContactLoss.CLOSED
        # A leaving worker is listed as draining, or no more, before its connections close. One that
        # is listed under another start has ended.
        leaves = announcement.draining or (closed and not listed)
        if failure.contact_loss is None or leaves:
            return
        loss = LostConnection(
            sent.request_id,
            sent.content.digest,
            WorkerIncarnation(announcement.worker, str(announcement.address)),
            sent.route,
            sent.known_crashes,
            sent.sent_at,
            steady_seconds(),
            time.time(),
        )
        self._losses.add(loss)
        if closed and await self._has_ended(sent.worker):
            for explained in self._losses.ended(announcement.worker):
                self._record_crash(explained)

    def answered(self, content: RequestContent) -> None:
        """Handle a request's answer: it doesn't crash workers, so its ends are forgotten."""
        if not self._suspects.any and not self._losses:
            return
        self._losses.answered(content.digest)
        self._retract(content.digest, "answered")

    def publish(self, content: RequestContent, from_crashes: int = 1) -> None:
        """Publish the crashes of a content to other nodes, if there are at least so many."""
        if self._unpublished and self._suspects.consecutive_crashes(content) >= from_crashes:
            for crash in self._unpublished.pop(content.digest, ()):
                self._append(crash.key, crash.encode())

    async def wait_published(self, content: RequestContent) -> None:
        """Wait until what `publish` was asked for is in the log, for a short time at most."""
        if self._suspects.consecutive_crashes(content):
            with anyio.move_on_after(PUBLISH_WAIT_SECONDS):
                await self._idle.wait()

    # Operators' side.

    @property
    def suspects(self) -> int:
        """Return the number of worker ends remembered."""
        return self._suspects.count

    def quarantined_contents(self) -> list[QuarantinedContent]:
        """Return the contents held back now."""
        return self._suspects.quarantined_contents(time.time())

    def clear_quarantine(self, content: str) -> bool:
        """Retract the worker ends of a content at all nodes; return whether any were known."""
        return self._retract(content, "lifted")

    # Other nodes' reports.

    @staticmethod
    def owns(record: KeyedRecord) -> bool:
        """Whether a record is a report of worker ends."""
        return record.key.startswith(CRASH_KEY_PREFIX)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record."""
        if record.value is None:
            self._suspects.drop(record.key)
            return
        crash = decode_crash_record(record.value)
        if crash is None or crash.key != record.key:
            log_event("crash_strike_unreadable", "warning", key=record.key, offset=record.offset)
            return
        self._take(crash)

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all reports; those that this node has still to append stay in force."""
        self._suspects.replace(())
        for record in records:
            self.apply(record)
        for key, value in self._unappended.items():
            crash = decode_crash_record(value)
            if crash is None:
                self._suspects.drop(key)
            else:
                self._take(crash)
        for crashes in self._unpublished.values():
            for crash in crashes:
                self._take(crash)

    # Periodic work.

    def step(self, now: float) -> None:
        """Look for evidence about lost workers, and expire what no longer matters."""
        if self._losses:
            for loss in self._losses.due(self._workers, now):
                self._record_crash(loss)
                for crash in self._unpublished.pop(loss.content, ()):
                    self._append(crash.key, crash.encode())
        if self._suspects.any and now - self._expired_at > EXPIRE_SECONDS:
            self._expired_at = now
            for crash in self._suspects.expired(time.time()):
                self._append(crash.key, b"")
            self._unpublished = {
                c: ends for c, ends in self._unpublished.items() if c in self._suspects
            }

    async def run(self) -> None:
        """Append reports for other nodes, for ever."""
        while True:
            await self._work.wait()
            while self._unappended:
                await anyio.sleep(self._pace.seconds_until_next(steady_seconds()))
                await self._append_first()
            self._work = anyio.Event()
            self._idle.set()

    async def _append_first(self) -> None:
        # Reports of ends go before retractions of old suspicions.
        key = next(
            (key for key, value in self._unappended.items() if value), next(iter(self._unappended))
        )
        value = self._unappended[key]
        answer = await self._log.append_keyed(self._partition, key, value)
        if answer.is_error():
            # Setting a key twice changes nothing, so an append without an answer is made again.
            log_event("crash_strike_not_told", "warning", key=key, fault=answer.error.fault)
            await anyio.sleep(RETRY_SECONDS)
        elif self._unappended.get(key) is value:
            del self._unappended[key]

    def _append(self, key: str, value: bytes) -> None:
        self._unappended[key] = value
        if len(self._unappended) > MAXIMUM_UNAPPENDED:
            del self._unappended[next(iter(self._unappended))]
        self._idle = anyio.Event() if self._idle.is_set() else self._idle
        self._work.set()

    def _in_first_try(self, content: RequestContent) -> bool:
        """Whether all that is known of a content was seen here, in the try that is under way."""
        unpublished = {crash.worker for crash in self._unpublished.get(content.digest, ())}
        known = {crash.worker for crash in self._suspects.crashes(content)}
        return (
            self._suspects.consecutive_crashes(content) <= MAXIMUM_UNVERIFIED_CRASHES
            and known <= unpublished
        )

    def _record_crash(self, loss: LostConnection) -> None:
        crash = CrashRecord(
            loss.content,
            loss.start.worker,
            loss.start.address,
            next_crash_count(loss.known_crashes),
            int(loss.unix_seconds * 1000),
            self._node,
            loss.route,
        )
        self._unpublished.setdefault(loss.content, []).append(crash)
        self._take(crash)
        log_event(
            "worker_ended_under_request",
            "warning",
            request=loss.request_id,
            content=loss.content,
            worker=loss.start.worker,
            address=loss.start.address,
            route=loss.route,
            ends_in_a_row=crash.consecutive,
            ran_seconds=loss.lost_at - loss.sent_at,
        )

    def _take(self, crash: CrashRecord) -> None:
        if self._suspects.add(crash):
            log_event(
                "request_held_back",
                "warning",
                content=crash.content,
                route=crash.route,
                ends_in_a_row=crash.consecutive,
                told_by=crash.node,
            )

    def _retract(self, content: str, reason: str) -> bool:
        crashes = self._suspects.clear(content)
        unpublished = {crash.key for crash in self._unpublished.pop(content, ())}
        for crash in crashes:
            if crash.key not in unpublished:
                self._append(crash.key, b"")
        if crashes:
            log_event("request_cleared", content=content, reason=reason, ends=len(crashes))
        return bool(crashes)

    async def _has_ended(self, worker: Worker) -> bool:
        """Whether nobody listens at a worker's address; probed once for all requests lost there."""
        name, now = worker.announcement.worker, steady_seconds()
        self._ended_at = {w: at for w, at in self._ended_at.items() if now - at < ENDED_SECONDS}
        if name not in self._ended_at:
            if await self._probe(WorkerTable.target(worker)) is not False:
                return False
            self._ended_at[name] = now
        return True
