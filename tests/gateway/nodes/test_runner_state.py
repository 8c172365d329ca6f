"""Whether the process to which a batch is assigned still runs it, by the state of its node."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import NodeName
from stagewalk.gateway.batches.runner_liveness import PROBE_FAILURES_UNTIL_GONE, RunnerLiveness
from stagewalk.gateway.batches.takeover import RunnerState
from stagewalk.gateway.directory.node_table import (
    FAILURE_TIMEOUT_SECONDS,
    NodeAnnouncement,
    NodeTable,
)
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.nodes.runner_state import judge_runner

OWN = OwnIdentity("own", 7)
NOW = 100.0


class RunnerStateTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = NodeTable(NodeName(OWN.node))
        self.liveness = RunnerLiveness()

    def announce(self, incarnation: int = 1, *, replica: bool = True, at: float = NOW) -> None:
        node = NodeAnnouncement(
            "other", incarnation, "h:1", "h:2", "z1", "r1", True, 1, ledger_replica=replica
        )
        self.table.announce(node, at)

    def judge(self, process: str) -> RunnerState:
        return judge_runner(process, OWN, self.table, self.liveness, view_at=NOW, now=NOW)

    def test_this_node_is_judged_by_its_incarnation(self) -> None:
        self.assertEqual(RunnerState.RUNS, self.judge("own#7"))
        self.assertEqual(RunnerState.MINE_BEFORE, self.judge("own#6"))

    def test_a_process_runs_while_its_node_counts_as_alive(self) -> None:
        self.announce()
        self.assertEqual(RunnerState.RUNS, self.judge("other#1"))

    def test_unknown_processes_and_nodes_are_gone(self) -> None:
        self.assertEqual(RunnerState.GONE, self.judge("no identity"))
        self.assertEqual(RunnerState.GONE, self.judge("other#1"))

    def test_a_node_without_a_replica_runs_no_batches(self) -> None:
        self.announce(replica=False)
        self.assertEqual(RunnerState.GONE, self.judge("other#1"))

    def test_a_node_whose_announcement_timed_out_is_gone(self) -> None:
        self.announce(at=NOW - FAILURE_TIMEOUT_SECONDS)
        self.assertEqual(RunnerState.GONE, self.judge("other#1"))

    def test_an_earlier_incarnation_of_a_restarted_node_has_returned(self) -> None:
        self.announce(incarnation=2)
        self.assertEqual(RunnerState.RETURNED, self.judge("other#1"))

    def test_probes_take_precedence_over_the_table(self) -> None:
        self.announce()
        self.liveness.record_answer("other#1", "other#2", NOW)
        self.assertEqual(RunnerState.RETURNED, self.judge("other#1"))
        for n in range(PROBE_FAILURES_UNTIL_GONE):
            self.liveness.record_failure("other#1", NOW - 1.0 + n)
        self.assertEqual(RunnerState.GONE, self.judge("other#1"))
