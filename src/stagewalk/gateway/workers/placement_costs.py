"""Cost terms for choosing a worker. Pure.

Used by `workers.selection.choose_worker` (forwarded requests, streams, score calls) and by
`batches.placement` (batch items). Each adds the terms below to a worker's occupancy and takes the
lowest sum, so all terms are in units of occupancy: 1.0 is one request per slot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Distance, Proximity

# All requests.

DISTANCE_COST: Mapping[Distance, float] = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.05,
    Distance.OTHER_REGION: 0.3,
}
"""Zones of a region are 0.5 to 1.4 ms apart, regions 12 to 20 ms. A request leaves the region only
if it would otherwise wait behind two more requests at a worker of six slots: a request of 38 ms
takes 60% longer in another region."""

SLOWNESS_LIMIT = 3.0
"""Upper bound of `slowness`, so that a single very slow answer does not exclude a worker."""

# Forwarded requests, streams and score calls.

SLOWNESS_COST = 0.5
"""Cost of a worker whose latency is twice that of the fastest one."""

NEW_CONNECTION_COST = 0.2
"""Cost of a worker that needs a new connection: more than one request at a worker of six slots
(0.17), less than two (0.33)."""

NEAR_BEST_REQUESTS = 1.0
"""Margin of `near_best.choose_near_best`, in requests. Applies if workers report a pace."""

# Batch items, at engines.

ENGINE_SLOWNESS_COST = 2.5
"""Cost of an engine that takes twice as long per event as the fastest one. Engines slow down little
under load, so a slow engine is used only once faster ones are full."""

PROMPT_HELD_CREDIT = 0.15
"""Subtracted from the cost of an engine that has the prompt of the item's group cached."""

FAILED_HERE_COST = 0.5
"""Cost of the engine where the item's last attempt failed."""

FULL_OCCUPANCY = 1.2
"""An engine with this many requests per slot gets no more. Items wait at the runner instead, from
where they can go to the first engine with a free slot."""

MOVE_TARGET_OCCUPANCY = 0.8
"""An item may move from a slower engine to one with fewer requests per slot than this."""

URGENT_MOVE_TARGET_OCCUPANCY = 1.0
"""The same for an urgent item, which may move to any engine with a free slot. With
`MOVE_TARGET_OCCUPANCY` a long item would stay at a slow engine while each of the others has one of
its eight slots free."""


def distance_cost(proximity: Proximity, worker: Worker) -> float:
    """Return the cost of the distance between this node and a worker."""
    return DISTANCE_COST[proximity.distance(worker.announcement.zone)]


def zone_costs(proximity: Proximity, workers: Iterable[Worker]) -> dict[str, float]:
    """Return the distance cost of each zone that has one of the workers."""
    one_of_zone = {worker.announcement.zone: worker for worker in workers}
    return {zone: distance_cost(proximity, worker) for zone, worker in one_of_zone.items()}


def shortest_latency(latencies: Iterable[float | None]) -> float:
    """Return the shortest known latency, in seconds; 0 if none is known."""
    return min((latency for latency in latencies if latency is not None), default=0.0)


def slowness(latency: float | None, shortest_latency: float) -> float:
    """Return a worker's extra latency relative to the fastest one: 1.0 is twice the latency."""
    if latency is None or shortest_latency <= 0.0:
        return 0.0
    return min(SLOWNESS_LIMIT, latency / shortest_latency - 1.0)
