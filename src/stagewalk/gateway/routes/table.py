"""The routes in force: lookup by host and longest prefix, and the choice of a back end. Pure."""

from __future__ import annotations

import xxhash

from stagewalk.gateway.routes.route import BackEnd, Route, RouteConfiguration, RouteKind, Service
from stagewalk.gateway.tenants.key_table import KeyTable
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allowed_regions

ROUND_ROBIN_OFFSETS = 211
"""Number of offsets at which nodes may begin a route's weighted round robin, so that they don't all
send their first requests to the back end with the largest weight."""


class RouteTable:
    """Holds the newest configuration; older ones are ignored.

    Parameters
    ----------
    node
        Name of this node, which determines the offset at which it begins a round robin.
    """

    def __init__(self, node: str = "") -> None:
        self._node = node
        self._configuration: RouteConfiguration | None = None
        self._by_host: dict[str, dict[str, Route]] = {}
        """Routes by host and path prefix."""
        self._by_name: dict[str, Route] = {}
        self._batch_regions: AllowedRegions = None
        self._services: dict[str, Service] = {}
        self._credits: dict[str, dict[str, float]] = {}
        """State of the weighted round robin, by route and service."""
        self.keys = KeyTable()
        """Keys of the tenants in force."""

    @property
    def configuration(self) -> RouteConfiguration | None:
        """Return the configuration in force, None before the first one."""
        return self._configuration

    def apply(self, configuration: RouteConfiguration) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it is."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), {}).setdefault(route.path_prefix, route)
        self._by_host = by_host
        self._by_name = {route.name: route for route in configuration.routes}
        self.keys.replace(configuration.tenants)
        self._batch_regions = _compute_batch_regions(configuration)
        return True

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self._configuration is None else self._configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request's host with the longest prefix that matches the path.

        Prefixes end with a slash, so one lookup for each slash in the path is enough: the time
        depends on the depth of the path, not on the number of routes.
        """
        routes = self._by_host.get(host.lower(), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def takes_public_batches(self, host: str) -> bool:
        """Whether a host has a route on which batches are submitted without a key."""
        routes = self._by_host.get(host.lower(), {}).values()
        return any(route.public and route.kind is RouteKind.BATCH for route in routes)

    def priority_of(self, tenant: str | None) -> int | None:
        """Return the tenant's own priority, which overrides the route's; None if it has none."""
        known = None if tenant is None else self.keys.named(tenant)
        return None if known is None else known.priority

    def regions_of(self, route: Route, tenant: str | None) -> AllowedRegions:
        """Return the regions where a tenant's requests on a route may be served.

        The matched route, its version now in force and the tenant must all allow a region.
        """
        now = self._by_name.get(route.name, route)
        known = None if tenant is None else self.keys.named(tenant)
        stated = frozenset[str]() if known is None else known.allowed_regions
        if not (route.allowed_regions or now.allowed_regions or stated):
            return None
        return allowed_regions(route.allowed_regions, now.allowed_regions, stated)

    @property
    def batch_regions(self) -> AllowedRegions:
        """Return the regions in which batches may be kept and run."""
        return self._batch_regions

    def regions_of_host(self, host: str) -> AllowedRegions:
        """Return the regions where a host's callers are served; None if a route allows any."""
        routes = self._by_host.get(host.lower(), {}).values()
        if not routes or any(not route.allowed_regions for route in routes):
            return None
        return frozenset[str]().union(*(route.allowed_regions for route in routes))

    @property
    def scaled_services(self) -> list[Service]:
        """Return the services whose workers are scaled."""
        return [service for service in self._services.values() if service.scaling is not None]

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        return self._services.get(name)

    def choose_back_end(self, route: Route) -> BackEnd:
        """Return the next back end by smooth weighted round robin.

        Each node begins at its own offset. Otherwise, the back end of the largest weight would get
        too many requests where many nodes get few requests each.
        """
        if len(route.back_ends) == 1:
            return route.back_ends[0]
        credits = self._credits.get(route.name)
        if credits is None:
            credits = self._credits[route.name] = {}
            for _ in range(self._start_offset(route)):
                _next_back_end(route, credits)
        return _next_back_end(route, credits)

    def _start_offset(self, route: Route) -> int:
        seed = f"{self._node}/{route.name}".encode()
        return xxhash.xxh64_intdigest(seed) % ROUND_ROBIN_OFFSETS


def _next_back_end(route: Route, credits: dict[str, float]) -> BackEnd:
    """Add each back end's weight to its credit; choose the highest, and deduct the total weight."""
    for back_end in route.back_ends:
        credits[back_end.service] = credits.get(back_end.service, 0.0) + back_end.weight
    chosen = max(route.back_ends, key=lambda back_end: credits[back_end.service])
    credits[chosen.service] -= sum(back_end.weight for back_end in route.back_ends)
    return chosen


def _compute_batch_regions(configuration: RouteConfiguration) -> AllowedRegions:
    """Return the regions that all batch routes and tenants allow.

    Each replica of the batch ledger holds the batches of all routes and tenants. If these have no
    region in common, the regions that any of them allows are returned.
    """
    routes = [route for route in configuration.routes if route.kind is RouteKind.BATCH]
    stated = [route.allowed_regions for route in routes]
    stated += [tenant.allowed_regions for tenant in configuration.tenants or ()]
    common = allowed_regions(*stated)
    return frozenset[str]().union(*stated) if common == frozenset() else common
