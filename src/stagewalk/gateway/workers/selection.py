"""Which worker the next attempt of a request goes to."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Proximity

COLD_PENALTY = 0.2
"""What a worker costs to which a new connection must be opened, likewise: one more request at a
worker of six slots is no reason to open one, two are."""

SLOWNESS_WEIGHT = 0.5
SLOWNESS_LIMIT = 3.0


def choose_worker(
    workers: Iterable[Worker],
    now: float,
    proximity: Proximity,
    tried: Collection[str] = (),
    *,
    prefer_warm: bool = False,
) -> Worker | None:
    """Return the worker expected to answer first, none that was tried already.

    Workers that failed lately come last; among the others the emptier, the faster and the
    nearer one wins, and with `prefer_warm` one to which a connection is kept.
    """
    candidates = [w for w in workers if w.announcement.worker not in tried]
    if not candidates:
        return None
    fastest = fastest_latency(candidates, now)

    def cost(worker: Worker) -> tuple[bool, float]:
        distance = proximity.penalty(worker.announcement.zone)
        cold = COLD_PENALTY if prefer_warm and not worker.warm(now) else 0.0
        late = slowness(worker, fastest, now) * SLOWNESS_WEIGHT
        return worker.suspect(now), worker.occupancy(now) + distance + cold + late

    return min(candidates, key=cost)


def fastest_latency(workers: Iterable[Worker], now: float) -> float:
    """Return the shortest recent latency, 0 if none is known."""
    latencies = [latency for w in workers if (latency := w.recent_latency(now)) is not None]
    return min(latencies, default=0.0)


def slowness(worker: Worker, fastest: float, now: float) -> float:
    """Return how many times longer a worker takes than the fastest one, less one."""
    latency = worker.recent_latency(now)
    if latency is None or fastest <= 0.0:
        return 0.0
    return min(SLOWNESS_LIMIT, latency / fastest - 1.0)
