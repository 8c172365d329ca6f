"""Settings of one node: a TOML file, overridden by flags.

Owns the file's format and its checks; every error names the field at fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from expression import Ok, Result, effect

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import Address
from stagewalk.common.settings.addresses import parse_listen_address, parse_service_url
from stagewalk.common.settings.decoding import decode_table, read_table
from stagewalk.common.settings.fields import Limits, LogLevel, Name, PositiveSeconds


@dataclass(frozen=True, slots=True)
class PlatformUrls:
    """Base URLs of the platform's services, without a trailing slash."""

    log: str
    weights: str
    machines: str
    scorer: str


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Time bounds set by the platform, in seconds.

    Attributes
    ----------
    stop_grace
        Time from the request to stop until the process is killed; None: it isn't killed, and calls
        in flight may take as long as they need.
    """

    stop_grace: PositiveSeconds | None = None


DEFAULT_TIMING = Timing()


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Checked settings of a node.

    Attributes
    ----------
    listen
        Address of the HTTP edge for callers, trainers and operators.
    peer_listen
        Address for other nodes, over UDP and TCP.
    peer_advertise
        Address other nodes reach it at, if it differs from `peer_listen`, as behind NAT.
    """

    name: str
    region: str
    zone: str
    listen: Address
    peer_listen: Address
    platform: PlatformUrls
    limits: Limits
    log_level: LogLevel
    peer_advertise: Address | None = None
    timing: Timing = DEFAULT_TIMING

    @property
    def peer_address(self) -> Address:
        """Return the address other nodes reach this one at."""
        return self.peer_advertise or self.peer_listen


class _PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    log: str
    weights: str
    machines: str
    scorer: str


class _SettingsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Name
    region: Name
    zone: Name
    listen: str
    peer_listen: str
    platform: _PlatformSection
    peer_advertise: str | None = None
    limits: Limits = Limits()
    timing: Timing = DEFAULT_TIMING
    log_level: LogLevel = "info"


def load_node_settings(
    path: Path | None, overrides: Mapping[str, str | None]
) -> Result[NodeSettings, StagewalkError]:
    """Read, override and check a node's settings.

    Parameters
    ----------
    path
        The TOML file; `None` takes everything from `overrides`.
    overrides
        Values of flags by dotted field path, such as `platform.log`; `None` keeps a field.
    """
    return (
        _read_table(path)
        .bind(lambda table: decode_table(_override(table, overrides), _SettingsFile))
        .bind(_check)
    )


def _read_table(path: Path | None) -> Result[dict[str, Any], StagewalkError]:
    return Ok({}) if path is None else read_table(path)


def _override(table: dict[str, Any], overrides: Mapping[str, str | None]) -> dict[str, Any]:
    for field, value in overrides.items():
        if value is None:
            continue
        *sections, key = field.split(".")
        target = table
        for section in sections:
            target = target.setdefault(section, {})
            if not isinstance(target, dict):
                break
        else:
            target[key] = value
    return table


@effect.result[NodeSettings, StagewalkError]()
def _check(file: _SettingsFile) -> Any:
    listen = yield from parse_listen_address("listen", file.listen)
    peer_listen = yield from parse_listen_address("peer_listen", file.peer_listen)
    peer_advertise = None
    if file.peer_advertise is not None:
        peer_advertise = yield from parse_listen_address("peer_advertise", file.peer_advertise)
    log = yield from parse_service_url("platform.log", file.platform.log)
    weights = yield from parse_service_url("platform.weights", file.platform.weights)
    machines = yield from parse_service_url("platform.machines", file.platform.machines)
    scorer = yield from parse_service_url("platform.scorer", file.platform.scorer)
    return NodeSettings(
        name=file.name,
        region=file.region,
        zone=file.zone,
        listen=listen,
        peer_listen=peer_listen,
        platform=PlatformUrls(log, weights, machines, scorer),
        limits=file.limits,
        log_level=file.log_level,
        peer_advertise=peer_advertise,
        timing=file.timing,
    )
