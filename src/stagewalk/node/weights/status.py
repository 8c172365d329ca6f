"""What operators may see of weight rollouts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuarantineStatus:
    """An engine left alone after repeated failures; it still serves what it truly holds."""

    engine: str
    active_version: int
    wanted_version: int
    failures: int
    seconds_left: float


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """Progress of a pool whose duty this node holds.

    Attributes
    ----------
    targets
        Versions the pool is to hold, newest last: one, unless tenants' pins differ.
    engines, on_target, staging, activating, missing
        Engines with evidence, of these on their target, fetching, and loading; and listed
        engines without evidence.
    active_versions
        Engines by the version they truly run.
    """

    pool: str
    epoch: int
    targets: tuple[int, ...]
    engines: int
    on_target: int
    staging: int
    activating: int
    missing: int
    active_versions: dict[int, int]
    quarantined: tuple[QuarantineStatus, ...]
