from dataclasses import replace

import testtools

from stagewalk.bench.membership_network import MembershipNetwork
from stagewalk.common.identities import Address, Incarnation, NodeName
from stagewalk.node.core.instructions import MAXIMUM_DATAGRAM_BYTES
from stagewalk.node.membership.codec import fact_to_record
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import MemberState
from stagewalk.node.membership.notifications import IdentitySuperseded
from stagewalk.node.wire.membership_pb2 import MemberRecord, MembershipMessage


def cluster(size: int, seed: int = 1) -> MembershipNetwork:
    """Start nodes in three zones and let them join through the machine list."""
    network = MembershipNetwork(seed)
    for index in range(size):
        network.start(f"node-{index:03}", zone=f"zone-{index % 3}")
    network.list_machines()
    network.run(10)
    return network


class JoiningTest(testtools.TestCase):
    def test_nodes_join_through_the_machine_list(self) -> None:
        network = cluster(30)
        (view,) = network.views()
        self.assertEqual([f"node-{index:03}" for index in range(30)], [name for name, _ in view])

    def test_listed_machine_that_is_dead_does_not_become_a_member(self) -> None:
        network = cluster(4)
        network.kill("node-003")
        network.run(10)
        network.list_machines()
        network.run(30)
        self.assertEqual({3}, {len(view) for view in network.views()})


