"""Estimates the load of each role at the planned size: measured slopes times planned rates.

Measurements come from `capacity_data`, rates from `planned_load` and bounds from the node's
settings.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stagewalk.bench import planned_load as planned
from stagewalk.bench.capacity_data import CapacityData, SizeMeasurement, UnitCost
from stagewalk.bench.core_costs import CHUNK_TOKENS, REPORTED_ENGINES
from stagewalk.bench.slopes import Line, fit
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.placement import REPLICATION_FACTOR
from stagewalk.node.weights.config import WeightRolloutConfig

PERCENT_PER_MICROSECOND = 100 / 1e6
MEGABYTE = 1024 * 1024
MINIMUM_POINTS = 3


@dataclass(frozen=True, slots=True)
class RoleLoad:
    """Load of a role at the planned size on one node that has it. `None`: not measured."""

    role: str
    state: str
    messages: str
    mechanism: str
    first_limit: str
    cpu_percent: float | None = None
    memory_megabytes: float | None = None
    bytes_per_second: float | None = None


def line_of(data: CapacityData, field: str) -> Line | None:
    """Return a line through one figure of all complete sizes."""
    sizes = complete_sizes(data)
    if len(sizes) < MINIMUM_POINTS:
        return None
    return fit([size.nodes for size in sizes], [getattr(size, field) for size in sizes])


def complete_sizes(data: CapacityData) -> list[SizeMeasurement]:
    """Return the sizes at which every node saw all members."""
    return [size for size in data.sizes if size.complete]


def planned_value(data: CapacityData, field: str) -> float | None:
    """Return a figure at the planned size: measured there, else extrapolated.

    No figure decreases as nodes are added: a falling line is noise, and the mean over the sizes
    is used instead.
    """
    for size in complete_sizes(data):
        if size.nodes == planned.NODES:
            return float(getattr(size, field))
    line = line_of(data, field)
    return None if line is None else max(line.at(planned.NODES), _rate(data, field))


def control_roles(data: CapacityData) -> tuple[RoleLoad, ...]:
    """Return the control roles, which every node has."""
    return (
        _rest(data),
        _engine_polls(data),
        _machine_list(data),
        _log_streams(data),
        _follower(data),
    )


def other_roles(data: CapacityData) -> tuple[RoleLoad, ...]:
    """Return the roles that carry requests, or that few nodes have at a time."""
    return (
        _edge(data),
        _proposer(data),
        _replica(data),
        _weights_holder(data),
        _samples_holder(data),
    )


def control_total(data: CapacityData) -> RoleLoad:
    """Return the total load of a node's control roles."""
    roles = control_roles(data)
    return RoleLoad(
        role="**all of a node's control**",
        state="",
        messages="",
        mechanism="",
        first_limit="",
        cpu_percent=_sum(role.cpu_percent for role in roles),
        bytes_per_second=_sum(role.bytes_per_second for role in roles),
        memory_megabytes=_control_memory(data),
    )


def _sum(values: Iterable[float | None]) -> float | None:
    total = 0.0
    for value in values:
        if value is None:
            return None
        total += value
    return total


def _control_memory(data: CapacityData) -> float | None:
    """Return the memory of a node at rest plus that of the planned number of members."""
    line = line_of(data, "resident_kilobytes")
    if line is None or data.idle_memory_megabytes is None:
        return None
    return data.idle_memory_megabytes + line.slope * planned.NODES / 1024


def _cpu(unit: UnitCost | None, rate: float) -> float | None:
    return None if unit is None else unit.cpu_microseconds * rate * PERCENT_PER_MICROSECOND


def _bytes(unit: UnitCost | None, rate: float) -> float | None:
    return None if unit is None else (unit.bytes_out + unit.bytes_in) * rate


def _rate(data: CapacityData, field: str) -> float:
    """Return a rate that doesn't depend on the number of nodes: the mean of all sizes."""
    values = [getattr(size, field) for size in complete_sizes(data)]
    return sum(values) / len(values) if values else 0.0


def _rate_of_largest(data: CapacityData, field: str) -> float:
    """Return the rate at the largest size, for a rate that drops in large deployments."""
    sizes = complete_sizes(data)
    if not sizes:
        return 0.0
    largest = max(sizes, key=lambda size: size.nodes)
    return float(getattr(largest, field))


def _rest(data: CapacityData) -> RoleLoad:
    out, into = planned_value(data, "bytes_out"), planned_value(data, "bytes_in")
    return RoleLoad(
        role="membership, and all cores at rest",
        state="one record a member",
        messages=f"{_rate(data, 'messages_out'):.1f} out a second: probes, answers, announcements",
        mechanism="probes in turn, gossip bounded by log n, whole lists only where digests differ",
        first_limit="processor: engine reports taken in, then copies of the member list",
        cpu_percent=planned_value(data, "cpu_percent"),
        bytes_per_second=None if out is None or into is None else out + into,
    )


def _engine_polls(data: CapacityData) -> RoleLoad:
    unit, rate = data.unit("engine_poll"), _rate_of_largest(data, "engine_polls")
    return RoleLoad(
        role="engine evidence",
        state="the last report of each engine of the subset",
        messages=f"{rate:.1f} report polls a second",
        mechanism="subset by rendezvous hashing, a budget of polls",
        first_limit="processor and bytes of the polls, each an HTTP call",
        cpu_percent=_cpu(unit, rate),
        bytes_per_second=_bytes(unit, rate),
    )


