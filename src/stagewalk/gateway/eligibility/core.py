"""Whether a request may be sent to a worker: asked when one is chosen, and as it is sent. Pure.

Owns the rule, and the permits that clients of workers require. Every sender (forwarded requests,
streams, items of batches, score calls) chooses among what `candidates` returns, and sends only with
what `permit` returns. Inputs: the worker's entry, evacuated zones, allowed regions, cold starts,
and contents that are held back; each reason has a name in `ports.denials`. Times are of the steady
clock.
Relies on `zones`, `cold_starts`, `quarantine` (through `held`), `routes` and `workers`.
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
    """What decides where a request may run: its route, its content, and whose it is."""

    route: Route
    content: RequestContent
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Candidates:
    """Workers a request may be sent to.

    Attributes
    ----------
    denied
        By worker that serves but may not get the request, the reason.
    """

    workers: list[Worker]
    denied: Mapping[str, Denial] = field(default_factory=dict)


QuarantineCheck = Callable[[RequestContent, bool], bool]
"""Return whether a content is held back now since it crashes workers; True for an item of a
batch."""

DenialListener = Callable[[Denial], None]
"""Called for each request that was denied a permit, or denied as it was to be sent."""


def ignore_denial(_denial: Denial) -> None:
    """Do nothing."""


class Eligibility:
    """Judges sends by evacuations, cold starts, regions, and what is held back.

    Parameters
    ----------
    held
        Returns whether a content is held back now.
    on_denied
        Called for each request that was denied a permit, or denied as it was to be sent.
    rng
        Random numbers of this node, for choices among what `candidates` returns.
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
        self._draws = rng
        self._held = held
        self._on_denied = on_denied
        self._workers = workers
        self._routes = routes
        self._proximity = proximity
        self._evacuations = evacuations
        self._cold = cold
        self._found: dict[tuple[str, str, frozenset[str], str | None], Candidates] = {}
        """By service, route, its regions, and tenant: what was found at `_found_at`."""
        self._found_at = -math.inf
        evacuations.listen(lambda _zone, _now: None, self._zone_restored)

    @property
    def proximity(self) -> Proximity:
        """Return where this node is among the zones."""
        return self._proximity

    @property
    def rng(self) -> Random | None:
        """Return this node's random numbers; None: of equal workers the first is taken."""
        return self._draws

    @property
    def evacuations(self) -> Evacuations:
        """Return the zones being evacuated."""
        return self._evacuations

    def scope(self, path: str, content: RequestContent, tenant: str | None) -> RequestScope | None:
        """Return what decides where a request may run, None if no route matches it."""
        route = self._routes.find(content.host, path)
        return None if route is None else RequestScope(route, content, tenant)

    def candidates(self, service: str, scope: RequestScope, now: float) -> Candidates:
        """Return the workers of a service that a request may be sent to now.

        Many items ask at the same moment, so what was found for one counts for all of them.
        """
        if self._is_held(scope):
            serving = self._workers.serving(service)
            denied = {w.announcement.worker: Denial.CRASHES_WORKERS for w in serving}
            return Candidates([], denied)
        if now != self._found_at:
            self._found.clear()
            self._found_at = now
        route = scope.route
        key = (service, route.name, route.allowed_regions, scope.tenant)
        found = self._found.get(key)
        if found is None:
            found = self._found[key] = self._find(service, scope, now)
        return found

    def request_leases(self, candidates: Candidates, now: float) -> None:
        """Request the leases of workers that were denied since this node holds no lease on them."""
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
        """Return the permission to send a request to a worker, or why there is none.

        Parameters
        ----------
        withheld
            Returns why its sender must not send it any more, at a time; called as it is to go.
        """
        if scope is None:
            return Error(self._report(Denial.NO_ROUTE))
        service = self._routes.service(worker.announcement.service)
        denial = self._denial(worker, service, self._allowed(scope), now)
        if denial is None and self._is_held(scope):
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
        judged = {
            worker.announcement.worker: self._denial(worker, known, allowed, now)
            for worker in self._workers.serving(service)
        }
        denied = {name: denial for name, denial in judged.items() if denial is not None}
        return Candidates(self._workers.usable(service, denied), denied)

    def _is_held(self, scope: RequestScope) -> bool:
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
            The worker's; None: whether it is cold is judged elsewhere.
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
        """Judge a request as its first byte is to go, and count it at a cold worker."""
        if self._workers.worker(worker.announcement.worker) is not worker:
            return Denial.WORKER_LEAVING
        if self._is_held(scope):
            return Denial.CRASHES_WORKERS
        denial = self._denial(worker, None, self._allowed(scope), now)
        service = self._routes.service(worker.announcement.service)
        if denial is not None or service is None:
            return denial
        return self._cold.confirm(worker, service, reserved_at, now)

    def _zone_restored(self, zone: str, now: float) -> None:
        """Mark a zone's workers cold as its evacuation ends: they may have become so before."""
        for worker in self._workers.all():
            service = self._routes.service(worker.announcement.service)
            if worker.announcement.zone == zone and service is not None and service.cold_rate > 0.0:
                self._cold.mark_cold(worker, service.cold_seconds, now)
