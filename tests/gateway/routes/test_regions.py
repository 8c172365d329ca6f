"""Regions that a configuration allows for requests, batches and callers."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.gateway.routes.route import CallerLimits, Route, RouteConfiguration, RouteKind
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.batches.support import batch_route

REPEATABLE_ROUTE = replace(
    batch_route(), name="ask", path_prefix="/ask/", kind=RouteKind.REPEATABLE
)


def with_regions(route: Route, *regions: str) -> Route:
    return replace(route, allowed_regions=frozenset(regions))


def table(*routes: Route, tenants: tuple[Tenant, ...] | None = None) -> RouteTable:
    built = RouteTable()
    built.apply(RouteConfiguration(1, routes, (), CallerLimits(), tenants))
    return built


class RegionTests(testtools.TestCase):
    def test_batches_are_stored_where_all_batch_routes_and_tenants_allow(self) -> None:
        run = batch_route()
        self.assertIsNone(table(run, with_regions(REPEATABLE_ROUTE, "r1")).batch_regions)
        self.assertEqual({"r1"}, table(with_regions(run, "r1"), REPEATABLE_ROUTE).batch_regions)
        tenants = (Tenant("t", (), allowed_regions=frozenset({"r2", "r3"})), Tenant("u", ()))
        both = table(with_regions(run, "r1", "r2"), tenants=tenants)
        self.assertEqual({"r2"}, both.batch_regions)

    def test_without_a_common_region_batches_are_stored_where_any_allows(self) -> None:
        other = replace(with_regions(batch_route(), "r2"), name="other")
        self.assertEqual(
            {"r1", "r2"}, table(with_regions(batch_route(), "r1"), other).batch_regions
        )

    def test_a_host_is_restricted_only_if_all_its_routes_are(self) -> None:
        restricted = table(with_regions(batch_route(), "r1"), with_regions(REPEATABLE_ROUTE, "r2"))
        self.assertEqual({"r1", "r2"}, restricted.regions_of_host("H.example"))
        self.assertIsNone(
            table(with_regions(batch_route(), "r1"), REPEATABLE_ROUTE).regions_of_host("h.example")
        )
        self.assertIsNone(restricted.regions_of_host("unknown.example"))
