"""Assembles what decides whether a request may be sent, with the service that keeps its state.

Owns the construction of `Eligibility` and its inputs: evacuations, cold starts with their leases,
and crash suspects. Relies on the settings for zones, on the log for leases.
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
    """Eligibility of one gateway's sends, and the state that it is judged by.

    Parameters
    ----------
    producer
        Identity of this start of the process.
    view_age
        Returns the age of the views of workers and operators' records at a time, in seconds.
    replicas
        Returns the names of the nodes that run batches.
    on_denied
        Called for each request that was denied a permit, or denied as it was to be sent.
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
            held=self._held,
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

    def _held(self, content: RequestContent, item: bool) -> bool:
        return self.suspects.any and self.suspects.held(content, time.time(), item=item)

    def expire(self, now: float) -> None:
        """Forget the cold starts of workers that are gone, and leases that are over."""
        self.cold.keep_only(self._workers, now)
