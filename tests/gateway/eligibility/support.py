"""Eligibility for tests, without restrictions by default."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from stagewalk.common.identities import Placement
from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.cold_starts.leases import ColdLeases
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.send_permits import SendPermit, WorkerTarget
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import CrashHistory
from stagewalk.gateway.routes.route import CallerLimits, Route, RouteConfiguration, Service
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.tenants.tenant import Tenant
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.distance import Proximity
from stagewalk.gateway.zones.evacuations import Evacuations
from tests.gateway.workers.support import RecordingListener

ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
NEAR_Z1 = Proximity(Placement("r1", "z1"), ZONES)


class EligibilityFixture:
    """An `Eligibility` with all its inputs, which tests may change."""

    def __init__(
        self,
        workers: WorkerTable,
        routes: Sequence[Route] = (),
        services: Sequence[Service] = (),
        tenants: Sequence[Tenant] | None = None,
        zones: Mapping[str, str] = ZONES,
    ) -> None:
        self.routes = RouteTable()
        self.evacuations = Evacuations()
        self.leases = ColdLeases("own#1")
        self.view_age = 0.0
        self.cold = ColdStarts(self.leases, lambda _now: self.view_age)
        workers.listen(RecordingListener(self.cold.mark_cold))
        self.denials: list[Denial] = []
        proximity = Proximity(Placement("r1", "z1"), zones)
        self.suspects = CrashHistory("own")
        self.unix_seconds = 0.0
        self.eligibility = Eligibility(
            workers,
            self.routes,
            proximity,
            self.evacuations,
            self.cold,
            held=self._held,
            on_denied=self.denials.append,
        )
        self.publish(routes, services, tenants)

    def _held(self, content: RequestContent, item: bool) -> bool:
        return self.suspects.held(content, self.unix_seconds, item=item)

    def publish(
        self,
        routes: Sequence[Route],
        services: Sequence[Service] = (),
        tenants: Sequence[Tenant] | None = None,
    ) -> None:
        published = None if tenants is None else tuple(tenants)
        version = self.routes.version + 1
        configuration = RouteConfiguration(
            version, tuple(routes), tuple(services), CallerLimits(), published
        )
        self.routes.apply(configuration)


def unrestricted(workers: WorkerTable, *routes: Route) -> Eligibility:
    """Return an eligibility without restrictions."""
    return EligibilityFixture(workers, routes).eligibility


def granted(target: WorkerTarget) -> SendPermit:
    """Return a permit that is always confirmed."""
    return SendPermit(target, lambda _now: None)
