"""Regions that a configuration binds requests, batches and callers to."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.gateway.routes.route import CallerLimits, Route, RouteConfiguration, RouteKind
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.batches.support import batch_route

LOOK_UP = replace(batch_route(), name="ask", path_prefix="/ask/", kind=RouteKind.REPEATABLE)


def bound(route: Route, *regions: str) -> Route:
    return replace(route, allowed_regions=frozenset(regions))


def table(*routes: Route, tenants: tuple[Tenant, ...] | None = None) -> RouteTable:
    built = RouteTable()
    built.apply(RouteConfiguration(1, routes, (), CallerLimits(), tenants))
    return built


class RegionTests(testtools.TestCase):
    def test_batches_are_kept_where_all_their_routes_and_tenants_allow(self) -> None:
        run = batch_route()
        self.assertIsNone(table(run, bound(LOOK_UP, "r1")).batch_regions)
        self.assertEqual({"r1"}, table(bound(run, "r1"), LOOK_UP).batch_regions)
        tenants = (Tenant("t", (), allowed_regions=frozenset({"r2", "r3"})), Tenant("u", ()))
        both = table(bound(run, "r1", "r2"), tenants=tenants)
        self.assertEqual({"r2"}, both.batch_regions)

    def test_without_a_common_region_they_are_kept_in_one_that_any_allows(self) -> None:
        other = replace(bound(batch_route(), "r2"), name="other")
        self.assertEqual({"r1", "r2"}, table(bound(batch_route(), "r1"), other).batch_regions)

    def test_callers_are_led_home_only_where_all_routes_of_their_host_have_homes(self) -> None:
        homes = table(bound(batch_route(), "r1"), bound(LOOK_UP, "r2"))
        self.assertEqual({"r1", "r2"}, homes.regions_of_host("H.example"))
        self.assertIsNone(table(bound(batch_route(), "r1"), LOOK_UP).regions_of_host("h.example"))
        self.assertIsNone(homes.regions_of_host("unknown.example"))
