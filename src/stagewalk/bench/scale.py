"""Measures hollow clusters of growing size."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields

from stagewalk.bench.capacity_data import SizeMeasurement
from stagewalk.bench.hollow_cluster import HollowCluster
from stagewalk.bench.hollow_layout import MODELS
from stagewalk.bench.hollow_messages import Seen, Traffic, WorkerSample
from stagewalk.bench.hollow_platform import LOG_WAIT_SECONDS
from stagewalk.common.identities import ModelName, TenantName
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import (
    CONFIGURATION_STREAM,
    AnyChange,
    ChangeParameters,
    CreateTenant,
    encode_change,
)

HEADER_BYTES = 28
"""IPv4 and UDP headers of a message."""

KILOBYTE = 1024
RELAY_FRACTION = 10


@dataclass(frozen=True, slots=True)
class ScaleTiming:
    """Length of a run's phases, in seconds.

    `join` bounds the wait for all nodes to see all; `settle` passes before the `rest` that is
    measured; `spread` bounds the wait for a change, `detect` that for a death.
    """

    join: float = 90.0
    settle: float = 4.0
    rest: float = 10.0
    spread: float = 15.0
    detect: float = 40.0


@dataclass(frozen=True, slots=True)
class _Rates:
    cpu_seconds: float
    traffic: Traffic


def measure_size(node_count: int, worker_count: int, timing: ScaleTiming) -> SizeMeasurement:
    """Run one hollow cluster through its phases."""
    cluster = HollowCluster(node_count, worker_count)
    try:
        return _measure(cluster, node_count, timing)
    finally:
        cluster.stop()


def _measure(cluster: HollowCluster, node_count: int, timing: ScaleTiming) -> SizeMeasurement:
    cluster.serve(1.0)
    cpu_before = sum(sample.cpu_seconds for sample in cluster.samples())
    cluster.publish(CONFIGURATION_STREAM, encode_change(_creation()))
    began_at = time.monotonic()
    cluster.start_nodes()
    complete = cluster.serve_until(
        lambda samples: sum(sample.complete for sample in samples) == node_count, timing.join
    )
    join_seconds = time.monotonic() - began_at
    join_cpu = sum(sample.cpu_seconds for sample in cluster.samples()) - cpu_before
    cluster.serve(timing.settle)
    rates = _measure_rest(cluster, timing.rest)
    resident = cluster.samples()
    in_force = _time_change(cluster, 1, node_count, timing.spread)
    cluster.cut_log(RELAY_FRACTION)
    cluster.serve(LOG_WAIT_SECONDS + 1)
    relayed = _time_change(cluster, 2, node_count, timing.spread)
    deaths = _time_death(cluster, node_count, timing.detect)
    traffic = rates.traffic
    return SizeMeasurement(
        nodes=node_count,
        complete=complete,
        join_seconds=join_seconds,
        join_cpu_seconds=join_cpu / node_count,
        cpu_percent=100 * rates.cpu_seconds / node_count,
        messages_out=traffic.peer_messages_out / node_count,
        bytes_out=(traffic.peer_bytes_out + HEADER_BYTES * traffic.peer_messages_out) / node_count,
        bytes_in=(traffic.peer_bytes_in + HEADER_BYTES * traffic.peer_messages_in) / node_count,
        engine_polls=traffic.engine_polls / node_count,
        machine_list_reads=traffic.machine_list_reads / node_count,
        log_reads=traffic.log_reads / node_count,
        resident_kilobytes=_resident(resident) / KILOBYTE / node_count,
        detection_seconds=statistics.median(deaths) if deaths else None,
        last_detection_seconds=max(deaths) if len(deaths) == node_count - 1 else None,
        in_force_seconds=in_force,
        relayed_in_force_seconds=relayed,
    )


def _measure_rest(cluster: HollowCluster, seconds: float) -> _Rates:
    """Return what all nodes together spend in a second."""
    before, began_at = cluster.samples(), time.monotonic()
    cluster.serve(seconds)
    after = cluster.samples()
    passed = time.monotonic() - began_at
    spent = sum(a.cpu_seconds - b.cpu_seconds for a, b in zip(after, before, strict=True))
    return _Rates(spent / passed, _difference(after, before, passed))


def _difference(
    after: Sequence[WorkerSample], before: Sequence[WorkerSample], seconds: float
) -> Traffic:
    totals = {
        field.name: sum(getattr(sample.traffic, field.name) for sample in after)
        - sum(getattr(sample.traffic, field.name) for sample in before)
        for field in fields(Traffic)
    }
    return Traffic(**{name: total / seconds for name, total in totals.items()})


def _time_change(
    cluster: HollowCluster, revision: int, node_count: int, seconds: float
) -> float | None:
    """Publish a change and return how long it took to be in force at the last node."""
    published_at = cluster.publish(CONFIGURATION_STREAM, encode_change(_change(revision)))
    subject = str(revision + 1)

    def everywhere(samples: list[WorkerSample]) -> bool:
        return len(_times(samples, subject)) == node_count

    if not cluster.serve_until(everywhere, seconds):
        return None
    return max(_times(cluster.samples(), subject)) - published_at


def _times(samples: Iterable[WorkerSample], offset: str) -> list[float]:
    return [seen.at for sample in samples for seen in sample.in_force if seen.subject == offset]


def _time_death(cluster: HollowCluster, node_count: int, seconds: float) -> list[float]:
    """Kill a node; return how long each other node took to call it dead."""
    victim = cluster.identities[node_count // 2].name
    killed_at = cluster.kill(victim)
    cluster.serve_until(
        lambda samples: len(_deaths_of(samples, victim, killed_at)) == node_count - 1, seconds
    )
    deaths = _deaths_of(cluster.samples(), victim, killed_at)
    first: dict[str, float] = {}
    for seen in deaths:
        first.setdefault(seen.observer, seen.at - killed_at)
    return list(first.values())


def _deaths_of(samples: Iterable[WorkerSample], victim: str, since: float) -> list[Seen]:
    return [
        seen
        for sample in samples
        for seen in sample.deaths
        if seen.subject == victim and seen.at >= since
    ]


def _resident(samples: Iterable[WorkerSample]) -> int:
    return sum(sample.resident_bytes - sample.empty_resident_bytes for sample in samples)


def _creation() -> AnyChange:
    return CreateTenant(
        operator="bench",
        partner="thornfield",
        tenant=TenantName("advice"),
        base_revision=0,
        template="rollouts",
        parameters=_parameters(0),
    )


def _change(revision: int) -> AnyChange:
    return ChangeParameters(
        operator="bench",
        partner="thornfield",
        tenant=TenantName("advice"),
        base_revision=revision,
        parameters=_parameters(revision),
    )


def _parameters(revision: int) -> TenantParameters:
    models = tuple(ModelName(model) for model in MODELS)
    return TenantParameters(models=models, staleness_bound_versions=1 + revision)