def _machine_list(data: CapacityData) -> RoleLoad:
    whole, row = data.unit("machine_list_read"), data.unit("machine_list_row")
    rate, rows = _rate(data, "machine_list_reads"), planned.NODES + planned.ENGINES
    whole_cpu, row_cpu = _cpu(whole, rate), _cpu(row, rate * rows)
    whole_bytes, row_bytes = _bytes(whole, rate), _bytes(row, rate * rows)
    return RoleLoad(
        role="machine list",
        state="one row a machine",
        messages=f"{rate:.1f} reads a second of {rows} rows",
        mechanism="every node reads the whole list",
        first_limit="bytes: they grow with all machines",
        cpu_percent=_sum((whole_cpu, row_cpu)),
        bytes_per_second=_sum((whole_bytes, row_bytes)),
    )


def _log_streams(data: CapacityData) -> RoleLoad:
    unit, rate = data.unit("log_read"), _rate(data, "log_reads")
    return RoleLoad(
        role="log streams",
        state="the offset of each stream, appends not settled",
        messages=f"{rate:.1f} reads a second that wait for news, at rest",
        mechanism="long polls on three streams; lost append answers are read back",
        first_limit="the log service: reads grow with the nodes",
        cpu_percent=_cpu(unit, rate),
        bytes_per_second=_bytes(unit, rate),
    )


def _follower(data: CapacityData) -> RoleLoad:
    rate = planned.CONFIGURATION_CHANGES_PER_DAY / planned.SECONDS_PER_DAY
    unit = data.unit("configuration_record")
    return RoleLoad(
        role="configuration follower",
        state="all tenants, the last 256 records",
        messages=f"{rate:.3f} changes a second; announcements are in the first row",
        mechanism="fold of the log, relay by gossip",
        first_limit="nothing near",
        cpu_percent=_cpu(unit, rate),
        bytes_per_second=0.0 if unit is not None else None,
    )


def _edge(data: CapacityData) -> RoleLoad:
    chunks = planned.TOKENS_PER_SECOND / CHUNK_TOKENS / planned.NODES
    request, chunk = data.unit("request"), data.unit("chunk")
    cpu = _sum(
        (_cpu(request, planned.REQUESTS_PER_NODE), _cpu(chunk, chunks)),
    )
    return RoleLoad(
        role="caller edge, its core alone",
        state="each open request",
        messages=(
            f"{planned.REQUESTS_PER_NODE:.1f} requests and {chunks:.0f} chunks"
            f" of {CHUNK_TOKENS} tokens a second"
        ),
        mechanism="one attempt a request, engines' chunks passed on as they come",
        first_limit="processor of the HTTP streams, not measured here",
        cpu_percent=cpu,
    )


def _proposer(data: CapacityData) -> RoleLoad:
    unit = data.unit("claim_proposer")
    rate = planned.CLAIMS_PER_SECOND / planned.NODES
    return RoleLoad(
        role="claims, proposer, if all requests are non-repeatable",
        state="proposals under way",
        messages=f"{rate:.1f} claims a second",
        mechanism="one round to three replicas",
        first_limit="bytes between nodes",
        cpu_percent=_cpu(unit, rate),
        bytes_per_second=_bytes(unit, rate),
    )


def _replica(data: CapacityData) -> RoleLoad:
    unit = data.unit("claim_replica")
    rate = planned.CLAIMS_PER_SECOND * REPLICATION_FACTOR / planned.NODES
    held = rate * ClaimConfig().retention_seconds
    memory = None if unit is None else held * unit.memory_bytes / MEGABYTE
    limit = ClaimConfig().maximum_entries
    return RoleLoad(
        role="claims, replica, if all requests are non-repeatable",
        state=f"{held:.0f} claims held for an hour; the limit is {limit}",
        messages=f"{rate:.1f} claims a second voted on",
        mechanism="partitions spread over all nodes; retention; a bound on entries and bytes",
        first_limit=f"entries: {100 * limit / held:.0f}% of the requests may be non-repeatable",
        cpu_percent=_cpu(unit, rate),
        bytes_per_second=_bytes(unit, rate),
        memory_megabytes=memory,
    )


def _weights_holder(data: CapacityData) -> RoleLoad:
    config = WeightRolloutConfig()
    evaluations = planned.ENGINES / config.evaluation_interval_seconds
    polls = planned.ENGINES / config.idle_poll_seconds
    busy = planned.ENGINES / config.busy_poll_seconds
    cpu = _sum(
        (
            _cpu(data.unit("weights_evaluation"), evaluations),
            _cpu(data.unit("weights_report"), polls / REPORTED_ENGINES),
            _cpu(data.unit("engine_poll"), polls),
        )
    )
    return RoleLoad(
        role="holder of the weights duty of all pools, at rest",
        state="one record an engine",
        messages=f"{polls:.0f} polls a second; up to {busy:.0f} for the seconds of a swap",
        mechanism="one holder a pool by lease; waves bounded by a share of the pool",
        first_limit="processor of the polls during a swap",
        cpu_percent=cpu,
        bytes_per_second=_bytes(data.unit("engine_poll"), polls),
    )


def _samples_holder(data: CapacityData) -> RoleLoad:
    rate = planned.SAMPLES_PER_STEP / planned.STEP_SECONDS
    cpu = _sum((_cpu(data.unit("sample"), rate), _cpu(data.unit("request"), rate)))
    return RoleLoad(
        role="node of a trainer's step, without the chunks",
        state=f"{planned.SAMPLES_PER_STEP} slots a step",
        messages=f"{rate:.1f} samples a second",
        mechanism="one node runs a step; a claim settles each slot",
        first_limit="processor of the chunks of one step at one node, not measured here",
        cpu_percent=cpu,
    )
