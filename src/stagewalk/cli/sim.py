"""`stagewalk sim`: simulate a deployment on a virtual clock.

In mode `sweep` it runs many seeds in parallel and shrinks the first failing run. `simulation` runs
the deployment and `history` checks it.
"""

from __future__ import annotations

import argparse
import math
import sys
from functools import partial
from pathlib import Path
from typing import NoReturn, TypeAlias

import msgspec
from tqdm import tqdm

from stagewalk.history.observations import encode_line
from stagewalk.simulation.faults import FaultLevel
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.mutants import MUTANTS
from stagewalk.simulation.shrink import Shrinker, broken_promises
from stagewalk.simulation.simulation_run import (
    Replay,
    SimulationArguments,
    SimulationReport,
    run_simulation,
)
from stagewalk.simulation.sweep import missing_checks, run_many, run_report

Bar: TypeAlias = "tqdm[NoReturn]"
"""A progress bar that is updated by hand, without an iterable."""

EXIT_CLEAN = 0
EXIT_VIOLATION = 1
EXIT_BAD_ARGUMENTS = 2

SWEEP = "sweep"
SHRINKING_RUNS = 60


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the subcommand's flags."""
    levels = [level.value for level in FaultLevel]
    parser.add_argument("mode", nargs="?", choices=[SWEEP], help="run many seeds")
    parser.add_argument("--deployment", choices=sorted(LAYOUTS), default="thornfield")
    parser.add_argument("--seed", type=int, default=1, help="of the run, or the first of many")
    parser.add_argument("--duration_seconds", type=float, default=120.0, help="virtual time")
    parser.add_argument("--faults", choices=levels, default=FaultLevel.NONE.value)
    parser.add_argument("--fault_rate_factor", type=float, default=1.0, help="faults per time")
    parser.add_argument("--mutant", choices=["", *sorted(MUTANTS)], default="")
    parser.add_argument("--report", type=Path, help="write the report as JSON")
    parser.add_argument("--history", type=Path, help="write the history as JSON lines")
    parser.add_argument("--replay", type=Path, help="run the arguments of an earlier report")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds of many runs")
    parser.add_argument("--processes", type=int, help="runs side by side; default: processors")
    parser.add_argument("--output", type=Path, help="folder of a sweep's reports")


def run(arguments: argparse.Namespace) -> int:
    """Run and return the exit code."""
    parsed = _parse(arguments)
    if parsed is None:
        return EXIT_BAD_ARGUMENTS
    if arguments.mode == SWEEP:
        return _sweep(parsed, arguments)
    return _run_one(parsed, arguments)


def _parse(arguments: argparse.Namespace) -> SimulationArguments | None:
    """Return a run's arguments, or None after printing why they are invalid."""
    if arguments.replay is not None:
        try:
            return msgspec.json.decode(arguments.replay.read_bytes(), type=Replay).arguments
        except (OSError, msgspec.MsgspecError) as error:
            print(f"cannot replay {arguments.replay}: {error}", file=sys.stderr)
            return None
    for name in ("duration_seconds", "fault_rate_factor", "seeds"):
        value = getattr(arguments, name)
        if not math.isfinite(value) or value <= 0:
            print(f"--{name} must be positive", file=sys.stderr)
            return None
    return SimulationArguments(
        deployment=arguments.deployment,
        seed=arguments.seed,
        duration_seconds=arguments.duration_seconds,
        faults=FaultLevel(arguments.faults),
        fault_rate_factor=arguments.fault_rate_factor,
        mutant=arguments.mutant,
    )


def _run_one(parsed: SimulationArguments, arguments: argparse.Namespace) -> int:
    with tqdm(total=round(parsed.duration_seconds), unit="s", desc=_name(parsed)) as bar:
        result = run_simulation(parsed, progress=lambda now: _advance(bar, now))
    if arguments.report is not None:
        write_report(arguments.report, result.report)
    if arguments.history is not None:
        arguments.history.write_bytes(b"".join(encode_line(item) for item in result.history))
    print(render(result.report))
    return EXIT_CLEAN if result.report.clean else EXIT_VIOLATION


