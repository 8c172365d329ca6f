"""Fault schedules come from the seed alone; shrinking keeps the faults that a failure needs."""

from __future__ import annotations

import testtools

from stagewalk.simulation.faults import (
    GUARANTEED,
    STORM_RATES,
    Fault,
    FaultKind,
    FaultLevel,
    draw_schedule,
)
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.shrink import Shrinker
from stagewalk.simulation.simulation_run import SimulationArguments, SimulationReport


class FaultScheduleTest(testtools.TestCase):
    def test_schedule_is_drawn_from_the_seed(self) -> None:
        layout = LAYOUTS["both"]()
        first = draw_schedule(layout, FaultLevel.STORM, 7, 600.0)
        self.assertEqual(first, draw_schedule(layout, FaultLevel.STORM, 7, 600.0))
        self.assertNotEqual(first, draw_schedule(layout, FaultLevel.STORM, 8, 600.0))
        self.assertEqual((), draw_schedule(layout, FaultLevel.NONE, 7, 600.0))

    def test_schedules_cover_all_kinds_and_include_the_guaranteed_ones(self) -> None:
        layout = LAYOUTS["both"]()
        seen: set[FaultKind] = set()
        for seed in range(20):
            kinds = {
                fault.kind for fault in draw_schedule(layout, FaultLevel.ORDINARY, seed, 100.0)
            }
            self.assertTrue(kinds.issuperset(GUARANTEED))
            storm = draw_schedule(layout, FaultLevel.STORM, seed, 600.0)
            seen.update(fault.kind for fault in storm)
        self.assertEqual(set(STORM_RATES), seen)


class ShrinkerTest(testtools.TestCase):
    def test_shrinking_keeps_only_the_faults_that_the_failure_needs(self) -> None:
        needed = {"n3", "n5"}
        schedule = tuple(
            Fault(at=float(index), kind=FaultKind.NODE_KILL, seconds=1.0, targets=(f"n{index}",))
            for index in range(1, 12)
        )
        arguments = SimulationArguments(duration_seconds=400.0, schedule=schedule)

        def run(tried: SimulationArguments) -> SimulationReport:
            targets = {fault.targets[0] for fault in tried.schedule or ()}
            return report(tried, broken=targets >= needed)

        shrunk = Shrinker(run, frozenset({"at_most_once"}), 60).shrink(arguments)
        self.assertEqual(["n3", "n5"], [fault.targets[0] for fault in shrunk.schedule or ()])
        self.assertEqual(100.0, shrunk.duration_seconds)


def report(arguments: SimulationArguments, broken: bool) -> SimulationReport:
    return SimulationReport(
        arguments=arguments,
        digest="",
        checked={},
        violations={"at_most_once": int(broken)},
        explanations=[],
        tenants={},
        idle_lower_bound=0.0,
        idle_lower_bounds={},
        core_failures=[],
        unanswered=0,
        control_bytes_per_second=0.0,
        schedule=arguments.schedule or (),
        observations=0,
        wall_seconds=0.0,
        events=0,
    )
