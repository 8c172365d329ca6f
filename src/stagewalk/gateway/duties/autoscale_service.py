"""Orders workers from the platform while this process holds the lease on duties.

Relies on `autoscaling` for the counts. Each order is written to the log as a plan before it is
sent, so that the next holder continues from it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.autoscaling.core import Autoscaler, ScalingPolicy
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.duties.duty_lease import DutyLease
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.ports.duties import DutyClient, DutyHolder, DutyOutcome, WorkerOrder
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.evacuations import Evacuations

PLAN_PREFIX = "workers"
POLL_INTERVAL_SECONDS = 0.25
"""Interval between decisions on what to order."""

MAXIMUM_CURRENT_VIEW_AGE_SECONDS = 1.5
"""With an older view of the workers none are ordered: workers that seem lost may still run."""

OpenBatches = Callable[[], list[Batch]]
"""Returns the batches that have unfinished items."""


class AutoscaleService:
    """Sends the orders that the autoscaler decides, and writes each to the log as a plan first."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        duties: DutyLease,
        client: DutyClient,
        policy: ScalingPolicy,
        routes: RouteTable,
        workers: WorkerTable,
        workers_view: Freshness,
        open_batches: OpenBatches,
        evacuations: Evacuations,
    ) -> None:
        self._identity = identity
        self._duties = duties
        self._client = client
        self._autoscaler = Autoscaler(policy)
        self._routes = routes
        self._workers = workers
        self._workers_view = workers_view
        self._open_batches = open_batches
        self._evacuations = evacuations
        duties.listen_to_plans(PLAN_PREFIX, self._planned)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start."""
        tasks.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            await self._duties.wait_until_active()
            current = self._workers_view.age(steady_seconds()) < MAXIMUM_CURRENT_VIEW_AGE_SECONDS
            if current and self._duties.may_act():
                await self._step()

    async def _step(self) -> None:
        open_items = self._open_items()
        orders = self._autoscaler.decide(
            self._routes.scaled_services,
            self._workers.all(),
            open_items,
            steady_seconds(),
            self._evacuations.zones,
        )
        async with anyio.create_task_group() as tasks:
            for order in orders:
                tasks.start_soon(self._send, order, open_items[order.group.service])

    def _open_items(self) -> Counter[str]:
        """Return, by service, how many items of open batches are unfinished."""
        counts: Counter[str] = Counter()
        for batch in self._open_batches():
            route = self._routes.find(batch.header.host, batch.header.path)
            if route is not None:
                counts[route.back_ends[0].service] += len(batch.items) - len(batch.listed)
        return counts

    async def _send(self, order: WorkerOrder, open_items: int) -> None:
        fence = self._duties.fence
        subject = f"{PLAN_PREFIX}/{order.group.service}/{order.group.zone}/{order.group.spot}"
        outcome = DutyOutcome.REFUSED
        stands = await self._duties.write(subject, msgspec.msgpack.encode(order), fence)
        if stands and self._duties.may_act(fence):
            holder = DutyHolder(self._identity.announced_as, fence)
            outcome = await self._client.request_worker_count(holder, order)
        self._autoscaler.sent(order, outcome, steady_seconds())
        log_event(
            "workers_ordered",
            "info" if outcome is DutyOutcome.DONE else "warning",
            service=order.group.service,
            zone=order.group.zone,
            spot=order.group.spot,
            count=order.count,
            open_items=open_items,
            fence=fence,
            stands=stands,
            outcome=outcome,
        )

    def _planned(self, _subject: str, content: bytes) -> None:
        try:
            order = msgspec.msgpack.decode(content, type=WorkerOrder)
        except msgspec.DecodeError as error:
            log_event("plan_unreadable", "warning", detail=str(error))
            return
        self._autoscaler.apply_planned_order(order)
