"""Fault schedules: what fails when, drawn from the seed and independent of the state of the world.

Owns the rates and kinds of each level; relies on the layout for what there is to fail.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import StrEnum

import msgspec

from stagewalk.simulation.layout import Layout
from stagewalk.simulation.virtual_time import derived_generator

QUIET_AT_START_SECONDS = 10.0
QUIET_AT_END_SECONDS = 40.0
"""No fault begins in the last seconds, so that delayed effects are still observed."""


class FaultLevel(StrEnum):
    """How much fails."""

    NONE = "none"
    ORDINARY = "ordinary"
    STORM = "storm"


class FaultKind(StrEnum):
    """What can fail."""

    NODE_KILL = "node_kill"
    NODE_STOP = "node_stop"
    NODE_PAUSE = "pause"
    ROLLING_REPLACEMENT = "rolling_replacement"
    ENGINE_CRASH = "engine_crash"
    ENGINE_STOP = "engine_stop"
    SWAP_FAILURE = "swap_failure"
    ZONE_LOSS = "zone_loss"
    ZONE_PARTITION = "zone_partition"
    REGION_PARTITION = "region_partition"
    ONE_WAY_PARTITION = "one_way_partition"
    LINK_PARTITION = "link_partition"
    NODE_ISOLATED = "node_isolated"
    LOG_DOWN = "log_down"
    LOG_SLOW = "log_slow"
    LOG_ANSWERS_LOST = "log_answers_lost"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    MACHINE_LIST_STALE = "machine_list_stale"
    MACHINE_LIST_DOWN = "machine_list_down"
    SCORER_FAILING = "scorer_failing"
    TRAINER_CRASH = "trainer_crash"
    PACKET_LOSS = "packet_loss"
    PACKET_DELAY = "packet_delay"
    PACKET_DUPLICATION = "packet_duplication"
    PACKET_REORDERING = "packet_reordering"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One planned fault.

    Attributes
    ----------
    at, seconds
        When it begins, and how long it lasts (for a kill: until the restart).
    targets
        Machines, zones, regions or trainers concerned, or none.
    magnitude
        A fraction or added seconds, by kind.
    """

    at: float
    kind: FaultKind
    seconds: float
    targets: tuple[str, ...] = ()
    magnitude: float = 0.0


class _Rate(msgspec.Struct, frozen=True):
    """Rate of a kind per 600 s at the level `storm`, and the range of its duration."""

    per_ten_minutes: float
    shortest_seconds: float
    longest_seconds: float


STORM_RATES: dict[FaultKind, _Rate] = {
    FaultKind.NODE_KILL: _Rate(5.0, 1.0, 20.0),
    FaultKind.NODE_STOP: _Rate(3.0, 1.0, 10.0),
    FaultKind.NODE_PAUSE: _Rate(4.0, 1.0, 25.0),
    FaultKind.ROLLING_REPLACEMENT: _Rate(0.5, 2.0, 4.0),
    FaultKind.ENGINE_CRASH: _Rate(5.0, 2.0, 30.0),
    FaultKind.ENGINE_STOP: _Rate(3.0, 2.0, 20.0),
    FaultKind.SWAP_FAILURE: _Rate(6.0, 0.0, 0.0),
    FaultKind.ZONE_LOSS: _Rate(0.5, 10.0, 60.0),
    FaultKind.ZONE_PARTITION: _Rate(1.0, 3.0, 60.0),
    FaultKind.REGION_PARTITION: _Rate(1.0, 5.0, 120.0),
    FaultKind.ONE_WAY_PARTITION: _Rate(2.0, 3.0, 30.0),
    FaultKind.LINK_PARTITION: _Rate(4.0, 2.0, 40.0),
    FaultKind.NODE_ISOLATED: _Rate(2.0, 2.0, 40.0),
    FaultKind.LOG_DOWN: _Rate(2.0, 3.0, 120.0),
    FaultKind.LOG_SLOW: _Rate(2.0, 5.0, 60.0),
    FaultKind.LOG_ANSWERS_LOST: _Rate(2.0, 10.0, 60.0),
    FaultKind.STORE_DOWN: _Rate(1.0, 5.0, 60.0),
    FaultKind.STORE_SLOW: _Rate(1.0, 10.0, 60.0),
    FaultKind.MACHINE_LIST_STALE: _Rate(1.5, 20.0, 120.0),
    FaultKind.MACHINE_LIST_DOWN: _Rate(1.0, 5.0, 60.0),
    FaultKind.SCORER_FAILING: _Rate(1.0, 5.0, 40.0),
    FaultKind.TRAINER_CRASH: _Rate(2.0, 1.0, 20.0),
    FaultKind.PACKET_LOSS: _Rate(2.0, 5.0, 60.0),
    FaultKind.PACKET_DELAY: _Rate(2.0, 5.0, 60.0),
    FaultKind.PACKET_DUPLICATION: _Rate(1.5, 5.0, 60.0),
    FaultKind.PACKET_REORDERING: _Rate(1.5, 5.0, 60.0),
}

ORDINARY_FRACTION = 0.15
"""Rate of the level `ordinary` relative to `storm`."""

