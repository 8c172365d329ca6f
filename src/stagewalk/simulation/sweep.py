"""Many runs over several processes, and their combined results.

Owns the worker processes; relies on `simulation_run` for each run.
"""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Callable, Sequence

from stagewalk.simulation.simulation_run import (
    SimulationArguments,
    SimulationReport,
    run_simulation,
)


def run_report(arguments: SimulationArguments) -> SimulationReport:
    """Run a simulation and return its report only."""
    return run_simulation(arguments).report


def run_many(
    runs: Sequence[SimulationArguments],
    processes: int | None = None,
    finished: Callable[[SimulationReport], None] = lambda _: None,
) -> list[SimulationReport]:
    """Run simulations side by side and return their reports in the order of `runs`.

    Parameters
    ----------
    processes
        How many at a time; by default one for each processor.
    finished
        Told of each report as it comes, in the order of `runs`.
    """
    count = min(len(runs), processes or os.cpu_count() or 1)
    if count <= 1:
        return [_told(run_report(run), finished) for run in runs]
    # A fresh interpreter for each process: no state of the parent can leak into a run.
    context = multiprocessing.get_context("spawn")
    with context.Pool(count, maxtasksperchild=4) as pool:
        return [_told(report, finished) for report in pool.imap(run_report, runs)]


def missing_checks(reports: Sequence[SimulationReport]) -> list[str]:
    """Return which promises a run never checked, as lines of text."""
    lines = []
    for report in reports:
        unchecked = [promise for promise, count in report.checked.items() if count == 0]
        if unchecked:
            lines.append(f"seed {report.arguments.seed}: never checked: {', '.join(unchecked)}")
    return lines


def _told(
    report: SimulationReport, finished: Callable[[SimulationReport], None]
) -> SimulationReport:
    finished(report)
    return report
