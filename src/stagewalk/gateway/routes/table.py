"""The routes in force: look-up by host and longest prefix, and shares of back ends. Pure.

Owns the configuration in force and the turns of split routes. Relies on `zones.allowed_regions` to
combine the regions that routes and tenants allow.
"""

from __future__ import annotations

import xxhash

from stagewalk.gateway.routes.route import BackEnd, Route, RouteConfiguration, RouteKind, Service
from stagewalk.gateway.tenants.key_table import KeyTable
from stagewalk.gateway.zones.allowed_regions import AllowedRegions, allowed_regions

MAXIMUM_TURNS_SKIPPED = 211
"""A node begins a split route at one of so many turns of its cycle, so that nodes don't all send
their first requests to the largest share."""


class RouteTable:
    """Holds the newest configuration; an older one never comes back.

    Parameters
    ----------
    node
        Name of this node: each node begins a route's shares at another place of their cycle.
    """

    def __init__(self, node: str = "") -> None:
        self._node = node
        self._configuration: RouteConfiguration | None = None
        self._by_host: dict[str, dict[str, Route]] = {}
        """By host and prefix."""
        self._by_name: dict[str, Route] = {}
        self._batch_regions: AllowedRegions = None
        self._services: dict[str, Service] = {}
        self._credits: dict[str, dict[str, float]] = {}
        """By route and service."""
        self.keys = KeyTable()
        """Keys of the tenants in force."""

    @property
    def configuration(self) -> RouteConfiguration | None:
        """Return the configuration in force, None before the first one."""
        return self._configuration

    def apply(self, configuration: RouteConfiguration) -> bool:
        """Put a configuration in force; return whether it is newer than the one that was."""
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
        self._batch_regions = _regions_of_batches(configuration)
        return True

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self._configuration is None else self._configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request: of its host, the longest prefix that begins its path.

        Prefixes end with a slash, so only what ends at a slash of the path is looked up: the
        time depends on the path's depth, not on how many routes there are.
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
        """Return the priority that a tenant's requests have in place of their route's, if any."""
        known = None if tenant is None else self.keys.named(tenant)
        return None if known is None else known.priority

    def regions_of(self, route: Route, tenant: str | None) -> AllowedRegions:
        """Return where a tenant's requests on a route may be served.

        The route that the request matched binds it, and the route of that name now in force.
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
        """Return where a host's callers are served; None if a route of it allows any region."""
        routes = self._by_host.get(host.lower(), {}).values()
        if not routes or any(not route.allowed_regions for route in routes):
            return None
        return frozenset[str]().union(*(route.allowed_regions for route in routes))

    @property
    def scaled_services(self) -> list[Service]:
        """Return the services whose workers may be ordered."""
        return [service for service in self._services.values() if service.scaling is not None]

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        return self._services.get(name)

    def choose_back_end(self, route: Route) -> BackEnd:
        """Return the back end whose turn it is: shares are exact over any run of requests.

        Many nodes get few requests each. If all began alike, each would send its first ones to
        the largest part, and the shares over all nodes would be off by as much; so each node
        begins at another turn of the cycle.
        """
        if len(route.back_ends) == 1:
            return route.back_ends[0]
        credits = self._credits.get(route.name)
        if credits is None:
            credits = self._credits[route.name] = {}
            for _ in range(self._first_turn(route)):
                _take_turn(route, credits)
        return _take_turn(route, credits)

    def _first_turn(self, route: Route) -> int:
        seed = f"{self._node}/{route.name}".encode()
        return xxhash.xxh64_intdigest(seed) % MAXIMUM_TURNS_SKIPPED


def _take_turn(route: Route, credits: dict[str, float]) -> BackEnd:
    """Credit every back end with its weight, and charge the one with most credit the sum of all."""
    for back_end in route.back_ends:
        credits[back_end.service] = credits.get(back_end.service, 0.0) + back_end.weight
    chosen = max(route.back_ends, key=lambda back_end: credits[back_end.service])
    credits[chosen.service] -= sum(back_end.weight for back_end in route.back_ends)
    return chosen


def _regions_of_batches(configuration: RouteConfiguration) -> AllowedRegions:
    """Return the regions that all batch routes and tenants allow.

    A replica of the batch ledger holds the batches of all. Where the routes and tenants have no
    region in common, it is in one that any of them allows.
    """
    routes = [route for route in configuration.routes if route.kind is RouteKind.BATCH]
    stated = [route.allowed_regions for route in routes]
    stated += [tenant.allowed_regions for tenant in configuration.tenants or ()]
    common = allowed_regions(*stated)
    return frozenset[str]().union(*stated) if common == frozenset() else common
