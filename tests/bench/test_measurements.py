import testtools

from stagewalk.bench.fault_costs import measure_faults
from stagewalk.cli.main import run


class FaultCostsTest(testtools.TestCase):
    def test_every_fault_settles_and_kills_no_running_node(self) -> None:
        faults = measure_faults(21, with_regions=True)
        self.assertEqual(8, len(faults))
        self.assertEqual([], [fault for fault in faults if fault.settled_seconds is None])
        self.assertEqual(0, sum(fault.wrongly_dead for fault in faults))


class CommandTest(testtools.TestCase):
    def test_invalid_sizes_are_rejected(self) -> None:
        self.assertEqual(2, run(["bench", "scale", "--fault_sizes=many"]))
        self.assertEqual(2, run(["bench", "scale", "--fault_sizes=1"]))
