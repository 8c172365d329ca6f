"""The checker detects each mutant within a few seeds."""

from __future__ import annotations

import testtools

from stagewalk.history.checker_verdict import Promise
from stagewalk.simulation.faults import FaultLevel
from stagewalk.simulation.mutants import MUTANTS
from stagewalk.simulation.simulation_run import SimulationArguments
from stagewalk.simulation.sweep import run_many

SEEDS_ALLOWED = 3
"""Each mutant must be caught, and the product be clean, on the first seeds."""

PROCESSES = 2


def arguments(seed: int, mutant: str = "") -> SimulationArguments:
    return SimulationArguments(
        deployment="compact",
        seed=seed,
        duration_seconds=150.0,
        faults=FaultLevel.STORM,
        fault_rate_factor=4.0,
        mutant=mutant,
    )


class MutantsTest(testtools.TestCase):
    def test_every_promise_has_a_mutant(self) -> None:
        self.assertEqual(set(Promise), {mutant.breaks for mutant in MUTANTS.values()})

    def test_each_mutant_is_caught(self) -> None:
        left = dict(MUTANTS)
        for seed in range(1, SEEDS_ALLOWED + 1):
            reports = run_many([arguments(seed, name) for name in left], PROCESSES)
            for report in reports:
                name = report.arguments.mutant
                if report.violations[left[name].breaks]:
                    del left[name]
        self.assertEqual([], sorted(left))

    def test_product_is_clean_on_the_same_seeds(self) -> None:
        runs = [arguments(seed) for seed in range(1, SEEDS_ALLOWED + 1)]
        for report in run_many(runs, PROCESSES):
            self.assertEqual([], [*report.explanations, *report.core_failures])
