"""Nodes count as alive while they announce themselves, and during outages of the log."""

from __future__ import annotations

import msgspec
import testtools
from msgspec.structs import replace

from stagewalk.common.identities import NodeName
from stagewalk.gateway.directory.caller_subset import CallerLocation, select_nodes_for_caller
from stagewalk.gateway.directory.node_table import (
    FAILURE_TIMEOUT_RENEWALS,
    FAILURE_TIMEOUT_SECONDS,
    NodeAnnouncement,
    NodeTable,
    decode_announcement,
)
from tests.gateway.place_shares.support import ALPHA, BETA, claims, demand


def node(
    name: str, incarnation: int = 1, beat: int = 1, *, serving: bool = True, zone: str = "z1"
) -> NodeAnnouncement:
    return NodeAnnouncement(
        name, incarnation, f"{name}:80", f"{name}:81", zone, "r1", serving, beat
    )


EARLIER_BUILD = bytes.fromhex(
    "9ea26e37cf000001a237538cbbab31302e302e302e373a3830ab31302e302e302e373a3831a27a31a27231c3"
    "29c3cb4000000000000000cb3feccccccccccccdc3c2cb400c000000000000"
)
"""An announcement encoded by the last build without claims."""


class EarlierAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """The fields that the last build without claims reads."""

    node: str
    incarnation: int
    front: str
    peer: str
    zone: str
    region: str
    serving: bool
    beat: int
    ledger_replica: bool = False
    capacity: float = 1.0
    renewal_seconds: float = 0.9
    listed: bool = True
    stopping: bool = False
    calls_per_second: float = 0.0


class ClaimsOfOtherBuildsTests(testtools.TestCase):
    def test_an_announcement_of_the_earlier_build_has_no_claims(self) -> None:
        found = decode_announcement(EARLIER_BUILD)
        assert found is not None
        self.assertEqual(("n7", 41, 3.5), (found.node, found.beat, found.calls_per_second))
        self.assertIsNone(found.claims)
        self.assertEqual(EARLIER_BUILD, found.encode())

    def test_the_earlier_build_ignores_claims(self) -> None:
        found = decode_announcement(EARLIER_BUILD)
        for announced_claims in ((), claims(demand(ALPHA, 12), demand(BETA, 300))):
            announced = replace(found, claims=announced_claims)
            earlier = msgspec.msgpack.decode(announced.encode(), type=EarlierAnnouncement)
            self.assertEqual(("n7", 3.5), (earlier.node, earlier.calls_per_second))
            self.assertEqual(announced, decode_announcement(announced.encode()))


class NodeTableTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = NodeTable(NodeName("own"))
        self.table.announce(node("a"), 0.0)

    def alive(self, view_at: float) -> list[str]:
        return [announcement.node for announcement in self.table.alive(view_at)]

    def test_a_node_that_stops_announcing_itself_is_dead_after_the_timeout(self) -> None:
        self.assertEqual(["a"], self.alive(FAILURE_TIMEOUT_SECONDS - 0.1))
        self.assertEqual([], self.alive(FAILURE_TIMEOUT_SECONDS + 0.1))

    def test_nodes_stay_alive_through_an_outage(self) -> None:
        self.table.restart_timeouts(60.0, view_at=1.0)
        self.assertEqual(["a"], self.alive(61.0))

    def test_nodes_dead_before_an_outage_stay_dead(self) -> None:
        """Otherwise a batch could be assigned to a node that was removed before the outage."""
        self.table.announce(node("b"), 10.0)
        self.table.restart_timeouts(60.0, view_at=10.5)
        self.assertEqual(["b"], self.alive(60.1))

    def test_a_listing_shows_which_nodes_died_long_before(self) -> None:
        listing = {2: node("gone"), 95: node("b"), 98: node("c"), 99: node("d")}
        self.table.apply_listing(listing, 50.0)
        self.assertEqual(["b", "c", "d"], sorted(self.alive(50.1)))

    def test_nodes_with_one_announcement_each_are_all_alive(self) -> None:
        self.table.apply_listing({n: node(f"n{n}") for n in range(30)}, 50.0)
        self.assertEqual(30, len(self.alive(50.1)))

    def test_after_a_restart_the_earlier_process_is_dead(self) -> None:
        self.table.announce(node("a", incarnation=2), 1.0)
        self.assertFalse(self.table.process_alive("a", 1, 1.0))
        self.assertTrue(self.table.process_alive("a", 2, 1.0))

    def test_a_late_announcement_of_an_earlier_start_is_ignored(self) -> None:
        self.table.announce(node("a", incarnation=2), 1.0)
        self.table.announce(node("a", incarnation=1, beat=99), 2.0)
        self.assertTrue(self.table.process_alive("a", 2, 2.0))

    def test_serving_nodes_are_returned_nearest_first(self) -> None:
        nodes = [node("far", zone="z2"), node("left", serving=False), node("near")]
        order = [n.node for n in select_nodes_for_caller(nodes, CallerLocation("r1", "z1"), 64)]
        self.assertEqual(["near", "far"], order)

    def test_announcements_survive_their_encoding(self) -> None:
        self.assertEqual(node("a"), decode_announcement(node("a").encode()))
        self.assertIsNone(decode_announcement(b"nonsense"))

    def test_announcements_of_other_versions_are_read(self) -> None:
        newest = replace(node("a"), claims=(), start="s2", replaces="s1", refutes="s0")
        fields = msgspec.msgpack.decode(newest.encode())
        later = msgspec.msgpack.encode([*fields, "a field of later"])
        self.assertEqual(newest, decode_announcement(later))
        before = decode_announcement(msgspec.msgpack.encode(fields[:10]))
        self.assertEqual((True, False), (before.listed, before.stopping))

    def test_the_announced_renewal_interval_is_bounded(self) -> None:
        self.assertIsNone(decode_announcement(replace(node("a"), renewal_seconds=1e9).encode()))

    def test_the_failure_timeout_grows_with_the_renewal_interval(self) -> None:
        self.table.announce(replace(node("b"), renewal_seconds=8.0), 0.0)
        self.assertEqual(["b"], self.alive(FAILURE_TIMEOUT_SECONDS + 0.1))
        self.assertEqual([], self.alive(FAILURE_TIMEOUT_RENEWALS * 8.0 + 0.1))
