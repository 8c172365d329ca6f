"""Sends load commands to engines while this process holds the lease on duties.

Relies on `version_rollouts` for which engine to order and when, and on the lease for the fence.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.duties.duty_lease import DutyLease
from stagewalk.gateway.leases.log_lease import DutyRecord
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.ports.workers import OrderOutcome, VersionOrder, WorkerClient
from stagewalk.gateway.version_rollouts.core import PlannedVersionOrder, VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable

POLL_INTERVAL_SECONDS = 0.1
"""Interval between decisions on what to order."""


class OrderService:
    """Sends load commands to engines, with the fence of the lease, while this process holds it."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        duties: DutyLease,
        rollouts: VersionRollouts,
        workers: WorkerTable,
        client: WorkerClient,
        open_batches: Callable[[], list[Batch]],
    ) -> None:
        self._open_batches = open_batches
        self._identity = identity
        self._duties = duties
        self._rollouts = rollouts
        self._workers = workers
        self._client = client
        self._tasks: anyio.abc.TaskGroup | None = None
        duties.listen_to_orders(self._order_announced)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    async def _run(self) -> None:
        assert self._tasks is not None
        while not self._duties.stopping:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            await self._duties.wait_until_active()
            if self._duties.may_act():
                self._rollouts.record_open_items(self._open_items(), steady_seconds())
                for order in self._rollouts.decide(steady_seconds()):
                    self._rollouts.order_started(order, steady_seconds())
                    self._tasks.start_soon(self._send, order)

    def _open_items(self) -> Counter[str]:
        """Return, by model, how many items of open batches are unfinished."""
        counts: Counter[str] = Counter()
        for batch in self._open_batches():
            counts[batch.header.model] += len(batch.items) - len(batch.listed)
        return counts

    def _order_announced(self, record: DutyRecord) -> None:
        self._rollouts.expect_load(record.subject, record.detail, record.number, steady_seconds())

    async def _send(self, order: PlannedVersionOrder) -> None:
        fence = self._duties.fence
        outcome = await self._order(order, fence)
        now = steady_seconds()
        log_event(
            "version_order",
            worker=order.worker,
            model=order.model,
            version=order.version,
            fence=fence,
            outcome=outcome,
        )
        if outcome is OrderOutcome.FENCED:
            self._duties.handle_fenced(fence)
        if outcome is OrderOutcome.HELD_ALREADY:
            self._record_version(order)
        elif outcome is not OrderOutcome.TAKEN:
            self._rollouts.order_failed(order.worker, now)

    async def _order(self, order: PlannedVersionOrder, fence: int) -> OrderOutcome:
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
        if not self._duties.may_act(fence):
            return OrderOutcome.REFUSED
        announced = DutyRecord(order.worker, order.model, order.version)
        self._duties.announce(announced)
        return await self._client.request_version_change(
            target,
            VersionOrder(
                order.model,
                order.version,
                self._identity.announced_as,
                fence,
                report.ok.orders_taken,
            ),
        )

    def _record_version(self, order: PlannedVersionOrder) -> None:
        worker = self._workers.worker(order.worker)
        if worker is not None:
            worker.versions[order.model] = max(worker.versions.get(order.model, 0), order.version)
