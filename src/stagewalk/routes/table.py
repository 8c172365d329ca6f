"""The routes in force: look-up by host and longest prefix, and shares of back ends."""

from __future__ import annotations

from stagewalk.routes.route import BackEnd, Route, RouteConfiguration, Service


class RouteTable:
    """Holds the newest configuration; an older one never comes back."""

    def __init__(self) -> None:
        self.configuration: RouteConfiguration | None = None
        self._by_host: dict[str, list[Route]] = {}
        self._services: dict[str, Service] = {}
        self._credits: dict[tuple[str, str], float] = {}

    def apply(self, configuration: RouteConfiguration) -> bool:
        """Put a configuration in force unless it is older; return whether it was taken."""
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_host = by_host
        return True

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self.configuration is None else self.configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request: of its host, the longest prefix that begins its path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        return self._services.get(name)

    def choose_back_end(self, route: Route) -> BackEnd:
        """Return the back end whose turn it is: shares are exact over any run of requests.

        Each turn every back end earns its weight, and the richest one pays for all.
        """
        if len(route.back_ends) == 1:
            return route.back_ends[0]
        total = sum(back_end.weight for back_end in route.back_ends)
        for back_end in route.back_ends:
            key = (route.name, back_end.service)
            self._credits[key] = self._credits.get(key, 0.0) + back_end.weight
        chosen = max(route.back_ends, key=lambda b: self._credits[(route.name, b.service)])
        self._credits[(route.name, chosen.service)] -= total
        return chosen
