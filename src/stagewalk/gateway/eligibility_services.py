"""Assembles the eligibility checks of requests and the service that maintains their state.

Owns the construction of `Eligibility` and its inputs: evacuations, cold starts with their leases,
and the crash history. Relies on the settings for zones and on the log for leases.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from stagewalk.gateway.cold_lease_service import ColdLeaseService
from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.cold_starts.leases import ColdLeases
from stagewalk.gateway.eligibility.core import DenialListener, Eligibility
from stagewalk.gateway.leases.log_lease import new_holder_id
from stagewalk.gateway.ports.partitioned_log import PartitionedLog
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import CrashHistory
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.distance import Proximity
from stagewalk.gateway.zones.evacuations import Evacuations


class EligibilityServices:
    """Eligibility checks of one gateway, and the state that they depend on.

    Parameters
    ----------
    producer
        Unique identity of this process.
    view_age
        Returns the age at a given time, in seconds, of the older view: of workers or of operators'
        records.
    replicas
        Returns the names of the nodes that run batches.
    on_denied
        Called for each denial, of a permit or of its confirmation before sending.
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
        self._leases = ColdLeases(new_holder_id(settings.name, producer))
        self.evacuations = Evacuations()
        self.cold = ColdStarts(self._leases, view_age, on_request=self._wake)
        self.suspects = CrashHistory(settings.name)
        self.eligibility = Eligibility(
            workers,
            routes,
            Proximity(settings.placement, settings.zones),
            self.evacuations,
            self.cold,
            held=self._is_quarantined,
            on_denied=on_denied,
            rng=Random(settings.name),
        )
        self.cold_lease_service = ColdLeaseService(
            log=log, node=settings.name, cold=self.cold, leases=self._leases, replicas=replicas
        )

    def cold_leases(self, now: float) -> int:
        """Return the number of cold workers that this node may send to."""
        return self._leases.held(now)

    def _wake(self) -> None:
        self.cold_lease_service.wake()

    def _is_quarantined(self, content: RequestContent, item: bool) -> bool:
        return self.suspects.any and self.suspects.held(content, time.time(), item=item)

    def expire(self, now: float) -> None:
        """Remove cold starts of workers that are gone, and expired leases."""
        self.cold.keep_only(self._workers, now)
