"""Settings of a gateway: a TOML file, checked as a whole before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from expression import Result, effect

from stagewalk.core.errors import StagewalkError
from stagewalk.core.identities import Address, Placement
from stagewalk.core.policy import ALL_ON, Policy
from stagewalk.settings.addresses import parse_listen_address
from stagewalk.settings.decoding import decode_table, read_table
from stagewalk.settings.node_settings import LogLevel, Name, PositiveInteger

Positive = Annotated[float, msgspec.Meta(gt=0)]


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds the surroundings set, in seconds.

    Attributes
    ----------
    lease_quiet
        How long nobody may order engines between two holders.
    stop_grace
        How long a process has from the request to stop until it is killed.
    """

    lease_quiet: Positive = 3.0
    stop_grace: Positive = 8.0


class Processor(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What this process gets of the machine: a share of a core, and how fast that core is."""

    share: Positive = 1.0
    speed: Positive = 1.0

    @property
    def capacity(self) -> float:
        """Return the cores of the usual speed that it gets."""
        return self.share * self.speed


DEFAULT_PROCESSOR = Processor()


class LogLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the log takes: bytes a record, bytes a call, and partitions a topic has."""

    record_bytes: PositiveInteger = 262_144
    call_bytes: PositiveInteger = 2_097_152
    partitions: PositiveInteger = 12


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Checked settings.

    Attributes
    ----------
    front, readiness, directory
        Where callers, readiness checks and askers for addresses connect.
    peers
        Where other nodes connect; None: they can't.
    processor
        Faster nodes rather than slower ones run batches.
    metrics
        Where metrics are served besides.
    log
        The platform's partitioned log.
    policy
        Which mechanisms of decision are in use.
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
    policy: Policy = ALL_ON


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
    policy: Policy = ALL_ON


def load_gateway_settings(path: Path) -> Result[GatewaySettings, StagewalkError]:
    """Read and check settings; an error names the field."""
    return read_table(path).bind(lambda table: decode_table(table, _SettingsFile)).bind(_check)


@effect.result[GatewaySettings, StagewalkError]()
def _check(file: _SettingsFile) -> Any:
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
    )
