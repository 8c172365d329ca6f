"""Settings of a gateway, read from a TOML file and validated before anything starts.

Owns names, defaults and bounds of the fields; docs/GATEWAY.md lists them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from expression import Error, Result, effect

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import Address, Placement
from stagewalk.common.settings.addresses import parse_listen_address, settings_error
from stagewalk.common.settings.decoding import decode_table, read_table
from stagewalk.common.settings.fields import LogLevel, Name, PositiveInteger
from stagewalk.gateway.batches.view_lease import MINIMUM_BATCH_END_SECONDS
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy

Positive = Annotated[float, msgspec.Meta(gt=0)]
BatchEnd = Annotated[float, msgspec.Meta(gt=MINIMUM_BATCH_END_SECONDS)]


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Time bounds set by the platform, in seconds.

    Attributes
    ----------
    lease_quiet
        Time between two holders of the duty lease in which neither may act.
    stop_grace
        Time from the request to stop until the process is killed.
    batch_end
        Time after the acknowledged end of a batch in which its items may still reach workers.
    """

    lease_quiet: Positive = 3.0
    stop_grace: Positive = 8.0
    batch_end: BatchEnd = 3.0


class Processor(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """This process's share of a core, and the core's speed relative to a standard core."""

    share: Positive = 1.0
    speed: Positive = 1.0

    @property
    def capacity(self) -> float:
        """Return the capacity in standard cores."""
        return self.share * self.speed


DEFAULT_PROCESSOR = Processor()


class Memory(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Memory limit of this process, in MB of a million bytes."""

    limit_mb: Positive


class LogLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits of the log: bytes per record, bytes per call, and partitions per topic."""

    record_bytes: PositiveInteger = 262_144
    call_bytes: PositiveInteger = 2_097_152
    partitions: PositiveInteger = 12


class Autoscaling(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Autoscaling of services whose configuration enables it.

    Attributes
    ----------
    mode
        `off`: no workers are ordered. `restore`: keep the number of workers found when the service
        was first seen. `demand`: in addition, order enough for all items of open batches at once.
    places_per_item
        Places ordered per item of the recent peak of open items; with 1.0 no item waits.
    spot
        Whether workers beyond the initial number are spot instances, which the platform may
        reclaim.
    """

    mode: Literal["off", "restore", "demand"] = "demand"
    places_per_item: Positive = 1.0
    spot: bool = True


DEFAULT_AUTOSCALING = Autoscaling()


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Endpoint and usage windows of the calls made by the holder of the duty lease.

    Attributes
    ----------
    usage_window
        Length of a usage window in seconds; None: usage isn't reported.
    usage_due
        Seconds after the end of a window by which it must be reported.
    """

    address: Address
    usage_window: float | None
    usage_due: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Validated settings.

    Attributes
    ----------
    front, readiness, directory
        Listen addresses for callers, readiness checks and directory lookups.
    peers
        Listen address for other nodes; None: they can't connect.
    processor
        Share and speed of the processor; faster nodes are preferred for running batches.
    metrics
        Additional listen address, for metrics and operators.
    log
        Address of the platform's partitioned log.
    policy
        Switches of optional optimizations.
    duties
        None: the platform has no endpoint for duties.
    memory
        None: the limit isn't known, and buffers for slow callers and workers have no common bound.
    autoscaling
        Rules for ordering workers.
    zones
        Region of each zone.
    """

    name: str
    placement: Placement
    front: Address
    readiness: Address
    directory: Address
    peers: Address | None
    metrics: Address | None
    log: Address
    log_limits: LogLimits
    timing: Timing
    log_level: LogLevel
    processor: Processor = DEFAULT_PROCESSOR
    policy: Policy = DEFAULT_POLICY
    duties: DutySettings | None = None
    memory: Memory | None = None
    autoscaling: Autoscaling = DEFAULT_AUTOSCALING
    zones: Mapping[str, str] = field(default_factory=dict)


class _DutiesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: str
    usage_window: Positive | None = None
    usage_due: Positive = 10.0


class _ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    front: str
    readiness: str
    directory: str
    peers: str | None = None
    metrics: str | None = None


class _LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: str
    limits: LogLimits = LogLimits()


class _SettingsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Name
    region: Name
    zone: Name
    listen: _ListenSection
    log: _LogSection
    timing: Timing = Timing()
    log_level: LogLevel = "info"
    processor: Processor = Processor()
    policy: Policy = DEFAULT_POLICY
    duties: _DutiesSection | None = None
    memory: Memory | None = None
    autoscaling: Autoscaling = DEFAULT_AUTOSCALING
    zones: dict[Name, Name] = {}


def load_gateway_settings(path: Path) -> Result[GatewaySettings, StagewalkError]:
    """Read and validate settings; an error names the invalid field."""
    return read_table(path).bind(lambda table: decode_table(table, _SettingsFile)).bind(_check)


@effect.result[GatewaySettings, StagewalkError]()
def _check(file: _SettingsFile) -> Any:
    if file.zones.get(file.zone, file.region) != file.region:
        detail = f"zone {file.zone} is said to be in region {file.zones[file.zone]}"
        yield from Error(settings_error(f"zones.{file.zone}", detail))
    front = yield from parse_listen_address("listen.front", file.listen.front)
    readiness = yield from parse_listen_address("listen.readiness", file.listen.readiness)
    directory = yield from parse_listen_address("listen.directory", file.listen.directory)
    peers = None
    if file.listen.peers is not None:
        peers = yield from parse_listen_address("listen.peers", file.listen.peers)
    metrics = None
    if file.listen.metrics is not None:
        metrics = yield from parse_listen_address("listen.metrics", file.listen.metrics)
    log = yield from parse_listen_address("log.address", file.log.address)
    duties = None
    if file.duties is not None:
        address = yield from parse_listen_address("duties.address", file.duties.address)
        duties = DutySettings(address, file.duties.usage_window, file.duties.usage_due)
    return GatewaySettings(
        name=file.name,
        placement=Placement(file.region, file.zone),
        front=front,
        readiness=readiness,
        directory=directory,
        peers=peers,
        metrics=metrics,
        log=log,
        log_limits=file.log.limits,
        timing=file.timing,
        log_level=file.log_level,
        processor=file.processor,
        policy=file.policy,
        duties=duties,
        memory=file.memory,
        autoscaling=file.autoscaling,
        zones=file.zones,
    )