def _sweep(parsed: SimulationArguments, arguments: argparse.Namespace) -> int:
    """Run many seeds; write and shrink what fails."""
    seeds = range(parsed.seed, parsed.seed + arguments.seeds)
    runs = [msgspec.structs.replace(parsed, seed=seed) for seed in seeds]
    with tqdm(total=len(runs), unit="run", desc=_name(parsed)) as bar:
        reports = run_many(runs, arguments.processes, finished=partial(_count, bar))
    folder = arguments.output or Path("out/sweep")
    folder.mkdir(parents=True, exist_ok=True)
    for report in reports:
        write_report(folder / f"{_name(report.arguments)}-{report.arguments.seed}.json", report)
    failing = [report for report in reports if not report.clean]
    print(render_sweep(reports))
    if failing:
        _shrink(failing[0], folder)
    unchecked = missing_checks(reports) if parsed.faults is FaultLevel.STORM else []
    print("\n".join(unchecked))
    return EXIT_VIOLATION if failing or unchecked else EXIT_CLEAN


def _shrink(report: SimulationReport, folder: Path) -> None:
    """Shrink a failing run and write the result for `--replay`."""
    with tqdm(total=SHRINKING_RUNS, unit="run", desc="shrinking") as bar:

        def counted(arguments: SimulationArguments) -> SimulationReport:
            bar.update()
            return run_report(arguments)

        shrinker = Shrinker(counted, broken_promises(report), SHRINKING_RUNS)
        smaller = run_report(shrinker.shrink(report.arguments))
    path = folder / f"shrunk-{_name(report.arguments)}-{report.arguments.seed}.json"
    write_report(path, smaller)
    print(render(smaller))
    print(f"replay: stagewalk sim --replay={path}")


def _count(bar: Bar, _: SimulationReport) -> None:
    bar.update()


def read_report(path: Path) -> SimulationReport:
    """Read a report; raises `OSError` or `msgspec.MsgspecError`."""
    return msgspec.json.decode(path.read_bytes(), type=SimulationReport)


def write_report(path: Path, report: SimulationReport) -> None:
    """Write a report as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def _name(arguments: SimulationArguments) -> str:
    parts = [arguments.deployment, arguments.faults.value, arguments.mutant]
    return "-".join(part for part in parts if part)


def _advance(bar: Bar, now: float) -> None:
    bar.update(round(now) - bar.n)


def render_sweep(reports: list[SimulationReport]) -> str:
    """Return the totals of many runs, and the broken promises of each failing run."""
    lines = [f"{len(reports)} runs, {sum(not report.clean for report in reports)} failing"]
    for promise in reports[0].checked:
        checked = [report.checked[promise] for report in reports]
        broken = sum(report.violations[promise] for report in reports)
        lines.append(
            f"{promise:<20} checked={sum(checked)} least_in_a_run={min(checked)}"
            f" violations={broken}"
        )
    for report in reports:
        if not report.clean:
            names = ", ".join(sorted(broken_promises(report)))
            lines.append(f"seed={report.arguments.seed} digest={report.digest} broke {names}")
    return "\n".join(lines)


def render(report: SimulationReport) -> str:
    """Return a report as lines of text."""
    lines = [
        f"digest={report.digest} observations={report.observations} events={report.events}",
        f"wall_seconds={report.wall_seconds:.1f} faults={len(report.schedule)}",
    ]
    for promise, checked in report.checked.items():
        lines.append(f"{promise:<20} checked={checked} violations={report.violations[promise]}")
    for tenant, summary in report.tenants.items():
        lines.append(f"{tenant}: {msgspec.json.encode(summary).decode()}")
    lines.append(f"idle_lower_bound={report.idle_lower_bound:.3f} unanswered={report.unanswered}")
    lines.append(f"control_bytes_per_second={report.control_bytes_per_second:.0f}")
    lines.extend(report.explanations)
    lines.extend(f"core failure: {failure}" for failure in report.core_failures)
    return "\n".join(lines)
