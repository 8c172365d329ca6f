"""Callers of a zone use as few of its nodes as their load needs; in small regions they use all."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import testtools

from stagewalk.gateway.directory.caller_subset import (
    CALLS_PER_CAPACITY,
    MINIMUM_LISTED_NODES,
    SMALL_REGION_NODES,
    SPARES_NAMED,
    CallerLocation,
    select_nodes_for_caller,
    should_be_listed,
)
from stagewalk.gateway.directory.node_table import NodeAnnouncement

ZONES = 5
MOST = 64


@dataclass(frozen=True)
class Changes:
    capacity: float = 1.0
    calls: float = 0.0
    listed: bool = False
    serving: bool = True


def node(number: int, changes: Changes = Changes()) -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(
        f"n{number}",
        1,
        address,
        address,
        f"z{number % ZONES}",
        "r1",
        changes.serving,
        1,
        capacity=changes.capacity,
        listed=changes.listed,
        calls_per_second=changes.calls,
    )


def chosen(nodes: list[NodeAnnouncement], zone: str) -> list[NodeAnnouncement]:
    return [n for n in nodes if n.zone == zone and should_be_listed(n.node, nodes)]


class CallerSubsetTests(testtools.TestCase):
    def test_in_a_small_region_all_nodes_are_listed(self) -> None:
        nodes = [node(n) for n in range(SMALL_REGION_NODES)]
        self.assertTrue(all(should_be_listed(n.node, nodes) for n in nodes))

    def test_the_number_of_listed_nodes_does_not_depend_on_the_size_of_the_zone(self) -> None:
        for count in (84, 195, 420):
            nodes = [node(n) for n in range(count)]
            for zone in range(ZONES):
                self.assertEqual(MINIMUM_LISTED_NODES, len(chosen(nodes, f"z{zone}")))

    def test_more_nodes_are_listed_as_the_load_grows(self) -> None:
        busy = Changes(calls=2.0 * CALLS_PER_CAPACITY)
        nodes = [node(n, busy if n < 5 * ZONES else Changes()) for n in range(195)]
        self.assertEqual(10, len(chosen(nodes, "z0")))

    def test_fast_nodes_come_first(self) -> None:
        nodes = [node(n, Changes(capacity=2.15 if n < 50 else 0.5)) for n in range(195)]
        self.assertEqual({2.15}, {n.capacity for n in chosen(nodes, "z1")})

    def test_a_node_that_leaves_is_replaced_by_one(self) -> None:
        nodes = [node(n) for n in range(195)]
        before = chosen(nodes, "z2")
        after = chosen([n for n in nodes if n is not before[0]], "z2")
        self.assertEqual(1, len(set(after) - set(before)))
        self.assertEqual(MINIMUM_LISTED_NODES, len(after))


class DirectoryOrderTests(testtools.TestCase):
    def order(self, nodes: list[NodeAnnouncement], zone: str) -> list[str]:
        return [n.node for n in select_nodes_for_caller(nodes, CallerLocation("r1", zone), MOST)]

    def test_a_caller_gets_the_listed_nodes_of_its_zone_and_a_few_of_others(self) -> None:
        """If the zone fails, its callers still have an address that answers."""
        nodes = [node(n, Changes(listed=n < 20)) for n in range(195)]
        named = self.order(nodes, "z0")
        self.assertEqual(["n0", "n10", "n15", "n5"], sorted(named[:MINIMUM_LISTED_NODES]))
        spares = [n for n in nodes if n.node in named[MINIMUM_LISTED_NODES:]]
        self.assertEqual(SPARES_NAMED, len(spares))
        self.assertEqual(SPARES_NAMED, len({n.zone for n in spares} - {"z0"}))
        self.assertTrue(all(n.listed for n in spares))

    def test_nodes_of_evacuated_zones_are_returned_only_if_there_are_no_others(self) -> None:
        nodes = [node(n, Changes(listed=n < 20)) for n in range(195)]
        zones = {n.node: n.zone for n in nodes}
        evacuated = CallerLocation("r1", "z0", frozenset({"z0"}))
        named = [n.node for n in select_nodes_for_caller(nodes, evacuated, MOST)]
        self.assertNotIn("z0", {zones[name] for name in named})
        all_zones = CallerLocation("r1", "z0", frozenset(zones.values()))
        named = [n.node for n in select_nodes_for_caller(nodes, all_zones, MOST)]
        self.assertEqual("z0", zones[named[0]])

    def test_of_a_small_region_all_nodes_are_returned_and_none_of_others(self) -> None:
        """Regions are 12 ms apart, so callers must not choose at random between them."""
        here = [node(n) for n in range(20)]
        beyond = [msgspec.structs.replace(node(n), region="r2") for n in range(20, 61)]
        named = [
            n.region
            for n in select_nodes_for_caller(here + beyond, CallerLocation("r1", "z0"), MOST)
        ]
        self.assertEqual(["r1"] * 20, named)
        lone = select_nodes_for_caller(here[:1] + beyond, CallerLocation("r1", "z0"), MOST)
        self.assertEqual(("r1", "r2"), (lone[0].region, lone[1].region))

    def test_callers_are_sent_to_the_home_regions_of_their_host(self) -> None:
        """Callers in other regions may use their own region's nodes, which forward the requests."""
        nodes = [msgspec.structs.replace(node(n), region=f"r{n % 3}") for n in range(60)]
        for region, expected in (("r0", {"r0"}), ("r1", {"r1"}), ("r9", {"r0"})):
            caller = CallerLocation(region, "z9", homes=frozenset({"r0"}))
            named = {n.region for n in select_nodes_for_caller(nodes, caller, MOST)}
            self.assertEqual(expected, named)

    def test_if_a_zone_has_failed_nodes_of_other_zones_are_returned(self) -> None:
        nodes = [
            node(n, Changes(listed=n < 20, serving=n % ZONES != 0 or n == 5)) for n in range(195)
        ]
        named = self.order(nodes, "z0")
        self.assertEqual("n5", named[0])
        self.assertEqual(16, len(named) - 1)

    def test_if_no_node_is_listed_all_serving_nodes_are_returned(self) -> None:
        nodes = [node(n) for n in range(40)]
        self.assertEqual(40, len(self.order(nodes, "z0")))

    def test_a_stopping_node_is_returned_to_no_caller(self) -> None:
        nodes = [node(n, Changes(listed=n < 20, serving=n != 0)) for n in range(195)]
        self.assertNotIn("n0", self.order(nodes, "z0"))
