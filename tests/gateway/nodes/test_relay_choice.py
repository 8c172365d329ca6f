"""Nodes that relay calls of the log: those with a role first, batches in their regions."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.relay_choice import choose_relay_peers


def node(
    number: int, region: str = "r1", *, has_role: bool = True, peer: str = ""
) -> NodeAnnouncement:
    address = peer or f"10.0.0.{number}:2"
    return NodeAnnouncement(f"n{number}", 1, "h:1", address, "z1", region, True, 1, listed=has_role)


class RelayChoiceTests(testtools.TestCase):
    def test_nodes_with_a_role_are_chosen_alone(self) -> None:
        peers = choose_relay_peers([node(1), node(2, has_role=False)], "r1", None)
        self.assertEqual(["10.0.0.1"], [peer.host for peer in peers.same_region])

    def test_without_any_the_others_are_chosen(self) -> None:
        peers = choose_relay_peers([node(2, has_role=False)], "r1", None)
        self.assertEqual(["10.0.0.2"], [peer.host for peer in peers.same_region])

    def test_beyond_this_region_only_regions_of_batches_are_chosen(self) -> None:
        others = [node(1), node(2, "r2"), node(3, "r3")]
        peers = choose_relay_peers(others, "r1", frozenset({"r2"}))
        self.assertEqual(["10.0.0.1"], [peer.host for peer in peers.same_region])
        self.assertEqual(["10.0.0.2"], [peer.host for peer in peers.other_regions])

    def test_nodes_without_an_address_for_peers_are_left_out(self) -> None:
        self.assertEqual([], choose_relay_peers([node(1, peer=":")], "r1", None).same_region)
