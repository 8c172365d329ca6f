"""Which worker the next attempt of a request goes to. Pure.

Owns the choice for forwarded requests, streams and score calls; items of batches are placed by
`batches.placement`. The weights of both are in `workers.placement_costs`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from stagewalk.gateway.workers.placement_costs import (
    NEW_CONNECTION_COST,
    SLOWNESS_COST,
    distance_cost,
    fastest,
    slowness,
)
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Proximity


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
    shortest = fastest(_expected_latency(worker, now) for worker in candidates)

    def cost(worker: Worker) -> tuple[bool, float]:
        distance = distance_cost(proximity, worker)
        connection = NEW_CONNECTION_COST if prefer_warm and not worker.warm(now) else 0.0
        late = slowness(_expected_latency(worker, now), shortest) * SLOWNESS_COST
        return worker.suspect(now), worker.occupancy(now) + distance + connection + late

    return min(candidates, key=cost)


def _expected_latency(worker: Worker, now: float) -> float | None:
    """Return how long an answer begun now is expected to take, in seconds; None if not known."""
    usual = worker.recent_latency(now)
    return None if usual is None else worker.expected_seconds(usual, now)
