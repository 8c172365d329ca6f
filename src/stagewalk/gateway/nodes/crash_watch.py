"""Finds out which requests crash workers, and exchanges that with the other nodes."""

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
from stagewalk.gateway.quarantine.core import CrashSuspects, HeldContent, next_level
from stagewalk.gateway.quarantine.crash_reports import SentRequest
from stagewalk.gateway.quarantine.losses import Loss, LossWatch, WorkerStart
from stagewalk.gateway.quarantine.records import KEY_PREFIX, CrashStrike, decode_strike
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

Probe = Callable[[WorkerTarget], Awaitable[bool | None]]
"""Tells whether anybody listens at a worker's address; None if that can't be told."""

RenewView = Callable[[float, float], Awaitable[bool]]
"""Reads what nodes tell each other if the view is older than a time, within another time."""

SUSPECT_VIEW_SECONDS = 0.0
SUSPECT_READ_SECONDS = 0.3
"""A suspect is sent only after one more read of what other nodes tell: its caller comes back within
a fifth of a second, and the views of nodes are up to 1.2 s old. Without an answer in so long it
isn't sent: in a soak whose store answered late, nine workers ended under one, five too late."""

UNVERIFIED_LEVEL = 1
"""The highest level that is sent although nothing newer could be read, and only within the try in
which the worker ended: most of those are bystanders, whose second attempt is served."""

TOLD_SECONDS = 0.25
"""How long a caller's answer waits for that news to be in the log, so that its next try meets it.
The log answers within 0.01 s."""

RETRY_SECONDS = 0.25
MOST_UNSENT = 256
BURST_APPENDS = 8.0
APPENDS_PER_SECOND = 4.0
"""Bounds what a node appends while many workers end at once. A node that serves 8 requests a second
has one or two under way as a zone loses power."""

ENDED_SECONDS = 1.0
"""How long a worker that was found ended needs no other probe: requests lost together share one. A
node that was cut off is refused at workers that live, so it asks again after that."""

EXPIRE_SECONDS = 10.0
"""Between two looks for what may be forgotten: one over 2,048 ends takes some 4 ms."""


