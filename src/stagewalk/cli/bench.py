"""`stagewalk bench`: measure units of work, membership faults and a single node.

Defines the command's flags and rewrites docs/capacity.json and docs/CAPACITY.md with the results of
`stagewalk.bench`.
"""

from __future__ import annotations

import argparse
import platform
import sys
import time
from pathlib import Path

import msgspec

from stagewalk.bench.capacity_data import CapacityData, load, save
from stagewalk.bench.capacity_page import render, write_page

EXIT_DONE = 0
EXIT_BAD_ARGUMENTS = 2

UNITS_PART, FAULTS_PART = "units", "faults"
PARTS = (UNITS_PART, FAULTS_PART)
DEFAULT_FAULT_SIZES = "105,210,420"
DEFAULT_DATA = Path("docs/capacity.json")
DEFAULT_PAGE = Path("docs/CAPACITY.md")
OUTPUT = Path("out")


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the flags of `stagewalk bench`."""
    commands = parser.add_subparsers(dest="bench_command", required=True, metavar="COMMAND")
    scale = commands.add_parser(
        "scale", help="measure unit costs and faults, and rewrite the capacity page"
    )
    scale.add_argument(
        "--fault_sizes", default=DEFAULT_FAULT_SIZES, help="nodes of the networks under faults"
    )
    scale.add_argument(
        "--parts", default=",".join(PARTS), help="what to measure anew; the rest is kept"
    )
    _add_result_flags(scale)

    idle = commands.add_parser("idle_memory", help="measure a node at rest")
    idle.add_argument("--seconds", type=float, default=10.0, help="time of the processor reading")
    _add_result_flags(idle)

    edge = commands.add_parser("edge", help="measure the latency a node adds")
    edge.add_argument("--requests", type=int, default=300)
    _add_result_flags(edge)


def _add_result_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--data", type=Path, default=DEFAULT_DATA, help="measurements, updated")
    parser.add_argument("--page", type=Path, default=DEFAULT_PAGE, help="page, updated")


def run(arguments: argparse.Namespace) -> int:
    """Run a measurement, write its results and return the exit code."""
    data = load(arguments.data) or CapacityData(measured_at="", machine="")
    match arguments.bench_command:
        case "scale":
            fault_sizes = _parse_sizes(arguments.fault_sizes)
            if fault_sizes is None:
                print("--fault_sizes: numbers above 1", file=sys.stderr)
                return EXIT_BAD_ARGUMENTS
            data = _measure_scale(data, fault_sizes, arguments.parts.split(","))
        case "idle_memory":
            data = _measure_idle(data, arguments.seconds)
        case "edge":
            data = _measure_edge(data, arguments.requests)
    data = msgspec.structs.replace(
        data, measured_at=time.strftime("%Y-%m-%d", time.gmtime()), machine=_machine()
    )
    save(arguments.data, data)
    if arguments.page.exists():
        write_page(arguments.page, data)
    print(render(data))
    return EXIT_DONE


def _parse_sizes(text: str) -> tuple[int, ...] | None:
    try:
        sizes = tuple(int(word) for word in text.split(","))
    except ValueError:
        return None
    return sizes if all(size > 1 for size in sizes) else None


def _measure_scale(
    data: CapacityData, fault_sizes: tuple[int, ...], parts: list[str]
) -> CapacityData:
    if UNITS_PART in parts:
        data = _measure_units(data)
    if FAULTS_PART in parts:
        data = _measure_faults(data, fault_sizes)
    return data


def _measure_faults(data: CapacityData, sizes: tuple[int, ...]) -> CapacityData:
    from stagewalk.bench.fault_costs import REGION_PARTITION_NODE_LIMIT, measure_faults

    faults = [
        fault
        for size in sizes
        for fault in measure_faults(size, with_regions=size <= REGION_PARTITION_NODE_LIMIT)
    ]
    return msgspec.structs.replace(data, faults=tuple(faults))


def _measure_units(data: CapacityData) -> CapacityData:
    from stagewalk.bench.claim_costs import measure_claims
    from stagewalk.bench.core_costs import measure_cores
    from stagewalk.bench.http_costs import measure_http

    units = (*measure_cores(), *measure_claims(), *measure_http(OUTPUT / "bench-http.log"))
    return msgspec.structs.replace(data, units=units)


def _measure_idle(data: CapacityData, seconds: float) -> CapacityData:
    from stagewalk.bench.lone_node import measure_idle

    idle = measure_idle(OUTPUT / "bench-idle.log", seconds)
    return msgspec.structs.replace(
        data, idle_memory_megabytes=idle.resident_megabytes, idle_cpu_percent=idle.cpu_percent
    )


def _measure_edge(data: CapacityData, requests: int) -> CapacityData:
    from stagewalk.bench.lone_node import measure_edge

    edge = measure_edge(OUTPUT / "bench-edge.log", requests)
    return msgspec.structs.replace(data, edge=edge)


def _machine() -> str:
    return f"{platform.machine()}, Python {platform.python_version()}"
