"""What decides whether requests may be sent, put together."""

from __future__ import annotations

import time
from collections.abc import Callable

from stagewalk.gateway.cold_lease_service import ColdLeaseService
from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.cold_starts.leases import ColdLeases
from stagewalk.gateway.eligibility.core import DenialListener, Eligibility
from stagewalk.gateway.leases.log_lease import new_holder
from stagewalk.gateway.ports.partitioned_log import PartitionedLog
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import CrashSuspects
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.distance import Proximity
from stagewalk.gateway.zones.evacuations import Evacuations


class SendRules:
    """The rules of one gateway, and who keeps their state.

    Parameters
    ----------
    producer
        Tells this start of the process from others.
    view_age
        Age of the views of workers and operators' records at a time, in seconds.
    replicas
        Returns the names of the nodes that run batches.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        log: PartitionedLog,
        producer: str,
        workers: WorkerTable,
        routes: RouteTable,
        view_age: Callable[[float], float],
        replicas: Callable[[], list[str]],
        on_denied: DenialListener,
    ) -> None:
        self._workers = workers
        self._leases = ColdLeases(new_holder(settings.name, producer))
        self.evacuations = Evacuations()
        self.cold = ColdStarts(self._leases, view_age)
        self.proximity = Proximity(settings.placement, settings.zones)
        self.suspects = CrashSuspects(settings.name)
        self.eligibility = Eligibility(
            workers,
            routes,
            self.proximity,
            self.evacuations,
            self.cold,
            held=self._held,
            on_denied=on_denied,
        )
        self.cold_lease_service = ColdLeaseService(
            log=log, node=settings.name, cold=self.cold, leases=self._leases, replicas=replicas
        )

    def cold_leases(self, now: float) -> int:
        """Return the number of cold workers that this node may send to."""
        return self._leases.held(now)

    def _held(self, content: RequestContent, item: bool) -> bool:
        return self.suspects.any and self.suspects.held(content, time.time(), item=item)

    def expire(self, now: float) -> None:
        """Forget workers that are gone, and leases that are over."""
        self.cold.keep_only(self._workers, now)