class FailureTest(testtools.TestCase):
    def test_killed_node_is_declared_dead_by_all_within_eight_seconds(self) -> None:
        network = cluster(12)
        killed_at = network.now
        network.kill("node-005")
        network.run(12)
        deaths = network.changes_to(MemberState.DEAD)
        self.assertEqual(11, len({observer for _, observer, _ in deaths}))
        self.assertEqual({"node-005"}, {name for _, _, name in deaths})
        self.assertLess(max(at for at, _, _ in deaths) - killed_at, 8.0)

    def test_restart_under_same_name_replaces_the_old_process(self) -> None:
        network = cluster(12)
        restarted = network.start("node-005")
        network.list_machines()
        network.run(3)
        (view,) = network.views()
        self.assertIn(("node-005", restarted.identity.incarnation), view)
        self.assertEqual(12, len(view))
        self.assertEqual([], network.changes_to(MemberState.DEAD))

    def test_all_nodes_learn_of_a_leave_within_three_seconds(self) -> None:
        network = cluster(30)
        left_at = network.now
        network.leave("node-007")
        network.run(10)
        notified = network.changes_to(MemberState.LEFT)
        self.assertEqual(29, len({observer for _, observer, _ in notified}))
        self.assertLess(max(at for at, _, _ in notified) - left_at, 3.0)

    def test_no_member_is_declared_dead_at_twenty_percent_loss(self) -> None:
        network = cluster(12)
        network.loss = 0.2
        network.run(120)
        network.loss = 0.0
        network.run(5)
        self.assertEqual([], network.changes_to(MemberState.DEAD))
        self.assertEqual({12}, {len(view) for view in network.views()})

    def test_datagrams_stay_within_size_limit_while_many_join(self) -> None:
        network = cluster(40)
        self.assertGreater(network.largest_datagram, MAXIMUM_DATAGRAM_BYTES // 2)
        self.assertLessEqual(network.largest_datagram, MAXIMUM_DATAGRAM_BYTES)


class PauseTest(testtools.TestCase):
    def test_resumed_node_declares_no_member_dead(self) -> None:
        network = cluster(12)
        network.paused.add("node-004")
        network.run(30)
        network.paused.discard("node-004")
        network.notifications.clear()
        network.run(20)
        notified = [name for _, observer, name in network.changes_to(MemberState.DEAD)]
        self.assertEqual([], notified)

    def test_resumed_node_rejoins_with_the_same_incarnation(self) -> None:
        network = cluster(12)
        (before,) = network.views()
        network.paused.add("node-004")
        network.run(30)
        self.assertEqual({11}, {len(view) for view in network.views()})
        network.paused.discard("node-004")
        network.run(20)
        self.assertEqual({before}, network.views())


class PartitionTest(testtools.TestCase):
    def test_healed_partition_merges_without_the_machine_list(self) -> None:
        network = MembershipNetwork(seed=3)
        for index in range(16):
            network.start(f"node-{index:03}", f"zone-{index % 4}", f"region-{index % 2}")
        network.list_machines()
        network.run(10)
        (before,) = network.views()
        network.cut = lambda sender, receiver: int(sender[-1]) % 2 != int(receiver[-1]) % 2
        network.run(60)
        self.assertEqual([8, 8], [len(view) for view in network.views()])
        network.cut = lambda sender, receiver: False
        network.run(40)
        self.assertEqual({before}, network.views())

    def test_node_reachable_only_indirectly_is_not_declared_dead(self) -> None:
        network = cluster(8)
        pair = {"node-001", "node-002"}
        network.cut = lambda sender, receiver: {sender, receiver} == pair
        network.run(60)
        self.assertEqual([], network.changes_to(MemberState.DEAD))
        self.assertEqual({8}, {len(view) for view in network.views()})


class IdentityTest(testtools.TestCase):
    def test_older_process_of_a_name_is_notified_that_it_is_superseded(self) -> None:
        network = cluster(5)
        old = network.cores["node-002"]
        restarted = network.start("node-002")
        network.list_machines()
        network.run(3)
        incarnation = restarted.identity.incarnation
        message = MembershipMessage(origin=MemberRecord(incarnation=incarnation))
        elsewhere = Address("10.9.9.9", 7000)
        notified = old.handle_message(elsewhere, old.identity.name, message, network.now)
        self.assertEqual([IdentitySuperseded(incarnation, runs_elsewhere=True)], notified)

    def test_a_dead_process_of_this_address_with_a_greater_incarnation_is_reported_once(
        self,
    ) -> None:
        """The node must start again with a greater one; until then the others ignore it."""
        network = cluster(5)
        core = network.cores["node-002"]
        own = core.identity
        earlier = MemberFact(own.name, Incarnation(own.incarnation + 9), 0, MemberState.DEAD)
        reports = []
        for address in (None, own.address):
            fact = replace(earlier, address=address, placement=own.placement)
            sender = network.cores["node-001"].identity
            message = MembershipMessage(
                origin=MemberRecord(incarnation=sender.incarnation),
                updates=[fact_to_record(fact, with_place=True)],
            )
            reports += core.handle_message(sender.address, sender.name, message, network.now)
        found = [report for report in reports if isinstance(report, IdentitySuperseded)]
        self.assertEqual([IdentitySuperseded(earlier.incarnation, runs_elsewhere=False)], found)

    def test_late_gossip_does_not_revive_a_dead_process(self) -> None:
        network = cluster(5)
        dead = network.cores["node-002"].identity
        network.kill("node-002")
        network.run(15)
        stale_fact = MemberFact(dead.name, dead.incarnation, 0, MemberState.ALIVE, dead.address)
        stale_fact = replace(stale_fact, placement=dead.placement)
        message = MembershipMessage(updates=[fact_to_record(stale_fact, with_place=True)])
        observer_core = network.cores["node-000"]
        message.origin.incarnation = network.cores["node-001"].identity.incarnation
        observer_core.handle_message(dead.address, NodeName("node-001"), message, network.now)
        self.assertEqual(4, len(observer_core.members()))

    def test_name_of_a_node_that_left_can_join_again(self) -> None:
        network = cluster(5)
        network.leave("node-002")
        network.run(60)
        self.assertEqual({4}, {len(view) for view in network.views()})
        network.start("node-002")
        network.list_machines()
        network.run(5)
        self.assertEqual({5}, {len(view) for view in network.views()})
