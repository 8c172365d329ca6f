"""Tests that an engine gets new work only while it has a valid report that says it serves."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.common.identities import (
    Address,
    AttemptId,
    EngineName,
    Incarnation,
    NodeName,
    Placement,
)
from stagewalk.node.core.platform import EngineState, MachineState
from stagewalk.node.routing.config import EngineTableConfig
from stagewalk.node.routing.engine_table import EngineTable
from tests.node.requests.support import MODEL, PLACE, Identity, machine, report

E1 = EngineName("e1")


def table_of(*names: str, config: EngineTableConfig | None = None) -> EngineTable:
    table = EngineTable(Identity(), config or EngineTableConfig())
    table.handle_machines([machine(name) for name in names], 0.0)
    return table


def eligible(table: EngineTable, now: float) -> list[str]:
    return [record.name for record in table.eligible(MODEL, now)]


class EvidenceTest(testtools.TestCase):
    def test_nothing_is_eligible_without_a_report(self) -> None:
        self.assertEqual([], eligible(table_of("e1"), 0.0))

    def test_evidence_expires(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0), 0.0)
        self.assertEqual(["e1"], eligible(table, 2.4))
        self.assertEqual([], eligible(table, 2.6))

    def test_evidence_counts_from_when_the_poll_was_sent(self) -> None:
        table = table_of("e1")
        self.assertEqual(1, len(table.tick(0.0)))
        table.handle_report(E1, report("e1", 1.4), 1.4)
        self.assertEqual([], eligible(table, 2.6))

    def test_stuck_report_expires_though_polls_succeed(self) -> None:
        table = table_of("e1")
        for tenth in range(40):
            table.handle_report(E1, report("e1", 0.0), tenth / 10)
        self.assertEqual([], eligible(table, 4.0))

    def test_leaving_engine_gets_no_new_work(self) -> None:
        for state in (EngineState.DRAINING, EngineState.LEAVING, EngineState.LOADING):
            table = table_of("e1")
            table.handle_report(E1, report("e1", 0.0), 0.0)
            table.handle_report(E1, report("e1", 0.1, state=state), 0.1)
            self.assertEqual([], eligible(table, 0.1), state)
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0), 0.0)
        table.handle_machines([machine("e1", state=MachineState.LEAVING)], 0.1)
        self.assertEqual([], eligible(table, 0.1))

    def test_refusal_holds_until_a_report_made_after_it(self) -> None:
        """A report made before the refusal may arrive later and still say that it serves."""
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0), 0.0)
        table.record_refused(E1, 0.1, 1.0)
        table.handle_report(E1, report("e1", 0.9), 1.5)
        self.assertEqual([], eligible(table, 1.9))
        table.handle_report(E1, report("e1", 1.8), 1.9)
        self.assertEqual(["e1"], eligible(table, 1.9))

    def test_engine_missing_from_the_list_stays_while_it_reports(self) -> None:
        table = table_of("e1", "e2")
        table.handle_report(E1, report("e1", 1.0), 1.0)
        table.handle_machines([machine("e2")], 1.5)
        self.assertEqual(["e1"], eligible(table, 1.5))
        table.handle_machines([machine("e2"), machine("e3")], 9.0)
        self.assertEqual({"e2", "e3"}, table.names())

    def test_another_engine_at_the_address_is_no_evidence(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e9", 0.0), 0.0)
        self.assertEqual([], eligible(table, 0.0))

    def test_new_incarnation_resets_and_the_old_one_is_dropped(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0), 0.0)
        table.record_started(E1, AttemptId("a1"), 100.0, 0.1)
        table.record_refused(E1, None, 0.2)
        restarted = report("e1", 0.3, incarnation=Incarnation(2))
        table.handle_report(E1, restarted, 0.3)
        self.assertEqual(["e1"], eligible(table, 0.3))
        record = table.record(E1)
        self.assertEqual(0, record.added_sequences)
        table.record_ended(AttemptId("a1"), 0.4)
        self.assertEqual(0, record.added_sequences)
        table.handle_report(E1, report("e1", 0.5, state=EngineState.LEAVING), 0.5)
        self.assertEqual(restarted, record.report)

    def test_engine_clock_stepped_back_is_followed(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e1", 1000.0), 0.0)
        table.handle_report(E1, report("e1", 500.0), 1.0)
        self.assertEqual(["e1"], eligible(table, 3.0))

    def test_engine_with_a_new_address_is_reset(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0), 0.0)
        moved = replace(machine("e1"), address=Address("127.0.0.2", 9000))
        table.handle_machines([moved], 0.1)
        self.assertEqual([], eligible(table, 0.1))


class LagTest(testtools.TestCase):
    def test_load_is_corrected_for_attempts_since_the_report(self) -> None:
        table = table_of("e1")
        for attempt, at in (("a1", 0.2), ("a2", 0.8)):
            table.record_started(E1, AttemptId(attempt), 50.0, at)
        table.handle_report(E1, report("e1", 0.5, running=1), 0.5)
        table.handle_report(E1, report("e1", 0.5, running=1), 1.0)
        record = table.record(E1)
        self.assertEqual(1, record.added_sequences, "a2 began after the report was made")
        table.record_ended(AttemptId("a1"), 1.1)
        self.assertEqual(0, record.added_sequences, "the report still counts a1")
        table.handle_report(E1, report("e1", 1.2, running=1), 1.2)
        self.assertEqual(0, record.added_sequences)

    def test_pool_view_includes_own_attempts(self) -> None:
        table = table_of("e1")
        table.handle_report(E1, report("e1", 0.0, running=3, waiting=2), 0.0)
        table.record_started(E1, AttemptId("a1"), 50.0, 0.1)
        view = table.pool_view(MODEL, 0.1)
        self.assertEqual((1, 8, 6), (view.engines, view.slots, view.load))


class PollTest(testtools.TestCase):
    def test_poll_in_flight_is_not_repeated(self) -> None:
        table = table_of("e1")
        table.record_demand(0.0)
        sent = [len(table.tick(tenth / 10)) for tenth in range(14)]
        self.assertEqual(1, sum(sent))
        self.assertEqual(1, sum(len(table.tick(1.4 + tenth / 10)) for tenth in range(6)))

    def test_budget_bounds_polls_whatever_the_number_of_engines(self) -> None:
        small = EngineTableConfig(polls_per_second=8.0, large_deployment_engines=600)
        self.check_budget(small, least=80, engines=15)

    def test_large_deployment_has_a_smaller_budget(self) -> None:
        self.check_budget(EngineTableConfig(), least=40, engines=7)

    def check_budget(self, config: EngineTableConfig, least: int, engines: int) -> None:
        table = table_of(*(f"e{number}" for number in range(600)), config=config)
        polled = []
        for tenth in range(100):
            table.record_demand(tenth / 10)
            for poll in table.tick(tenth / 10):
                polled.append(poll.engine)
                table.handle_report(poll.engine, report(poll.engine, tenth / 10), tenth / 10)
        self.assertTrue(least <= len(polled) <= least + 8, len(polled))
        self.assertEqual(engines, len(set(polled)), "no more engines than it keeps fresh")
        self.assertEqual(engines, len(eligible(table, 9.9)))

    def test_idle_node_polls_less_and_keeps_its_evidence(self) -> None:
        table = table_of("e1")
        polls = 0
        for tenth in range(100):
            now = tenth / 10
            for _ in table.tick(now):
                polls += 1
                table.handle_report(E1, report("e1", now), now)
            self.assertEqual(["e1"], eligible(table, now))
        self.assertLess(polls, 8)


class SubsetTest(testtools.TestCase):
    def subset(self, node: str, engines: int, gone: str = "") -> set[str]:
        table = EngineTable(Identity(name=NodeName(node)), EngineTableConfig())
        names = [f"e{number}" for number in range(engines) if f"e{number}" != gone]
        table.handle_machines([machine(name) for name in names], 0.0)
        return set(table.names())

    def test_removing_an_engine_replaces_only_that_engine(self) -> None:
        before = self.subset("n1", 100)
        gone = min(before)
        self.assertEqual(16, len(before))
        self.assertEqual(15, len(before & self.subset("n1", 100, gone)))

    def test_nodes_spread_over_all_engines(self) -> None:
        used = set()
        for number in range(100):
            used |= self.subset(f"n{number}", 100)
        self.assertEqual(100, len(used))

    def test_own_zone_is_preferred_not_exclusive(self) -> None:
        here, there = PLACE, Placement(PLACE.region, "hall-south")
        table = EngineTable(Identity(), EngineTableConfig())
        rows = [machine(f"e{number}", here if number % 2 else there) for number in range(100)]
        table.handle_machines(rows, 0.0)
        near = sum(1 for name in table.names() if int(name[1:]) % 2)
        self.assertTrue(8 < near < 16, near)