@dataclass(slots=True)
class _AppendPace:
    """A token bucket of appends."""

    tokens: float = BURST_APPENDS
    filled_at: float = field(default_factory=steady_seconds)

    def seconds_until_next(self, now: float) -> float:
        """Take a token; return how long to wait for it."""
        gained = (now - self.filled_at) * APPENDS_PER_SECOND
        self.tokens = min(BURST_APPENDS, self.tokens + gained) - 1.0
        self.filled_at = now
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
        suspects: CrashSuspects,
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
        self._losses = LossWatch()
        self._untold: dict[str, list[CrashStrike]] = {}
        self._unsent: dict[str, bytes] = {}
        """By key the value to set, empty to drop it."""
        self._pace = _AppendPace()
        self._work = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._ended_at: dict[str, float] = {}
        self._expired_at = -math.inf

    # What senders ask and tell.

    def known_level(self, content: RequestContent) -> int:
        """Return how many worker ends in a row are known of a content."""
        return self._suspects.level(content)

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent; of a suspect, newer news is asked for first."""
        if self._suspects.level(content) == 0:
            return None
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        renewed = await self._renew_view(SUSPECT_VIEW_SECONDS, SUSPECT_READ_SECONDS)
        if self._suspects.held(content, time.time(), item=item):
            return Denial.CRASHES_WORKERS
        return None if renewed or self._in_first_try(content) else Denial.CRASH_NEWS_TOO_OLD

    async def lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Take that contact with a worker was lost, and find out whether the worker ended."""
        announcement = sent.worker.announcement
        listed = self._workers.lists(announcement.listed_as)
        closed = failure.contact_loss is ContactLoss.CLOSED
        # One that leaves is listed as draining, or no more, before its connections close. One that
        # is listed under another start has ended.
        leaves = announcement.draining or (closed and not listed)
        if failure.contact_loss is None or leaves:
            return
        loss = Loss(
            sent.request_id,
            sent.content.digest,
            WorkerStart(announcement.worker, str(announcement.address)),
            sent.route,
            sent.known_level,
            sent.sent_at,
            steady_seconds(),
            time.time(),
        )
        self._losses.add(loss)
        if closed and await self._has_ended(sent.worker):
            for explained in self._losses.ended(announcement.worker):
                self._strike(explained)

    def answered(self, content: RequestContent) -> None:
        """Take that a worker ran a request to an answer: it doesn't crash whoever runs it."""
        if not self._suspects.any and not self._losses:
            return
        self._losses.answered(content.digest)
        self._retract(content.digest, "answered")

    def tell(self, content: RequestContent, from_level: int = 1) -> None:
        """Have other nodes learn of the worker ends of a content, if there are so many."""
        if self._untold and self._suspects.level(content) >= from_level:
            for strike in self._untold.pop(content.digest, ()):
                self._append(strike.key, strike.encode())

    async def told(self, content: RequestContent) -> None:
        """Wait until others can learn what `tell` was asked for, for a short time at most."""
        if self._suspects.level(content):
            with anyio.move_on_after(TOLD_SECONDS):
                await self._idle.wait()

    # What operators ask.

    @property
    def suspects(self) -> int:
        """Return the number of worker ends remembered."""
        return self._suspects.count

    def held_contents(self) -> list[HeldContent]:
        """Return what is held back now."""
        return self._suspects.held_contents(time.time())

    def lift(self, content: str) -> bool:
        """Have all nodes forget the worker ends of a content; return whether any were known."""
        return self._retract(content, "lifted")

    # What other nodes tell.

    @staticmethod
    def owns(record: KeyedRecord) -> bool:
        """Whether a record tells of worker ends."""
        return record.key.startswith(KEY_PREFIX)

    def apply(self, record: KeyedRecord) -> None:
        """Take one record."""
        if record.value is None:
            self._suspects.drop(record.key)
            return
        strike = decode_strike(record.value)
        if strike is None or strike.key != record.key:
            log_event("crash_strike_unreadable", "warning", key=record.key, offset=record.offset)
            return
        self._take(strike)

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take all records; what this node has still to tell goes before them."""
        self._suspects.replace(())
        for record in records:
            self.apply(record)
        for key, value in self._unsent.items():
            strike = decode_strike(value)
            if strike is None:
                self._suspects.drop(key)
            else:
                self._take(strike)
        for strikes in self._untold.values():
            for strike in strikes:
                self._take(strike)

    # What time brings.

    def step(self, now: float) -> None:
        """Look for evidence about lost workers, and forget what no longer matters."""
        if self._losses:
            for loss in self._losses.due(self._workers, now):
                self._strike(loss)
                for strike in self._untold.pop(loss.content, ()):
                    self._append(strike.key, strike.encode())
        if self._suspects.any and now - self._expired_at > EXPIRE_SECONDS:
            self._expired_at = now
            for strike in self._suspects.expired(time.time()):
                self._append(strike.key, b"")
            self._untold = {c: ends for c, ends in self._untold.items() if c in self._suspects}

    async def run(self) -> None:
        """Append what other nodes are to learn, for ever."""
        while True:
            await self._work.wait()
            while self._unsent:
                await anyio.sleep(self._pace.seconds_until_next(steady_seconds()))
                await self._append_first()
            self._work = anyio.Event()
            self._idle.set()

    async def _append_first(self) -> None:
        # An end that others must learn of doesn't wait for the end of old suspicions.
        key = next((key for key, value in self._unsent.items() if value), next(iter(self._unsent)))
        value = self._unsent[key]
        answer = await self._log.append_keyed(self._partition, key, value)
        if answer.is_error():
            # Setting a key twice changes nothing, so an append without an answer is made again.
            log_event("crash_strike_not_told", "warning", key=key, fault=answer.error.fault)
            await anyio.sleep(RETRY_SECONDS)
        elif self._unsent.get(key) is value:
            del self._unsent[key]

    def _append(self, key: str, value: bytes) -> None:
        self._unsent[key] = value
        if len(self._unsent) > MOST_UNSENT:
            del self._unsent[next(iter(self._unsent))]
        self._idle = anyio.Event() if self._idle.is_set() else self._idle
        self._work.set()

    def _in_first_try(self, content: RequestContent) -> bool:
        """Whether all that is known of a content was seen here, in the try that is under way."""
        untold = {strike.worker for strike in self._untold.get(content.digest, ())}
        known = {strike.worker for strike in self._suspects.strikes(content)}
        return self._suspects.level(content) <= UNVERIFIED_LEVEL and known <= untold

    def _strike(self, loss: Loss) -> None:
        strike = CrashStrike(
            loss.content,
            loss.start.worker,
            loss.start.address,
            next_level(loss.known_level),
            int(loss.unix_seconds * 1000),
            self._node,
            loss.route,
        )
        self._untold.setdefault(loss.content, []).append(strike)
        self._take(strike)
        log_event(
            "worker_ended_under_request",
            "warning",
            request=loss.request_id,
            content=loss.content,
            worker=loss.start.worker,
            address=loss.start.address,
            route=loss.route,
            ends_in_a_row=strike.level,
            ran_seconds=loss.lost_at - loss.sent_at,
        )

    def _take(self, strike: CrashStrike) -> None:
        if self._suspects.add(strike):
            log_event(
                "request_held_back",
                "warning",
                content=strike.content,
                route=strike.route,
                ends_in_a_row=strike.level,
                told_by=strike.node,
            )

    def _retract(self, content: str, reason: str) -> bool:
        strikes = self._suspects.clear(content)
        untold = {strike.key for strike in self._untold.pop(content, ())}
        for strike in strikes:
            if strike.key not in untold:
                self._append(strike.key, b"")
        if strikes:
            log_event("request_cleared", content=content, reason=reason, ends=len(strikes))
        return bool(strikes)

    async def _has_ended(self, worker: Worker) -> bool:
        """Whether nobody listens at a worker's address; asked once for all that is lost there."""
        name, now = worker.announcement.worker, steady_seconds()
        self._ended_at = {w: at for w, at in self._ended_at.items() if now - at < ENDED_SECONDS}
        if name not in self._ended_at:
            if await self._probe(WorkerTable.target(worker)) is not False:
                return False
            self._ended_at[name] = now
        return True
