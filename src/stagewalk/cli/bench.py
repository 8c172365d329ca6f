"""`stagewalk bench`: measure running processes and work out what they come to at size."""

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

SIZES_PART, UNITS_PART, FAULTS_PART = "sizes", "units", "faults"
PARTS = (SIZES_PART, UNITS_PART, FAULTS_PART)
DEFAULT_SIZES = "30,60,120,240,420"
DEFAULT_FAULT_SIZES = "105,210,420"
DEFAULT_DATA = Path("docs/capacity.json")
DEFAULT_PAGE = Path("docs/CAPACITY.md")
OUTPUT = Path("out")


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the flags of `stagewalk bench`."""
    commands = parser.add_subparsers(dest="bench_command", required=True, metavar="COMMAND")
    scale = commands.add_parser("scale", help="measure slopes and rewrite the capacity page")
    scale.add_argument("--sizes", default=DEFAULT_SIZES, help="nodes of each hollow cluster")
    scale.add_argument("--workers", type=int, default=3, help="processes that host hollow nodes")
    scale.add_argument("--rest_seconds", type=float, default=10.0, help="time measured at rest")
    scale.add_argument("--join_seconds", type=float, default=90.0, help="longest wait for a join")
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
            sizes = _parse_sizes(arguments.sizes)
            fault_sizes = _parse_sizes(arguments.fault_sizes)
            if sizes is None or fault_sizes is None or arguments.workers < 1:
                print(
                    "--sizes, --fault_sizes: numbers above 1; --workers: at least 1",
                    file=sys.stderr,
                )
                return EXIT_BAD_ARGUMENTS
            data = _measure_scale(data, sizes, fault_sizes, arguments)
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
    data: CapacityData,
    sizes: tuple[int, ...],
    fault_sizes: tuple[int, ...],
    arguments: argparse.Namespace,
) -> CapacityData:
    from stagewalk.bench.plots import plot_sizes

    parts = arguments.parts.split(",")
    if SIZES_PART in parts:
        data = _measure_sizes(data, sizes, arguments)
    if UNITS_PART in parts:
        data = _measure_units(data)
    if FAULTS_PART in parts:
        data = _measure_faults(data, fault_sizes)
    save(OUTPUT / "scale.json", data)
    plot_sizes(data, OUTPUT / "scale.png")
    return data


def _measure_sizes(
    data: CapacityData, sizes: tuple[int, ...], arguments: argparse.Namespace
) -> CapacityData:
    """Measure hollow clusters; sizes measured before and not named now are kept."""
    from stagewalk.bench.scale import ScaleTiming, measure_size

    timing = ScaleTiming(join=arguments.join_seconds, rest=arguments.rest_seconds)
    measured = {size.nodes: size for size in data.sizes}
    for size in sizes:
        measured[size] = measure_size(size, arguments.workers, timing)
        print(msgspec.json.encode(measured[size]).decode(), file=sys.stderr, flush=True)
    in_order = tuple(measured[size] for size in sorted(measured))
    return msgspec.structs.replace(data, sizes=in_order)


def _measure_faults(data: CapacityData, sizes: tuple[int, ...]) -> CapacityData:
    from stagewalk.bench.fault_costs import LARGEST_CUT, measure_faults

    faults = [
        fault for size in sizes for fault in measure_faults(size, with_regions=size <= LARGEST_CUT)
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
