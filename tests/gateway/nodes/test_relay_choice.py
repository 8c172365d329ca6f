"""Choice of the nodes that relay calls of the log, by role and region."""

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
    def test_only_nodes_with_a_role_are_chosen_if_there_are_any(self) -> None:
        peers = choose_relay_peers([node(1), node(2, has_role=False)], "r1", None)
        self.assertEqual(["10.0.0.1"], [peer.host for peer in peers.same_region])

    def test_nodes_without_a_role_are_chosen_if_there_are_no_others(self) -> None:
        peers = choose_relay_peers([node(2, has_role=False)], "r1", None)
        self.assertEqual(["10.0.0.2"], [peer.host for peer in peers.same_region])

    def test_other_regions_are_chosen_only_if_batches_are_allowed_there(self) -> None:
        others = [node(1), node(2, "r2"), node(3, "r3")]
        peers = choose_relay_peers(others, "r1", frozenset({"r2"}))
        self.assertEqual(["10.0.0.1"], [peer.host for peer in peers.same_region])
        self.assertEqual(["10.0.0.2"], [peer.host for peer in peers.other_regions])

    def test_nodes_without_a_peer_address_are_left_out(self) -> None:
        self.assertEqual([], choose_relay_peers([node(1, peer=":")], "r1", None).same_region)
