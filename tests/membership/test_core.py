import testtools

from stagewalk.membership.members import MemberState
from tests.membership.network import Network


def cluster(size: int, seed: int = 1) -> Network:
    """Start nodes spread over three zones and let them join through the machine list."""
    network = Network(seed)
    for index in range(size):
        network.start(f"node-{index:03}", zone=f"zone-{index % 3}")
    network.list_machines()
    network.run(10)
    return network


class JoiningTest(testtools.TestCase):
    def test_all_find_each_other_through_the_machine_list(self) -> None:
        network = cluster(30)
        (view,) = network.views()
        self.assertEqual([f"node-{index:03}" for index in range(30)], [name for name, _ in view])

    def test_the_machine_list_alone_makes_no_member(self) -> None:
        network = cluster(4)
        network.kill("node-003")
        network.run(10)
        network.list_machines()
        network.run(30)
        self.assertEqual({3}, {len(view) for view in network.views()})


class FailureTest(testtools.TestCase):
    def test_a_killed_node_is_dead_everywhere_within_seconds(self) -> None:
        network = cluster(12)
        killed_at = network.now
        network.kill("node-005")
        network.run(12)
        deaths = network.changes_to(MemberState.DEAD)
        self.assertEqual(11, len({observer for _, observer, _ in deaths}))
        self.assertEqual({"node-005"}, {name for _, _, name in deaths})
        self.assertLess(max(at for at, _, _ in deaths) - killed_at, 8.0)

    def test_a_restart_under_the_same_name_replaces_the_old_process_at_once(self) -> None:
        network = cluster(12)
        restarted = network.start("node-005")
        network.list_machines()
        network.run(3)
        (view,) = network.views()
        self.assertIn(("node-005", restarted.identity.incarnation), view)
        self.assertEqual(12, len(view))
        self.assertEqual([], network.changes_to(MemberState.DEAD))

    def test_leaving_is_known_everywhere_within_three_seconds(self) -> None:
        network = cluster(30)
        left_at = network.now
        network.carry_out("node-007", network.cores["node-007"].leave(network.now))
        network.run(10)
        told = network.changes_to(MemberState.LEFT)
        self.assertEqual(29, len({observer for _, observer, _ in told}))
        self.assertLess(max(at for at, _, _ in told) - left_at, 3.0)
