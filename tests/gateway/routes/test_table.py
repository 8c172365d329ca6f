"""Lookup of routes, replacement of configurations, and the choice of back ends."""

from __future__ import annotations

from collections import Counter

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.gateway.routes.route import (
    BackEnd,
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
)
from stagewalk.gateway.routes.table import RouteTable


def route(name: str, prefix: str, *back_ends: BackEnd, host: str = "h.example") -> Route:
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.REPEATABLE,
        back_ends=back_ends or (BackEnd("s", 1.0),),
        timeout_seconds=1.0,
        target_seconds=0.2,
        maximum_attempts=2,
    )


def configuration(version: int, *routes: Route) -> RouteConfiguration:
    return RouteConfiguration(version, routes, (), CallerLimits())


class RouteTableTests(testtools.TestCase):
    def test_the_longest_prefix_matches(self) -> None:
        table = RouteTable()
        table.apply(configuration(1, route("short", "/a/"), route("long", "/a/b/")))
        self.assertEqual("long", table.find("H.example", "/a/b/c").name)
        self.assertEqual("short", table.find("h.example", "/a/c").name)
        self.assertIsNone(table.find("h.example", "/b"))
        self.assertIsNone(table.find("other.example", "/a/c"))

    def test_a_path_equal_to_a_prefix_and_the_root_match(self) -> None:
        table = RouteTable()
        table.apply(configuration(1, route("root", "/"), route("a", "/a/")))
        found = [table.find("h.example", path).name for path in ("/a/", "/a", "/", "/b/c/d", "//")]
        self.assertEqual(["a", "root", "root", "root", "root"], found)
        self.assertIsNone(table.find("h.example", "a/"))

    @given(st.lists(st.text("ab/", max_size=6), max_size=8), st.text("ab/", max_size=8))
    def test_the_same_is_found_as_by_trying_every_prefix(self, parts, rest) -> None:
        prefixes = {f"/{part}/".replace("//", "/") for part in parts}
        table = RouteTable()
        table.apply(configuration(1, *(route(prefix, prefix) for prefix in sorted(prefixes))))
        path = f"/{rest}"
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = table.find("h.example", path)
        self.assertEqual(max(fitting, key=len, default=None), found and found.name)

    def test_an_older_configuration_is_ignored(self) -> None:
        table = RouteTable()
        self.assertTrue(table.apply(configuration(7, route("new", "/n/"))))
        self.assertFalse(table.apply(configuration(4, route("old", "/o/"))))
        self.assertEqual(7, table.version)
        self.assertIsNone(table.find("h.example", "/o/x"))

    def test_shares_are_exact_over_a_cycle_of_requests(self) -> None:
        table = RouteTable()
        split = route("split", "/", BackEnd("a", 90.0), BackEnd("b", 10.0))
        table.apply(configuration(1, split))
        counts = Counter(table.choose_back_end(split).service for _ in range(100))
        self.assertEqual({"a": 90, "b": 10}, dict(counts))

    def test_shares_over_many_nodes_hold_from_the_first_requests(self) -> None:
        split = route("split", "/", BackEnd("a", 90.0), BackEnd("b", 10.0))
        counts: Counter[str] = Counter()
        for node in range(300):
            table = RouteTable(f"node-{node}")
            table.apply(configuration(1, split))
            counts.update(table.choose_back_end(split).service for _ in range(2))
        self.assertAlmostEqual(0.1, counts["b"] / 600, delta=0.04)

    def test_shares_follow_changed_weights(self) -> None:
        table = RouteTable("node")
        before = route("split", "/", BackEnd("a", 90.0), BackEnd("b", 10.0))
        after = route("split", "/", BackEnd("a", 20.0), BackEnd("b", 80.0))
        for _ in range(57):
            table.choose_back_end(before)
        counts = Counter(table.choose_back_end(after).service for _ in range(100))
        self.assertAlmostEqual(20, counts["a"], delta=2)
