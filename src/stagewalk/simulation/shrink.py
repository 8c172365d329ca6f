"""Shrinks a failing run to a smaller one that still breaks the same promise.

Owns the order in which faults and time are left out; relies on its caller to run each candidate.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stagewalk.simulation.faults import Fault
from stagewalk.simulation.simulation_run import (
    SimulationArguments,
    SimulationReport,
    planned_schedule,
)

SHORTEST_SECONDS = 20.0
DURATION_STEPS = (0.25, 0.5, 0.75)

Runner = Callable[[SimulationArguments], SimulationReport]


def broken_promises(report: SimulationReport) -> frozenset[str]:
    """Return the promises a run broke, with `core_failure` if a core raised an exception."""
    broken = {promise for promise, count in report.violations.items() if count}
    if report.core_failures:
        broken.add("core_failure")
    return frozenset(broken)


class Shrinker:
    """Tries smaller runs until none fails in the same way, or `runs_allowed` is used up."""

    def __init__(self, run: Runner, target: frozenset[str], runs_allowed: int) -> None:
        self._run = run
        self._target = target
        self.runs_left = runs_allowed

    def shrink(self, arguments: SimulationArguments) -> SimulationArguments:
        """Return the smallest failing run found: shorter first, then with fewer faults."""
        schedule = planned_schedule(arguments)
        current = msgspec.structs.replace(arguments, schedule=schedule)
        current = self._shorten(current)
        return self._drop_faults(current)

    def _fails(self, arguments: SimulationArguments) -> bool:
        if self.runs_left <= 0:
            return False
        self.runs_left -= 1
        return bool(self._target & broken_promises(self._run(arguments)))

    def _shorten(self, arguments: SimulationArguments) -> SimulationArguments:
        for fraction in DURATION_STEPS:
            seconds = max(SHORTEST_SECONDS, round(arguments.duration_seconds * fraction, 1))
            kept = tuple(fault for fault in arguments.schedule or () if fault.at < seconds)
            shorter = msgspec.structs.replace(arguments, duration_seconds=seconds, schedule=kept)
            if self._fails(shorter):
                return shorter
        return arguments

    def _drop_faults(self, arguments: SimulationArguments) -> SimulationArguments:
        """Remove chunks of faults, halving their size, as long as the rest still fails."""
        size = max(1, len(arguments.schedule or ()) // 2)
        while size >= 1 and self.runs_left > 0:
            arguments = self._drop_chunks(arguments, size)
            size //= 2
        return arguments

    def _drop_chunks(self, arguments: SimulationArguments, size: int) -> SimulationArguments:
        start = 0
        while start < len(arguments.schedule or ()):
            schedule: tuple[Fault, ...] = arguments.schedule or ()
            fewer = msgspec.structs.replace(
                arguments, schedule=schedule[:start] + schedule[start + size :]
            )
            if self._fails(fewer):
                arguments = fewer
            else:
                start += size
        return arguments
