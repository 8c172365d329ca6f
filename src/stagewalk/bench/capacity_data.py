"""Measurements behind docs/CAPACITY.md, as they are kept in docs/capacity.json.

Defines the file format and reads and writes it. `sizes` was measured by a benchmark that no longer
exists; its figures are kept, and `capacity_model` fits lines to them.
"""

from __future__ import annotations

from pathlib import Path

import msgspec


class SizeMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """One hollow cluster at rest, and its reaction to a configuration change and a node's death.

    Rates are per node and second. Bytes between nodes include 28 bytes of IP and UDP headers per
    message. `None`: the event did not happen within the time limit.

    Attributes
    ----------
    complete
        Whether every node saw all members before the rest was measured.
    cpu_percent
        Processor time of a node at rest, engine polls and log reads answered inside, in percent
        of a core.
    resident_kilobytes
        Resident memory that a node adds to its process.
    detection_seconds, last_detection_seconds
        From a node's death until half, and until all, of the others called it dead.
    in_force_seconds
        From the publishing of a change until it was in force at the last node.
    relayed_in_force_seconds
        The same while only every tenth node reached the log.
    """

    nodes: int
    complete: bool
    join_seconds: float
    join_cpu_seconds: float
    cpu_percent: float
    messages_out: float
    bytes_out: float
    bytes_in: float
    engine_polls: float
    machine_list_reads: float
    log_reads: float
    resident_kilobytes: float
    detection_seconds: float | None
    last_detection_seconds: float | None
    in_force_seconds: float | None
    relayed_in_force_seconds: float | None


class UnitCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one unit of work, from a line fitted to runs of several lengths.

    Attributes
    ----------
    cpu_microseconds, cpu_error
        Slope of processor time, and its standard error.
    bytes_out, bytes_in
        Bytes sent and received on the socket, without IP and TCP headers; 0 without a socket.
    """

    name: str
    unit: str
    cpu_microseconds: float
    cpu_error: float
    bytes_out: float = 0.0
    bytes_in: float = 0.0
    memory_bytes: float = 0.0


class FaultMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Reaction of membership to a fault, in virtual time.

    Attributes
    ----------
    settled_seconds
        Until every running node saw exactly the running nodes it can reach, in steps of a second.
    bytes_out, cpu_percent
        Mean of a node over that time: bytes a second with IP and UDP headers, percent of a core.
    wrongly_dead
        Running, reachable nodes that any node declared dead meanwhile.
    """

    fault: str
    nodes: int
    settled_seconds: float | None
    bytes_out: float
    cpu_percent: float
    wrongly_dead: int


class EdgeMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of completions through a node and directly to an engine, in seconds."""

    requests: int
    direct_p50: float
    through_p50: float
    direct_p99: float
    through_p99: float

    @property
    def added_p50(self) -> float:
        """Return the latency that the node adds at the median."""
        return self.through_p50 - self.direct_p50


class CapacityData(msgspec.Struct, frozen=True, kw_only=True):
    """All measurements. `None` or empty: not measured."""

    measured_at: str
    machine: str
    sizes: tuple[SizeMeasurement, ...] = ()
    units: tuple[UnitCost, ...] = ()
    faults: tuple[FaultMeasurement, ...] = ()
    idle_memory_megabytes: float | None = None
    idle_cpu_percent: float | None = None
    edge: EdgeMeasurement | None = None

    def unit(self, name: str) -> UnitCost | None:
        """Return a unit cost by its name."""
        return next((unit for unit in self.units if unit.name == name), None)


def load(path: Path) -> CapacityData | None:
    """Read measurements, or return `None` if there are none yet."""
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=CapacityData)


def save(path: Path, data: CapacityData) -> None:
    """Write measurements, one field a line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=1) + b"\n")
