"""`stagewalk sim`: simulate a deployment on a virtual clock; `stagewalk sim sweep`: many seeds."""

from __future__ import annotations

import argparse
import math
import sys
from pathlib import Path

import msgspec

from stagewalk.history.observations import encode_line
from stagewalk.simulation.faults import FaultLevel
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.mutants import MUTANTS
from stagewalk.simulation.policies import POLICIES, PRODUCT
from stagewalk.simulation.simulation_run import (
    SimulationArguments,
    SimulationReport,
    run_simulation,
)

EXIT_CLEAN = 0
EXIT_VIOLATION = 1
EXIT_BAD_ARGUMENTS = 2
SWEEP = "sweep"


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the subcommand's flags."""
    parser.add_argument("mode", nargs="?", choices=[SWEEP], help="run many seeds")
    parser.add_argument("--deployment", choices=sorted(LAYOUTS), default="thornfield")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration_seconds", type=float, default=120.0, help="virtual time")
    parser.add_argument(
        "--faults", choices=[level.value for level in FaultLevel], default=FaultLevel.NONE.value
    )
    parser.add_argument("--fault_rate_factor", type=float, default=1.0, help="faults per time")
    parser.add_argument("--policy", choices=sorted(POLICIES), default=PRODUCT)
    parser.add_argument("--mutant", choices=["", *sorted(MUTANTS)], default="")
    parser.add_argument("--report", type=Path, help="write the report as JSON")
    parser.add_argument("--history", type=Path, help="write the history as JSON lines")
    parser.add_argument("--replay", type=Path, help="run the arguments of an earlier report")


def run(arguments: argparse.Namespace) -> int:
    """Run a simulation and return the exit code."""
    parsed = _parse(arguments)
    if parsed is None:
        return EXIT_BAD_ARGUMENTS
    result = run_simulation(parsed, progress=lambda now: _show_progress(parsed, now))
    print(file=sys.stderr)
    if arguments.report is not None:
        arguments.report.write_bytes(msgspec.json.format(msgspec.json.encode(result.report)))
    if arguments.history is not None:
        arguments.history.write_bytes(b"".join(encode_line(item) for item in result.history))
    print(render(result.report))
    return EXIT_CLEAN if result.report.clean else EXIT_VIOLATION


def _parse(arguments: argparse.Namespace) -> SimulationArguments | None:
    """Return a run's arguments, or None after saying what is wrong with them."""
    if arguments.replay is not None:
        try:
            return msgspec.json.decode(
                arguments.replay.read_bytes(), type=SimulationReport
            ).arguments
        except (OSError, msgspec.MsgspecError) as error:
            print(f"cannot replay {arguments.replay}: {error}", file=sys.stderr)
            return None
    duration = arguments.duration_seconds
    if not math.isfinite(duration) or duration <= 0:
        print("--duration_seconds must be positive", file=sys.stderr)
        return None
    return SimulationArguments(
        deployment=arguments.deployment,
        seed=arguments.seed,
        duration_seconds=duration,
        faults=FaultLevel(arguments.faults),
        fault_rate_factor=arguments.fault_rate_factor,
        policy=arguments.policy,
        mutant=arguments.mutant,
    )


def _show_progress(arguments: SimulationArguments, now: float) -> None:
    line = (
        f"{arguments.deployment} seed={arguments.seed} {now:.0f}/{arguments.duration_seconds:.0f} s"
    )
    print(f"\r{line}", end="", file=sys.stderr, flush=True)


def render(report: SimulationReport) -> str:
    """Return a report as lines of text."""
    lines = [f"digest={report.digest} observations={report.observations} events={report.events}"]
    lines.append(f"wall_seconds={report.wall_seconds:.1f} faults={len(report.schedule)}")
    for promise, checked in report.checked.items():
        lines.append(f"{promise:<20} checked={checked} violations={report.violations[promise]}")
    for tenant, summary in report.tenants.items():
        lines.append(f"{tenant}: {msgspec.json.encode(summary).decode()}")
    lines.append(f"idle_lower_bound={report.idle_lower_bound:.3f} unanswered={report.unanswered}")
    lines.append(f"control_bytes_per_second={report.control_bytes_per_second:.0f}")
    lines.extend(report.explanations)
    lines.extend(f"core failure: {failure}" for failure in report.core_failures)
    return "\n".join(lines)
