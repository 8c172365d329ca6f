import testtools

from stagewalk.bench.fault_costs import measure_faults
from stagewalk.bench.hollow_cluster import HollowCluster
from stagewalk.cli.main import run
from stagewalk.common.identities import ModelName, TenantName
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import CONFIGURATION_STREAM, CreateTenant, encode_change


class HollowClusterTest(testtools.TestCase):
    def test_hollow_nodes_in_two_processes_see_each_other_and_the_configuration(self) -> None:
        cluster = HollowCluster(node_count=4, worker_count=2)
        self.addCleanup(cluster.stop)
        change = CreateTenant(
            operator="o",
            partner="p",
            tenant=TenantName("t"),
            base_revision=0,
            template="rollouts",
            parameters=TenantParameters(models=(ModelName("qari"),)),
        )
        cluster.publish(CONFIGURATION_STREAM, encode_change(change))
        cluster.start_nodes()
        complete = cluster.serve_until(
            lambda samples: sum(sample.complete for sample in samples) == 4, seconds=30.0
        )
        self.assertTrue(complete)
        for sample in cluster.samples():
            self.assertGreater(sample.traffic.peer_bytes_out, 0)
            self.assertGreater(sample.traffic.engine_polls, 0)


class FaultCostsTest(testtools.TestCase):
    def test_every_fault_settles_and_kills_no_running_node(self) -> None:
        faults = measure_faults(21, with_regions=True)
        self.assertEqual(8, len(faults))
        self.assertEqual([], [fault for fault in faults if fault.settled_seconds is None])
        self.assertEqual(0, sum(fault.wrongly_dead for fault in faults))


class CommandTest(testtools.TestCase):
    def test_sizes_that_are_no_numbers_are_refused(self) -> None:
        self.assertEqual(2, run(["bench", "scale", "--sizes=many"]))
        self.assertEqual(2, run(["bench", "scale", "--sizes=1"]))
