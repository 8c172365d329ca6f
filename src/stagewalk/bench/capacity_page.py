"""The generated part of docs/CAPACITY.md.

Formats the measurements of `capacity_data` and the estimates of `capacity_model` as tables. A test
compares the committed page with the committed data.
"""

from __future__ import annotations

from pathlib import Path

from stagewalk.bench import capacity_model as model
from stagewalk.bench import planned_load as planned
from stagewalk.bench.capacity_data import (
    CapacityData,
    EdgeMeasurement,
    FaultMeasurement,
    SizeMeasurement,
    UnitCost,
)

BEGIN = "<!-- generated from capacity.json: begin -->"
END = "<!-- generated from capacity.json: end -->"
NOT_MEASURED = "not measured"
SIZES_ORIGIN = (
    "Measured 2026-12-02 on x86_64, Python 3.11.7, at commit b919428;"
    " the code that measured them is gone."
)
"""Origin of `CapacityData.sizes`, which no command measures again."""


def write_page(path: Path, data: CapacityData) -> None:
    """Replace the page's generated part."""
    path.write_text(with_generated(path.read_text(), data))


def with_generated(page: str, data: CapacityData) -> str:
    """Return a page with its generated part made from these measurements."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{render(data)}\n{END}{after}"


def render(data: CapacityData) -> str:
    """Return all tables."""
    parts = [
        f"Measured {data.measured_at} on {data.machine}, the clusters apart.",
        _sizes(data),
        _lines(data),
        _units(data),
        _lone_node(data),
        _roles("Control of every node", (*model.control_roles(data), model.control_total(data))),
        _limits(data),
        _roles("Roles beside control", model.other_roles(data)),
        _faults(data),
    ]
    return "\n\n".join(parts) + "\n"


def _table(title: str, header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [f"### {title}", "", "| " + " | ".join(header) + " |", "|---" * len(header) + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _sizes(data: CapacityData) -> str:
    header = (
        "nodes",
        "all see all",
        "join, s",
        "join, CPU s a node",
        "CPU %",
        "bytes/s out",
        "bytes/s in",
        "memory, KB a node",
        "death seen by half, s",
        "by all, s",
        "change in force, s",
        "one in ten reaches the log, s",
    )
    table = _table("Hollow clusters", header, [_size_row(size) for size in data.sizes])
    return f"{table}\n\n{SIZES_ORIGIN}"


def _size_row(size: SizeMeasurement) -> tuple[str, ...]:
    return (
        str(size.nodes),
        "yes" if size.complete else "no",
        f"{size.join_seconds:.1f}",
        f"{size.join_cpu_seconds:.2f}",
        f"{size.cpu_percent:.2f}",
        f"{size.bytes_out:.0f}",
        f"{size.bytes_in:.0f}",
        f"{size.resident_kilobytes:.0f}",
        _number(size.detection_seconds, 1),
        _number(size.last_detection_seconds, 1),
        _number(size.in_force_seconds, 2),
        _number(size.relayed_in_force_seconds, 2),
    )


def _lines(data: CapacityData) -> str:
    figures = {
        "cpu_percent": "CPU %",
        "bytes_out": "bytes/s out",
        "bytes_in": "bytes/s in",
        "resident_kilobytes": "memory, KB a node",
        "join_cpu_seconds": "join, CPU s a node",
    }
    rows = [_line_row(data, field, title) for field, title in figures.items()]
    header = ("figure", "at 0 members", "slope a member", f"at {planned.NODES}")
    return _table("Lines through the complete sizes, with standard errors", header, rows)


def _line_row(data: CapacityData, field: str, title: str) -> tuple[str, ...]:
    line = model.line_of(data, field)
    if line is None:
        return (title, NOT_MEASURED, NOT_MEASURED, NOT_MEASURED)
    return (
        title,
        f"{line.intercept:.3g}",
        f"{line.slope:.3g} ± {line.slope_error:.2g}",
        f"{line.at(planned.NODES):.3g} ± {line.error_at(planned.NODES):.2g}",
    )


def _units(data: CapacityData) -> str:
    header = ("unit", "of", "CPU, µs", "bytes out", "bytes in", "memory, bytes")
    return _table("Costs of one unit of work", header, [_unit_row(unit) for unit in data.units])


def _unit_row(unit: UnitCost) -> tuple[str, ...]:
    return (
        unit.name,
        unit.unit,
        f"{unit.cpu_microseconds:.4g} ± {unit.cpu_error:.2g}",
        f"{unit.bytes_out:.0f}",
        f"{unit.bytes_in:.0f}",
        f"{unit.memory_bytes:.0f}",
    )


def _lone_node(data: CapacityData) -> str:
    rows: list[tuple[str, ...]] = [
        ("resident memory at rest, MB", _number(data.idle_memory_megabytes, 1)),
        ("CPU at rest, %", _number(data.idle_cpu_percent, 2)),
    ]
    rows += _edge_rows(data.edge)
    return _table("One real node, one caller", ("figure", "value"), rows)


def _edge_rows(edge: EdgeMeasurement | None) -> list[tuple[str, ...]]:
    if edge is None:
        return [("latency through the node", NOT_MEASURED)]
    return [
        ("p50 straight to the engine, ms", _milliseconds(edge.direct_p50)),
        ("p50 through the node, ms", _milliseconds(edge.through_p50)),
        ("added at p50, ms", _milliseconds(edge.added_p50)),
        ("p99 straight, ms", _milliseconds(edge.direct_p99)),
        ("p99 through the node, ms", _milliseconds(edge.through_p99)),
    ]


def _roles(title: str, roles: tuple[model.RoleLoad, ...]) -> str:
    header = (
        "role",
        "state",
        "messages",
        "CPU %",
        "memory, MB",
        "bytes/s, both ways",
        "mechanism",
        "what breaks first",
    )
    return _table(f"{title}, at {planned.NODES} nodes", header, [_role_row(role) for role in roles])


def _role_row(role: model.RoleLoad) -> tuple[str, ...]:
    return (
        role.role,
        role.state,
        role.messages,
        _number(role.cpu_percent, 2),
        _number(role.memory_megabytes, 1),
        _number(role.bytes_per_second, 0),
        role.mechanism,
        role.first_limit,
    )


def _limits(data: CapacityData) -> str:
    total = model.control_total(data)
    rows = [
        _limit_row("CPU, % of a core", total.cpu_percent, planned.CPU_LIMIT_PERCENT),
        _limit_row("memory, MB", total.memory_megabytes, planned.MEMORY_LIMIT_MEGABYTES),
        _limit_row("bytes/s", total.bytes_per_second, planned.BYTES_LIMIT_PER_SECOND),
    ]
    rows += [_time_row(data)]
    return _table("Against the limits", ("figure", "value", "limit", "verdict"), rows)


def _limit_row(title: str, value: float | None, limit: float) -> tuple[str, ...]:
    if value is None:
        return (title, NOT_MEASURED, f"{limit:g}", NOT_MEASURED)
    room = 100 * (1 - value / limit)
    verdict = f"{room:.0f}% left" if value <= limit else f"**over, {value / limit:.1f} times**"
    return (title, f"{value:.2f}", f"{limit:g}", verdict)


def _time_row(data: CapacityData) -> tuple[str, ...]:
    times = [size.relayed_in_force_seconds for size in model.complete_sizes(data)]
    known = [time for time in times if time is not None]
    title = "change in force, one node in ten at the log, s (slowest size)"
    worst = max(known) if known and len(known) == len(times) else None
    return _limit_row(title, worst, planned.CONFIGURATION_DEADLINE_SECONDS)


def _faults(data: CapacityData) -> str:
    header = (
        "fault",
        "nodes",
        "settled after, s",
        "bytes/s out meanwhile",
        "CPU % meanwhile",
        "running nodes called dead",
    )
    rows = [_fault_row(fault) for fault in data.faults]
    return _table("Faults, membership alone on virtual time", header, rows)


def _fault_row(fault: FaultMeasurement) -> tuple[str, ...]:
    return (
        fault.fault,
        str(fault.nodes),
        _number(fault.settled_seconds, 0),
        f"{fault.bytes_out:.0f}",
        f"{fault.cpu_percent:.2f}",
        str(fault.wrongly_dead),
    )


def _number(value: float | None, digits: int) -> str:
    return NOT_MEASURED if value is None else f"{value:.{digits}f}"


def _milliseconds(seconds: float) -> str:
    return f"{1000 * seconds:.1f}"
