"""Decides whether a request may be sent to a worker. Pure.

The check is made twice: when a worker is chosen, and again just before the request is sent. Every
sender (forwarded requests, streams, batch items, score calls) chooses a worker from `candidates`
and can only send with a permit from `permit`. The decision depends on the worker's announcement,
evacuated zones, allowed regions, cold starts and quarantined contents; the reasons for a denial are
listed in `ports.denials`. Times are of the steady clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from expression import Error, Ok, Result

from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.send_permits import SendPermit
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.routes.route import Route, RouteKind, Service
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allows
from stagewalk.gateway.zones.distance import Proximity
from stagewalk.gateway.zones.evacuations import Evacuations


@dataclass(frozen=True, slots=True)
class RequestScope:
    """The properties of a request that decide where it may run: route, content and tenant."""

    route: Route
    content: RequestContent
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Candidates:
    """Workers a request may be sent to.

    Attributes
    ----------
    denied
        Reasons why other serving workers may not get the request, by worker.
    """

    workers: list[Worker]
    denied: Mapping[str, Denial] = field(default_factory=dict)


QuarantineCheck = Callable[[RequestContent, bool], bool]
"""Returns whether a content is quarantined because it crashes workers. The second argument is True
for an item of a batch."""

DenialListener = Callable[[Denial], None]
"""Called for each request that is denied a permit, or denied just before it is sent."""


def ignore_denial(_denial: Denial) -> None:
    """Do nothing."""


class Eligibility:
    """Checks requests against evacuations, cold starts, regions and quarantine.

    Parameters
    ----------
    held
        Returns whether a content is currently quarantined.
    on_denied
        Called for each request that is denied a permit, or denied just before it is sent.
    rng
        Random generator for choices among candidates; None: the first of equal workers is taken.
    """

    def __init__(
        self,
        workers: WorkerTable,
        routes: RouteTable,
        proximity: Proximity,
        evacuations: Evacuations,
        cold: ColdStarts,
        *,
        held: QuarantineCheck,
        on_denied: DenialListener = ignore_denial,
        rng: Random | None = None,
    ) -> None:
        self._rng = rng
        self._held = held
        self._on_denied = on_denied
        self._workers = workers
        self._routes = routes
        self._proximity = proximity
        self._evacuations = evacuations
        self._cold = cold
        self._cached_candidates: dict[tuple[str, str, frozenset[str], str | None], Candidates] = {}
        """By service, route, regions of the route, and tenant; valid at `_cached_at` only."""
        self._cached_at = -math.inf
        evacuations.listen(lambda _zone, _now: None, self._zone_restored)

    @property
    def proximity(self) -> Proximity:
        """Return the distances of zones from this node."""
        return self._proximity

    @property
    def rng(self) -> Random | None:
        """Return the random generator; None: the first of equal workers is taken."""
        return self._rng

    @property
    def evacuations(self) -> Evacuations:
        """Return the zones being evacuated."""
        return self._evacuations

    def scope(self, path: str, content: RequestContent, tenant: str | None) -> RequestScope | None:
        """Return the scope of a request, None if no route matches it."""
        route = self._routes.find(content.host, path)
        return None if route is None else RequestScope(route, content, tenant)

    def candidates(self, service: str, scope: RequestScope, now: float) -> Candidates:
        """Return the workers of a service that a request may be sent to now.

        Results are cached for calls with the same `now`, since many items ask at the same time.
        """
        if self._is_quarantined(scope):
            serving = self._workers.serving(service)
            denied = {w.announcement.worker: Denial.CRASHES_WORKERS for w in serving}
            return Candidates([], denied)
        if now != self._cached_at:
            self._cached_candidates.clear()
            self._cached_at = now
        route = scope.route
        key = (service, route.name, route.allowed_regions, scope.tenant)
        found = self._cached_candidates.get(key)
        if found is None:
            found = self._cached_candidates[key] = self._find(service, scope, now)
        return found

    def request_leases(self, candidates: Candidates, now: float) -> None:
        """Request leases on the workers that were denied for lack of one."""
        cold = [w for w, d in candidates.denied.items() if d is Denial.COLD_WITHOUT_LEASE]
        if cold:
            self._cold.request_leases(cold, now)

    def permit(
        self,
        worker: Worker,
        scope: RequestScope | None,
        now: float,
        withheld: Callable[[float], Denial | None] = lambda _now: None,
    ) -> Result[SendPermit, Denial]:
        """Return a permit to send a request to a worker, or the reason for a denial.

        Parameters
        ----------
        withheld
            Returns the sender's own reason not to send the request, if any, just before it is sent.
        """
        if scope is None:
            return Error(self._report(Denial.NO_ROUTE))
        service = self._routes.service(worker.announcement.service)
        denial = self._denial(worker, service, self._allowed(scope), now)
        if denial is None and self._is_quarantined(scope):
            denial = Denial.CRASHES_WORKERS
        if denial is not None:
            return Error(self._report(denial))
        reserved_at = None if service is None else self._cold.reserve(worker, service, now)

        def confirm(at: float) -> Denial | None:
            reason = withheld(at) or self._denial_at_send(worker, scope, reserved_at, at)
            return None if reason is None else self._report(reason)

        return Ok(SendPermit(WorkerTable.target(worker), confirm))

    def _find(self, service: str, scope: RequestScope, now: float) -> Candidates:
        known = self._routes.service(service)
        allowed = self._allowed(scope)
        cold = known is not None and self._cold.any(known, now)
        if allowed is None and not cold and not self._evacuations.zones:
            return Candidates(self._workers.usable(service))
        denial_by_worker = {
            worker.announcement.worker: self._denial(worker, known, allowed, now)
            for worker in self._workers.serving(service)
        }
        denied = {name: denial for name, denial in denial_by_worker.items() if denial is not None}
        return Candidates(self._workers.usable(service, denied), denied)

    def _is_quarantined(self, scope: RequestScope) -> bool:
        return self._held(scope.content, scope.route.kind is RouteKind.BATCH)

    def _allowed(self, scope: RequestScope) -> AllowedRegions:
        return self._routes.regions_of(scope.route, scope.tenant)

    def _denial(
        self, worker: Worker, service: Service | None, allowed: AllowedRegions, now: float
    ) -> Denial | None:
        """Return the first reason why a worker may not get a request, None if it may.

        Parameters
        ----------
        service
            The service of the worker; None: its cold start is not checked.
        """
        if worker.announcement.draining:
            return Denial.WORKER_LEAVING
        zone = worker.announcement.zone
        if zone in self._evacuations.zones:
            return Denial.ZONE_EVACUATED
        if not allows(allowed, self._proximity.region_of(zone)):
            return Denial.REGION_NOT_ALLOWED
        return None if service is None else self._cold.denial(worker, service, now)

    def _report(self, denial: Denial) -> Denial:
        self._on_denied(denial)
        return denial

    def _denial_at_send(
        self, worker: Worker, scope: RequestScope, reserved_at: float | None, now: float
    ) -> Denial | None:
        """Check a request just before it is sent, and count it if the worker is cold."""
        if self._workers.worker(worker.announcement.worker) is not worker:
            return Denial.WORKER_LEAVING
        if self._is_quarantined(scope):
            return Denial.CRASHES_WORKERS
        denial = self._denial(worker, None, self._allowed(scope), now)
        service = self._routes.service(worker.announcement.service)
        if denial is not None or service is None:
            return denial
        return self._cold.confirm(worker, service, reserved_at, now)

    def _zone_restored(self, zone: str, now: float) -> None:
        """Mark a zone's workers as cold when its evacuation ends, since they may have become so."""
        for worker in self._workers.all():
            service = self._routes.service(worker.announcement.service)
            if worker.announcement.zone == zone and service is not None and service.cold_rate > 0.0:
                self._cold.mark_cold(worker, service.cold_seconds, now)
