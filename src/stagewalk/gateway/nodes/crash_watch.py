"""Detects requests that crash workers, and exchanges crash reports with the other nodes.

Keeps this node's evidence, limits the rate of its appends, and decides whether a suspected request
may be sent. Relies on `quarantine` for the decisions and on the nodes' partition, which all nodes
follow.
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
"""Returns whether a process listens at a worker's address; None if that is unknown."""

RenewView = Callable[[float, float], Awaitable[bool]]
"""Returns whether the view of the nodes' partition is at most this many seconds old. Reads the
partition if it is older, for at most the number of seconds in the second argument."""

MAXIMUM_SUSPECT_VIEW_AGE_SECONDS = 0.0
SUSPECT_READ_SECONDS = 0.3
"""A suspected request is sent only after another read of the other nodes' reports, since callers
retry within 0.2 s and a node's view is up to 1.2 s old. `SUSPECT_READ_SECONDS` is the
read's time-out."""

MAXIMUM_UNVERIFIED_CRASHES = 1
"""If that read fails, a request with at most this many consecutive crashes is still sent, but only
within the call during which the worker crashed. Most such requests did not cause the crash, and
their second attempt succeeds."""

PUBLISH_WAIT_SECONDS = 0.25
"""How long an answer to a caller is delayed until the crash report is in the log, so that all nodes
know of it when the caller retries. The log answers within 0.01 s."""

RETRY_SECONDS = 0.25
"""Delay before a failed append is retried."""

MAXIMUM_UNAPPENDED = 256
"""Maximum number of reports waiting to be appended; the oldest are dropped first."""

BURST_APPENDS = 8.0
APPENDS_PER_SECOND = 4.0
"""Limits a node's appends while many workers crash at once, such as in a power loss of a zone. A
node that serves 8 requests a second has one or two in flight then."""

ENDED_SECONDS = 1.0
"""How long a worker found to have ended isn't probed again, so that requests lost together share a
probe. Short, since connections to workers that are alive may be refused while a node is cut off."""

EXPIRE_SECONDS = 10.0
"""Interval between searches for expired crash records; one over 2,048 records takes some 4 ms."""


@dataclass(slots=True)
class _AppendRateLimit:
    """Token bucket for appends."""

    tokens: float = BURST_APPENDS
    refilled_at: float = field(default_factory=steady_seconds)

    def seconds_until_next(self, now: float) -> float:
        """Consume a token; return how many seconds to wait for it."""
        gained = (now - self.refilled_at) * APPENDS_PER_SECOND
        self.tokens = min(BURST_APPENDS, self.tokens + gained) - 1.0
        self.refilled_at = now
        return max(0.0, -self.tokens / APPENDS_PER_SECOND)


class CrashWatch:
    """Finds requests that crash workers, together with the other nodes; see `quarantine`.

    Parameters
    ----------
    partition
        Compacted partition that all nodes follow.
    renew_view
        Reads that partition if the view of it is too old.
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
        """Values to append, by key; an empty value deletes the key."""
        self._rate_limit = _AppendRateLimit()
        self._work = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._ended_at: dict[str, float] = {}
        self._expired_at = -math.inf

    # Called by senders of requests.

    def known_crashes(self, content: RequestContent) -> int:
        """Return the number of consecutive crashes known of a content."""
        return self._suspects.consecutive_crashes(content)

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent, None if it may be sent.

        For a suspected request the other nodes' reports are read first.
        """
        if self._suspects.consecutive_crashes(content) == 0:
            return None
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        renewed = await self._renew_view(MAXIMUM_SUSPECT_VIEW_AGE_SECONDS, SUSPECT_READ_SECONDS)
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        return (
            None if renewed or self._may_send_unverified(content) else Denial.CRASH_REPORTS_TOO_OLD
        )

    async def connection_lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record that the connection to a worker was lost; find out whether the worker ended."""
        announcement = sent.worker.announcement
        listed = self._workers.lists(announcement.listed_as)
        closed = failure.contact_loss is ContactLoss.CLOSED
        # A worker that shuts down is listed as draining, or no longer listed, before it closes its
        # connections. A worker that is listed under another incarnation has crashed.
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
        """Record that a request was answered: it doesn't crash workers, so drop its crashes."""
        if not self._suspects.any and not self._losses:
            return
        self._losses.answered(content.digest)
        self._retract(content.digest, "answered")

    def publish(self, content: RequestContent, from_crashes: int = 1) -> None:
        """Publish a content's crashes to other nodes if at least `from_crashes` are known."""
        if self._unpublished and self._suspects.consecutive_crashes(content) >= from_crashes:
            for crash in self._unpublished.pop(content.digest, ()):
                self._append(crash.key, crash.encode())

    async def wait_published(self, content: RequestContent) -> None:
        """Wait up to `PUBLISH_WAIT_SECONDS` until published crashes are in the log."""
        if self._suspects.consecutive_crashes(content):
            with anyio.move_on_after(PUBLISH_WAIT_SECONDS):
                await self._idle.wait()

    # Called on behalf of operators.

    @property
    def suspects(self) -> int:
        """Return the number of crash records kept."""
        return self._suspects.count

    def quarantined_contents(self) -> list[QuarantinedContent]:
        """Return the contents in quarantine now."""
        return self._suspects.quarantined_contents(time.time())

    def clear_quarantine(self, content: str) -> bool:
        """Retract a content's crash reports at all nodes; return whether any were known."""
        return self._retract(content, "lifted")

    # Reports read from the log.

    @staticmethod
    def owns(record: KeyedRecord) -> bool:
        """Whether a record is a crash report."""
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
        self._add_crash(crash)

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all reports, except for changes that this node has not appended yet."""
        self._suspects.replace(())
        for record in records:
            self.apply(record)
        for key, value in self._unappended.items():
            crash = decode_crash_record(value)
            if crash is None:
                self._suspects.drop(key)
            else:
                self._add_crash(crash)
        for crashes in self._unpublished.values():
            for crash in crashes:
                self._add_crash(crash)

    # Periodic work.

    def step(self, now: float) -> None:
        """Record a crash for each lost connection to an unlisted worker; expire old records."""
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
        """Append queued reports until cancelled."""
        while True:
            await self._work.wait()
            while self._unappended:
                await anyio.sleep(self._rate_limit.seconds_until_next(steady_seconds()))
                await self._append_first()
            self._work = anyio.Event()
            self._idle.set()

    async def _append_first(self) -> None:
        # Crash reports are appended before retractions.
        key = next(
            (key for key, value in self._unappended.items() if value), next(iter(self._unappended))
        )
        value = self._unappended[key]
        answer = await self._log.append_keyed(self._partition, key, value)
        if answer.is_error():
            # Setting a key is idempotent, so an append without an answer is repeated.
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

    def _may_send_unverified(self, content: RequestContent) -> bool:
        """Whether a content may be sent although other nodes' reports could not be read.

        It may if all its crashes belong to the call under way: they aren't published yet.
        """
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
        self._add_crash(crash)
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

    def _add_crash(self, crash: CrashRecord) -> None:
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
        """Whether no process listens at a worker's address; `ENDED_SECONDS` limits the probes."""
        name, now = worker.announcement.worker, steady_seconds()
        self._ended_at = {w: at for w, at in self._ended_at.items() if now - at < ENDED_SECONDS}
        if name not in self._ended_at:
            if await self._probe(WorkerTable.target(worker)) is not False:
                return False
            self._ended_at[name] = now
        return True
