"""Assembles the cluster-wide duties, which one node at a time performs under a lease.

Owns the choice of duties by the settings. Relies on `duties` for each of them.
"""

from __future__ import annotations

import uuid

import anyio.abc

from stagewalk.gateway.autoscaling.core import ScalingPolicy
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.duties.autoscale_service import AutoscaleService
from stagewalk.gateway.duties.duty_lease import DutyLease
from stagewalk.gateway.duties.order_service import OrderService
from stagewalk.gateway.duties.usage_service import UsageService
from stagewalk.gateway.leases.log_lease import LogLease, acquire_jitter_seconds, new_holder_id
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.ports.duties import DutyClient
from stagewalk.gateway.ports.partitioned_log import PartitionedLog
from stagewalk.gateway.ports.workers import WorkerClient
from stagewalk.gateway.published_records import PublishedRecords
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.settings import Autoscaling, GatewaySettings
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.evacuations import Evacuations


class DutyServices:
    """The duty lease and its holder's duties: version orders, usage reports and autoscaling.

    Without a client of the platform's duties, the holder only orders versions of engines.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        log: PartitionedLog,
        identity: OwnIdentity,
        producer: str,
        client: DutyClient | None,
        engines: WorkerClient,
        rollouts: VersionRollouts,
        routes: RouteTable,
        workers: WorkerTable,
        published: PublishedRecords,
        store: BatchStore,
        evacuations: Evacuations,
    ) -> None:
        self.lease = _duty_lease(settings, log, producer)
        self._orders = OrderService(
            identity=identity,
            duties=self.lease,
            rollouts=rollouts,
            workers=workers,
            client=engines,
            open_batches=store.ledger.open_batches,
        )
        self._usage: UsageService | None = None
        self._autoscale: AutoscaleService | None = None
        if client is None or settings.duties is None:
            return
        if settings.duties.usage_window is not None:
            self._usage = UsageService(
                log=log,
                identity=identity,
                duties=self.lease,
                client=client,
                producer=producer,
                call_bytes=settings.log_limits.call_bytes,
                window_seconds=settings.duties.usage_window,
                due_seconds=settings.duties.usage_due,
            )
        self._autoscale = AutoscaleService(
            identity=identity,
            duties=self.lease,
            client=client,
            policy=_scaling_policy(settings.autoscaling),
            routes=routes,
            workers=workers,
            workers_view=published.workers_freshness,
            open_batches=store.ledger.open_batches,
            evacuations=evacuations,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the lease and all duties."""
        self.lease.start(tasks)
        self._orders.start(tasks)
        if self._usage is not None:
            self._usage.start(tasks)
        if self._autoscale is not None:
            self._autoscale.start(tasks)

    @property
    def idle(self) -> bool:
        """Whether all usage counts of this process are in the log."""
        return self._usage is None or self._usage.idle

    def count_begun(self, tenant: str | None, began: float) -> None:
        """Count a tenant's request in the usage, by its start time on the steady clock."""
        if self._usage is not None:
            self._usage.count(tenant, began)

    def sample_clock(self) -> None:
        """Sample the offset between wall clock and steady clock for usage windows."""
        if self._usage is not None:
            self._usage.sample_clock()


def _duty_lease(settings: GatewaySettings, log: PartitionedLog, producer: str) -> DutyLease:
    holder = new_holder_id(settings.name, producer)
    jitter = acquire_jitter_seconds(uuid.uuid4().int)
    return DutyLease(
        log=log,
        lease=LogLease(holder, settings.timing.lease_quiet, jitter),
        producer=producer,
        call_bytes=settings.log_limits.call_bytes,
    )


def _scaling_policy(settings: Autoscaling) -> ScalingPolicy:
    places = settings.places_per_item if settings.mode == "demand" else 0.0
    return ScalingPolicy(settings.mode != "off", places, settings.spot)
