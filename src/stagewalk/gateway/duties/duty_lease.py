"""Acquires and renews the lease on duties, and writes its holder's plans to the log.

Owns the partition of the lease: one follower and one appender. Relies on `leases.log_lease` for the
decisions. Services of duties check `may_act` before each call they make.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.leases.log_lease import (
    LEASE_SECONDS,
    Acquire,
    DutyRecord,
    LeaseRecord,
    LogLease,
    PlanRecord,
    Renew,
    decode_lease_record,
)
from stagewalk.gateway.partitioned_log.appender import PartitionAppender
from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog, PartitionRecord

LEASES_TOPIC = "leases"
DUTIES_PARTITION = 0
POLL_INTERVAL_SECONDS = 0.1
"""Interval between decisions on the lease."""

MAXIMUM_CURRENT_VIEW_AGE_SECONDS = 1.0
"""The lease is acquired only with a view of its records at most this old."""

APPEND_SECONDS = 3.0
"""Time-out of appending a renewal or a plan."""

CATCH_UP_TIMEOUT_SECONDS = 0.5
"""Time-out of reading all records before a decision."""

READ_PAUSE_SECONDS = 0.02
"""Pause between two reads of the records."""

READ_BACK_SECONDS = 0.02
"""Interval between checks whether a renewal was read back; equal to `READ_PAUSE_SECONDS`."""

OrderListener = Callable[[DutyRecord], None]
PlanListener = Callable[[str, bytes], None]
"""Handles a valid plan: its subject and its content."""


class DutyLease:
    """Acquires the lease on duties and renews it while it is held.

    There is one lease for all duties: its holder sends orders to engines, orders workers and
    reports usage. Each duty's service checks `may_act` before each call, with the fence under which
    it decided.
    """

    def __init__(
        self,
        *,
        log: PartitionedLog,
        lease: LogLease,
        producer: str,
        call_bytes: int,
    ) -> None:
        partition = Partition(LEASES_TOPIC, DUTIES_PARTITION)
        self._log = log
        self._partition = partition
        self._lease = lease
        self._follower = PartitionFollower(
            log,
            partition,
            self._apply,
            pause_seconds=READ_PAUSE_SECONDS,
            on_gap=lambda: lease.record_gap(steady_seconds()),
        )
        self._appender = PartitionAppender(log, partition, producer, call_bytes)
        self._followed = anyio.Event()
        self._plan_listeners: dict[str, PlanListener] = {}
        self._order_listeners: list[OrderListener] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._stopping = False
        self._follower.pause()

    @property
    def held(self) -> bool:
        """Whether this process is the current or last holder and has not released the lease."""
        return self._lease.held

    @property
    def fence(self) -> int:
        """Return the fence of the current or last holder."""
        return self._lease.fence

    @property
    def stopping(self) -> bool:
        """Whether this process has stopped acquiring the lease."""
        return self._stopping

    def may_act(self, fence: int | None = None) -> bool:
        """Whether this process may act as the holder now, under the given fence if there is one."""
        same = fence is None or fence == self._lease.fence
        return same and self._lease.may_act(steady_seconds())

    def handle_fenced(self, fence: int) -> None:
        """Stop acting under a fence, since a receiver has seen a higher one."""
        self._lease.handle_fenced(fence)

    def listen_to_orders(self, listener: OrderListener) -> None:
        """Register a listener for the orders to engines that a holder announces."""
        self._order_listeners.append(listener)

    def listen_to_plans(self, prefix: str, listener: PlanListener) -> None:
        """Register a listener for plans whose subject begins with a prefix and a slash."""
        self._plan_listeners[prefix] = listener

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start."""
        self._tasks = tasks
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._appender.run)
        tasks.start_soon(self._run)

    def set_following(self, following: bool) -> None:
        """Start or stop following the lease's records and acquiring the lease."""
        if following:
            self._follower.resume()
            self._followed.set()
        else:
            self._follower.pause()
            self._followed = anyio.Event()

    @property
    def following(self) -> bool:
        """Whether this process follows the lease's records."""
        return self._followed.is_set()

    def set_quiet_seconds(self, seconds: float) -> None:
        """Set the quiet time between two holders, in seconds."""
        self._lease.set_quiet_seconds(seconds)

    def stop(self) -> None:
        """Release the lease and stop acquiring it."""
        self._stopping = True
        released = self._lease.release()
        if released is not None:
            self._appender.post([released.record.encode()])
            log_event("lease_released", fence=self._lease.fence)

    def announce(self, record: DutyRecord) -> None:
        """Announce an order to the other processes before it is sent."""
        self._appender.post([record.encode()])

    async def wait_until_active(self) -> None:
        """Wait until this process follows the records of the lease."""
        await self._followed.wait()

    async def write(self, subject: str, content: bytes, fence: int) -> bool:
        """Append a plan under a fence; return whether it is valid.

        It is valid if the log accepted it and, as the records up to it show, no other process had
        acquired the lease by then.
        """
        record = PlanRecord(fence, subject, content)
        answer = await self._appender.append([record.encode()], APPEND_SECONDS)
        if answer.is_error():
            return False
        caught_up = await self._follower.catch_up(CATCH_UP_TIMEOUT_SECONDS)
        read = caught_up and self._follower.next_offset > answer.ok
        return read and fence == self._lease.fence

    async def _run(self) -> None:
        while not self._stopping:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            await self._followed.wait()
            if not self._stopping:
                await self._maintain(steady_seconds())

    async def _maintain(self, now: float) -> None:
        assert self._tasks is not None
        age = self._follower.freshness.age(now)
        step = self._lease.decide(now, current=age < MAXIMUM_CURRENT_VIEW_AGE_SECONDS)
        if isinstance(step, Renew):
            self._tasks.start_soon(self._renew, step)
        elif isinstance(step, Acquire) and await self._follower.catch_up(CATCH_UP_TIMEOUT_SECONDS):
            step = self._lease.decide(steady_seconds(), current=True)
            if isinstance(step, Acquire):
                await self._acquire(step)

    async def _acquire(self, step: Acquire) -> None:
        sent_at = steady_seconds()
        answer = await self._log.append_at(self._partition, step.record.encode(), step.end)
        log_event(
            "lease_acquire",
            end=step.end,
            outcome="won" if answer.is_ok() else answer.error.fault.value,
        )
        await self._follower.catch_up(CATCH_UP_TIMEOUT_SECONDS)
        if answer.is_ok():
            self._lease.record_accepted(sent_at, answer.ok)

    async def _renew(self, step: Renew) -> None:
        sent_at = steady_seconds()
        answer = await self._appender.append([step.record.encode()], APPEND_SECONDS)
        if answer.is_ok() and await self._has_read(answer.ok):
            self._lease.record_accepted(sent_at, step.record.fence)

    async def _has_read(self, offset: int) -> bool:
        """Wait until the records up to an offset were read, which may include another holder's."""
        with anyio.move_on_after(LEASE_SECONDS):
            while self._follower.next_offset <= offset:
                await anyio.sleep(READ_BACK_SECONDS)
        return self._follower.next_offset > offset

    def _apply(self, record: PartitionRecord) -> None:
        decoded = decode_lease_record(record.payload)
        before = self._lease.holder
        self._lease.skip(record.offset + 1)
        match decoded:
            case DutyRecord():
                for listener in self._order_listeners:
                    listener(decoded)
            case PlanRecord():
                self._apply_plan(decoded)
            case LeaseRecord():
                self._lease.apply(record.offset, decoded, steady_seconds())
                if self._lease.holder != before:
                    log_event("lease_held", holder=self._lease.holder, fence=self._lease.fence)

    def _apply_plan(self, plan: PlanRecord) -> None:
        prefix = plan.subject.partition("/")[0]
        listener = self._plan_listeners.get(prefix)
        if plan.fence != self._lease.fence:
            log_event("plan_void", "warning", subject=plan.subject, fence=plan.fence)
        elif listener is not None:
            listener(plan.subject, plan.content)
