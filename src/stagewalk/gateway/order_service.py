"""Brings named weight versions to the engines, while this process holds the lease on orders."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from stagewalk.gateway.identity import ProcessId
from stagewalk.leases.log_lease import (
    Acquire,
    DutyRecord,
    LeaseRecord,
    LogLease,
    Renew,
    decode_lease_record,
)
from stagewalk.logs.lines import log_event
from stagewalk.partitioned_log.appender import PartitionAppender
from stagewalk.partitioned_log.follower import PartitionFollower
from stagewalk.ports.partitioned_log import Partition, PartitionedLog, PartitionRecord
from stagewalk.ports.workers import OrderOutcome, VersionOrder, WorkerClient
from stagewalk.version_rollouts.core import OrderVersion, VersionRollouts
from stagewalk.workers.table import WorkerTable

TOPIC = "leases"
ORDERS_PARTITION = 0
STEP_SECONDS = 0.1
CURRENT_SECONDS = 1.0
RENEW_TIMEOUT_SECONDS = 3.0
CATCH_UP_SECONDS = 0.5


class OrderService:
    """Follows the lease's records, keeps or seeks it, and sends orders under its fence."""

    def __init__(
        self,
        *,
        log: PartitionedLog,
        identity: ProcessId,
        lease: LogLease,
        rollouts: VersionRollouts,
        workers: WorkerTable,
        client: WorkerClient,
        producer: str,
        call_bytes: int,
        wait_until_active: Callable[[], Awaitable[None]],
    ) -> None:
        partition = Partition(TOPIC, ORDERS_PARTITION)
        self._log = log
        self._partition = partition
        self._identity = identity
        self._lease = lease
        self._rollouts = rollouts
        self._workers = workers
        self._client = client
        self._follower = PartitionFollower(log, partition, self._apply, pause_seconds=0.02)
        self._appender = PartitionAppender(log, partition, producer, call_bytes)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._wait_until_active = wait_until_active
        self._stopping = False
        self._follower.pause()

    @property
    def holds_lease(self) -> bool:
        """Whether this process holds the lease, or held it last and nobody took it."""
        return self._lease.held

    def set_following(self, following: bool) -> None:
        """Follow the lease's records from now on, or no more."""
        if following:
            self._follower.resume()
        else:
            self._follower.pause()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start."""
        self._tasks = tasks
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._appender.run)
        tasks.start_soon(self._run)

    def set_quiet(self, seconds: float) -> None:
        """Change how long nobody orders between two holders."""
        self._lease.set_quiet(seconds)

    def stop(self) -> None:
        """Give the lease up and seek it no more."""
        self._stopping = True
        released = self._lease.release()
        if released is not None:
            self._appender.post([released.record.encode()])
            log_event("lease_released", fence=self._lease.fence)

    async def _run(self) -> None:
        assert self._tasks is not None
        while not self._stopping:
            await anyio.sleep(STEP_SECONDS)
            await self._wait_until_active()
            if self._stopping:
                return
            now = time.monotonic()
            await self._keep_lease(now)
            if self._lease.may_act(time.monotonic()):
                for order in self._rollouts.decide(time.monotonic()):
                    self._rollouts.order_started(order, time.monotonic())
                    self._tasks.start_soon(self._send, order)

    async def _keep_lease(self, now: float) -> None:
        assert self._tasks is not None
        age = self._follower.freshness.age(now)
        step = self._lease.decide(now, current=age < CURRENT_SECONDS)
        if isinstance(step, Renew):
            self._tasks.start_soon(self._renew, step)
        elif isinstance(step, Acquire) and await self._follower.catch_up(CATCH_UP_SECONDS):
            step = self._lease.decide(time.monotonic(), current=True)
            if isinstance(step, Acquire):
                await self._acquire(step)

    async def _acquire(self, step: Acquire) -> None:
        sent_at = time.monotonic()
        answer = await self._log.append_at(self._partition, step.record.encode(), step.end)
        log_event(
            "lease_acquire",
            end=step.end,
            outcome="won" if answer.is_ok() else answer.error.fault.value,
        )
        await self._follower.catch_up(CATCH_UP_SECONDS)
        if answer.is_ok():
            self._lease.renewal_taken(sent_at, answer.ok)

    async def _renew(self, step: Renew) -> None:
        sent_at = time.monotonic()
        answer = await self._appender.append([step.record.encode()], RENEW_TIMEOUT_SECONDS)
        if answer.is_ok():
            self._lease.renewal_taken(sent_at, step.record.fence)

    def _apply(self, record: PartitionRecord) -> None:
        decoded = decode_lease_record(record.payload)
        before = self._lease.holder
        self._lease.skip(record.offset + 1)
        if isinstance(decoded, DutyRecord):
            now = time.monotonic()
            self._rollouts.expect_load(decoded.subject, decoded.detail, decoded.number, now)
        if not isinstance(decoded, LeaseRecord):
            return
        self._lease.apply(record.offset, decoded, time.monotonic())
        if self._lease.holder != before:
            log_event("lease_held", holder=self._lease.holder, fence=self._lease.fence)

    async def _send(self, order: OrderVersion) -> None:
        fence = self._lease.fence
        outcome = await self._order(order, fence)
        now = time.monotonic()
        log_event(
            "version_order",
            worker=order.worker,
            model=order.model,
            version=order.version,
            fence=fence,
            outcome=outcome,
        )
        if outcome is OrderOutcome.FENCED:
            self._lease.overtaken(fence)
        if outcome is OrderOutcome.HELD_ALREADY:
            self._note_version(order)
        elif outcome is not OrderOutcome.TAKEN:
            self._rollouts.order_failed(order.worker, now)

    async def _order(self, order: OrderVersion, fence: int) -> OrderOutcome:
        worker = self._workers.worker(order.worker)
        if worker is None:
            return OrderOutcome.REFUSED
        target = WorkerTable.target(worker)
        report = await self._client.report(target)
        if report.is_error():
            return OrderOutcome.REFUSED
        worker.versions.update(report.ok.versions)
        if report.ok.ordering:
            return OrderOutcome.CONFLICT
        if report.ok.versions.get(order.model, 0) >= order.version:
            return OrderOutcome.HELD_ALREADY
        if fence != self._lease.fence or not self._lease.may_act(time.monotonic()):
            return OrderOutcome.REFUSED
        announced = DutyRecord(order.worker, order.model, order.version)
        self._appender.post([announced.encode()])
        return await self._client.order_version(
            target,
            VersionOrder(
                order.model,
                order.version,
                str(self._identity),
                fence,
                report.ok.orders_taken,
            ),
        )

    def _note_version(self, order: OrderVersion) -> None:
        worker = self._workers.worker(order.worker)
        if worker is not None:
            worker.versions[order.model] = max(worker.versions.get(order.model, 0), order.version)