GUARANTEED = (
    FaultKind.NODE_STOP,
    FaultKind.ENGINE_STOP,
    FaultKind.SWAP_FAILURE,
    FaultKind.NODE_KILL,
)
"""Kinds that each schedule has at least once, so that every promise is checked."""


def draw_schedule(
    layout: Layout,
    level: FaultLevel,
    seed: int,
    duration_seconds: float,
    rate_factor: float = 1.0,
) -> tuple[Fault, ...]:
    """Draw the faults of a run in order of time; `rate_factor` multiplies their rates."""
    if level is FaultLevel.NONE:
        return ()
    scale = rate_factor * (1.0 if level is FaultLevel.STORM else ORDINARY_FRACTION)
    faults: list[Fault] = []
    for kind, rate in STORM_RATES.items():
        generator = derived_generator(seed, "faults", kind)
        expected = scale * rate.per_ten_minutes * duration_seconds / 600.0
        count = _draw_count(expected, generator)
        if kind in GUARANTEED:
            count = max(1, count)
        for _ in range(count):
            fault = _draw_fault(layout, kind, rate, duration_seconds, generator)
            if fault is not None:
                faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: (fault.at, fault.kind, fault.targets)))


def _draw_count(expected: float, generator: random.Random) -> int:
    """Draw a count of mean `expected` from a Poisson distribution."""
    count = 0
    passed = generator.expovariate(1.0)
    while passed < expected:
        count += 1
        passed += generator.expovariate(1.0)
    return count


def _draw_fault(
    layout: Layout,
    kind: FaultKind,
    rate: _Rate,
    duration_seconds: float,
    generator: random.Random,
) -> Fault | None:
    quiet_at_end = min(QUIET_AT_END_SECONDS, duration_seconds / 3.0)
    latest = max(QUIET_AT_START_SECONDS, duration_seconds - quiet_at_end)
    at = generator.uniform(QUIET_AT_START_SECONDS, latest)
    seconds = generator.uniform(rate.shortest_seconds, rate.longest_seconds)
    targets = _TARGETS[kind](layout, generator) if kind in _TARGETS else ()
    if targets is None:
        return None
    magnitude = _MAGNITUDES[kind](generator) if kind in _MAGNITUDES else 0.0
    return Fault(
        at=round(at, 3),
        kind=kind,
        seconds=round(min(seconds, duration_seconds / 3.0), 3),
        targets=targets,
        magnitude=round(magnitude, 3),
    )


Targets = Callable[[Layout, random.Random], tuple[str, ...] | None]


def _one_node(layout: Layout, generator: random.Random) -> tuple[str, ...]:
    return (generator.choice(layout.nodes).endpoint.name,)


def _one_engine(layout: Layout, generator: random.Random) -> tuple[str, ...]:
    return (generator.choice(layout.engines).endpoint.name,)


def _one_zone(layout: Layout, generator: random.Random) -> tuple[str, ...]:
    zone = generator.choice(layout.zones)
    return (f"{zone.region}/{zone.zone}",)


def _one_region(layout: Layout, generator: random.Random) -> tuple[str, ...] | None:
    regions = sorted(layout.latencies)
    return (generator.choice(regions),) if len(regions) > 1 else None


def _link(layout: Layout, generator: random.Random) -> tuple[str, ...]:
    names = [node.endpoint.name for node in layout.nodes]
    names.extend(engine.endpoint.name for engine in layout.engines)
    return tuple(generator.sample(names, 2))


def _one_trainer(layout: Layout, generator: random.Random) -> tuple[str, ...] | None:
    return (generator.choice(layout.trainers).trainer,) if layout.trainers else None


_TARGETS: dict[FaultKind, Targets] = {
    FaultKind.NODE_KILL: _one_node,
    FaultKind.NODE_STOP: _one_node,
    FaultKind.NODE_PAUSE: _one_node,
    FaultKind.NODE_ISOLATED: _one_node,
    FaultKind.ENGINE_CRASH: _one_engine,
    FaultKind.ENGINE_STOP: _one_engine,
    FaultKind.SWAP_FAILURE: _one_engine,
    FaultKind.ZONE_LOSS: _one_zone,
    FaultKind.ZONE_PARTITION: _one_zone,
    FaultKind.ONE_WAY_PARTITION: _one_zone,
    FaultKind.REGION_PARTITION: _one_region,
    FaultKind.LINK_PARTITION: _link,
    FaultKind.TRAINER_CRASH: _one_trainer,
}

_MAGNITUDES: dict[FaultKind, Callable[[random.Random], float]] = {
    FaultKind.LOG_ANSWERS_LOST: lambda generator: generator.uniform(0.2, 0.8),
    FaultKind.STORE_SLOW: lambda generator: generator.uniform(2.0, 6.0),
    FaultKind.MACHINE_LIST_STALE: lambda generator: generator.uniform(15.0, 60.0),
    FaultKind.SCORER_FAILING: lambda generator: generator.uniform(0.3, 1.0),
    FaultKind.PACKET_LOSS: lambda generator: generator.uniform(0.01, 0.3),
    FaultKind.PACKET_DELAY: lambda generator: generator.uniform(0.02, 0.4),
    FaultKind.PACKET_DUPLICATION: lambda generator: generator.uniform(0.05, 0.5),
    FaultKind.PACKET_REORDERING: lambda generator: generator.uniform(0.05, 0.5),
}
