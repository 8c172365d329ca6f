"""Counts requests that begin to run here; reports all nodes' usage while the lease is held.

Owns the topic of usage counts. Relies on `usage` for sums and for when a window is reported.
"""

from __future__ import annotations

import math
import time

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.duties.duty_lease import DutyLease
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.partitioned_log.appender import PartitionAppender
from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.ports.duties import DutyClient, DutyHolder, DutyOutcome, UsageReport
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog, PartitionRecord
from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import UsageMeter
from stagewalk.gateway.usage.records import decode_counts, decode_usage, encode_counts
from stagewalk.gateway.usage.reporting import SendReport, UsageReporting, WriteReport
from stagewalk.gateway.usage.wall_clock import WallClock

USAGE_PARTITION = Partition("usage", 0)
PLAN_PREFIX = "usage"
APPEND_PAUSE_SECONDS = 0.25
"""How long counts are collected before they are appended to the log. A killed process loses at most
the counts of this time, a twentieth of a usage window of 5 s."""

POLL_INTERVAL_SECONDS = 0.25
"""Interval between decisions on what to report."""

READ_PAUSE_SECONDS = 0.5
"""Pause between two reads of the counts."""

SETTLE_SECONDS = 1.5
"""How long after a failed read or an outage of the log other nodes' counts may still be missing."""


class UsageService:
    """Counts this process's requests; reports all nodes' counts while it holds the lease."""

    def __init__(
        self,
        *,
        log: PartitionedLog,
        identity: OwnIdentity,
        duties: DutyLease,
        client: DutyClient,
        producer: str,
        call_bytes: int,
        window_seconds: float,
        due_seconds: float,
    ) -> None:
        self._identity = identity
        self._duties = duties
        self._client = client
        self._clock = WallClock(time.time(), steady_seconds())
        self._meter = UsageMeter(producer, window_seconds)
        self._account = UsageAccount()
        self._reporting = UsageReporting(window_seconds, due_seconds)
        self._follower = PartitionFollower(log, USAGE_PARTITION, self._apply, READ_PAUSE_SECONDS)
        self._follower.pause()
        self._appender = PartitionAppender(log, USAGE_PARTITION, producer, call_bytes)
        self._counted = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        duties.listen_to_plans(PLAN_PREFIX, self._written)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start."""
        self._tasks = tasks
        tasks.start_soon(self._appender.run)
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._append_counts)
        tasks.start_soon(self._report)

    @property
    def idle(self) -> bool:
        """Whether all counts are in the log."""
        return self._appender.idle and not self._meter.changed

    def count(self, tenant: str | None, began: float) -> None:
        """Count a tenant's request that began to run at a time of the steady clock."""
        if tenant:
            self._meter.count(tenant, self._clock.at(began))
            self._counted.set()

    def sample_clock(self) -> None:
        """Sample the time of day and the steady clock."""
        self._clock.sample(time.time(), steady_seconds())

    async def _append_counts(self) -> None:
        while True:
            await self._counted.wait()
            await anyio.sleep(APPEND_PAUSE_SECONDS)
            self._counted = anyio.Event()
            self._appender.post([record.encode() for record in self._meter.take_records()])

    async def _report(self) -> None:
        held_since: float | None = None
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            await self._duties.wait_until_active()
            if not self._duties.held:
                self._follower.pause()
                held_since = None
                continue
            if held_since is None:
                held_since = steady_seconds()
                self._follower.resume()
            # Counts that were appended before this process held the lease are read first.
            read = self._follower.freshness.confirmed_at >= held_since
            if read and self._duties.may_act():
                await self._step()

    async def _step(self) -> None:
        now = steady_seconds()
        for step in self._reporting.decide(
            self._account, self._clock.at(now), now, self._counts_complete_until(now)
        ):
            match step:
                case WriteReport():
                    await self._write(step)
                case SendReport():
                    self._send_soon(step)

    def _counts_complete_until(self, now: float) -> float:
        """Return the time of day up to which the counts of all nodes are known."""
        freshness = self._follower.freshness
        if not freshness.ever_confirmed or now - freshness.disturbed_at < SETTLE_SECONDS:
            return -math.inf
        return self._clock.at(freshness.confirmed_at)

    async def _write(self, step: WriteReport) -> None:
        fence = self._duties.fence
        content = encode_counts(step.counts)
        stands = await self._duties.write(f"{PLAN_PREFIX}/{step.window}", content, fence)
        log_event(
            "usage_written",
            "info" if stands else "warning",
            window=step.window,
            requests=sum(step.counts.values()),
            tenants=len(step.counts),
            fence=fence,
            stands=stands,
        )

    def _send_soon(self, step: SendReport) -> None:
        assert self._tasks is not None
        self._reporting.mark_sending(step.window)
        self._tasks.start_soon(self._send, step)

    async def _send(self, step: SendReport) -> None:
        fence = self._duties.fence
        if self._duties.may_act(fence):
            holder = DutyHolder(self._identity.announced_as, fence)
            report = UsageReport(step.window, step.counts)
            outcome = await self._client.report_usage(holder, report)
        else:
            outcome = DutyOutcome.REFUSED
        self._reporting.sent(step.window, outcome, steady_seconds())
        if outcome is DutyOutcome.CONFLICT:
            self._duties.handle_fenced(fence)
        log_event(
            "usage_reported",
            "info" if outcome is DutyOutcome.DONE else "warning",
            window=step.window,
            requests=sum(step.counts.values()),
            fence=fence,
            outcome=outcome,
        )

    def _written(self, subject: str, content: bytes) -> None:
        window = subject.partition("/")[2]
        counts = decode_counts(content)
        if window.isdecimal() and counts is not None:
            self._reporting.apply_written_report(int(window), counts)

    def _apply(self, record: PartitionRecord) -> None:
        counted = decode_usage(record.payload)
        if counted is None:
            log_event(
                "record_unreadable", "warning", topic=USAGE_PARTITION.topic, offset=record.offset
            )
        else:
            self._account.apply(counted)
