"""A bounded number of nodes holds replicas, and a node that joins or leaves moves few of them."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.ledger_replicas import (
    LEDGER_REPLICAS,
    LINGER_SECONDS,
    ReplicaRole,
    rank_for_replicas,
    should_hold_replica,
)
from stagewalk.gateway.directory.node_table import NodeAnnouncement


def node(number: int, capacity: float = 1.0, zone: str = "z") -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(
        f"n{number}", 1, address, address, zone, "r", True, 1, capacity=capacity
    )


def holders(nodes: list[NodeAnnouncement]) -> set[str]:
    return {n.node for n in nodes if should_hold_replica(n.node, nodes)}


class ReplicaRankTests(testtools.TestCase):
    def test_in_a_small_deployment_every_node_holds_a_replica(self) -> None:
        nodes = [node(n) for n in range(LEDGER_REPLICAS)]
        self.assertEqual({n.node for n in nodes}, holders(nodes))

    def test_the_number_of_replicas_does_not_grow_with_the_nodes(self) -> None:
        for count in (13, 81, 420):
            self.assertEqual(LEDGER_REPLICAS, len(holders([node(n) for n in range(count)])))

    def test_faster_nodes_come_first(self) -> None:
        nodes = [node(n, capacity=0.5) for n in range(60)] + [
            node(100 + n, capacity=2.15) for n in range(20)
        ]
        self.assertTrue(all(int(name[1:]) >= 100 for name in holders(nodes)))

    def test_a_node_that_leaves_or_joins_moves_one_replica_at_most(self) -> None:
        nodes = [node(n) for n in range(40)]
        before = holders(nodes)
        for leaving in nodes:
            after = holders([n for n in nodes if n is not leaving])
            self.assertLessEqual(len(before - after), 1)
            self.assertEqual(LEDGER_REPLICAS, len(after))
        self.assertLessEqual(len(before - holders([*nodes, node(77)])), 1)

    def test_replicas_are_spread_evenly_over_the_zones(self) -> None:
        nodes = [node(n, zone=f"z{n % 4}") for n in range(13)]
        zones = sorted(n.zone for n in nodes if n.node in holders(nodes))
        self.assertEqual(4, len(set(zones)))
        self.assertLessEqual(max(map(zones.count, zones)), -(-LEDGER_REPLICAS // 4))

    def test_a_zone_of_slow_nodes_holds_no_replica_if_there_are_enough_fast_nodes(self) -> None:
        fast = [node(n, capacity=2.15, zone="z1") for n in range(10)]
        slow = [node(100 + n, capacity=0.5, zone="z2") for n in range(10)]
        self.assertTrue(all(int(name[1:]) < 100 for name in holders(fast + slow)))

    def test_the_ranking_does_not_depend_on_the_order_of_the_nodes(self) -> None:
        nodes = [node(n) for n in range(30)]
        self.assertEqual(rank_for_replicas(nodes), rank_for_replicas(nodes[::-1]))


class ReplicaRoleTests(testtools.TestCase):
    def test_a_node_without_the_role_does_not_follow_the_batches(self) -> None:
        role = ReplicaRole()
        self.assertFalse(role.update(False, False, 0.0))
        self.assertFalse(role.following(0.0))

    def test_it_follows_the_batches_for_a_while_after_it_announced_the_end_of_the_role(
        self,
    ) -> None:
        role = ReplicaRole()
        self.assertTrue(role.update(True, False, 0.0))
        self.assertTrue(role.announced and role.following(0.0))
        self.assertTrue(role.update(False, False, 10.0))
        self.assertFalse(role.announced)
        self.assertTrue(role.following(10.0 + LINGER_SECONDS - 0.1))
        self.assertFalse(role.following(10.0 + LINGER_SECONDS + 0.1))

    def test_it_keeps_its_replica_while_it_runs_batches(self) -> None:
        role = ReplicaRole()
        role.update(True, False, 0.0)
        self.assertFalse(role.update(False, True, 1.0))
        self.assertTrue(role.announced)

    def test_a_batch_found_while_lingering_makes_it_a_replica_again(self) -> None:
        role = ReplicaRole()
        role.update(True, False, 0.0)
        role.update(False, False, 1.0)
        self.assertTrue(role.update(False, True, 2.0))
        self.assertTrue(role.announced)
