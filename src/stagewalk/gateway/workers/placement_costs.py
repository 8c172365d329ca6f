"""What each property of a worker costs when one is chosen for a request. Pure.

Owns the weights of every choice among workers: `workers.selection.choose_worker` (forwarded
requests, streams, score calls) and `batches.placement` (items). Each chooser adds the terms below
to the worker's occupancy and takes the lowest sum, so all of them have one unit: parts of a full
worker, where 1.0 is a worker with a request on each of its slots.
Relies on what is known of a worker (`workers.worker`) and on `zones.distance`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Distance, Proximity

# Any request.

DISTANCE_COST: Mapping[Distance, float] = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.05,
    Distance.OTHER_REGION: 0.3,
}
"""Zones of a region are 0.5 to 1.4 ms apart, regions 12 to 20 ms: a look-up of 38 ms takes 60%
longer beyond, and still goes there rather than wait behind two more requests at a worker of six
slots."""

SLOWNESS_LIMIT = 3.0
"""A worker counts as at most this much slower than the fastest one (in parts of the fastest one's
latency), so that a single very slow answer does not exclude it."""

# Forwarded requests, streams and score calls.

SLOWNESS_COST = 0.5
"""Cost of taking twice as long as the fastest worker."""

NEW_CONNECTION_COST = 0.2
"""Cost of a worker to which a connection must be opened: one more request at a worker of six slots
(0.17) is no reason to open one, two (0.33) are."""

NEAR_BEST_REQUESTS = 1.0
"""Where workers report their pace, those that cost at most this many requests more than the best
one are drawn from: other nodes read the same reports, and send as well."""

# Items of batches, at engines.

ENGINE_SLOWNESS_COST = 2.5
"""Cost of taking twice as long for an event as the fastest engine: a batch of requests slows an
engine little, so a slow engine is worth using only once others are full."""

PROMPT_HELD_CREDIT = 0.15
"""Taken off the cost of an engine that already holds the prompt of the item's group."""

FAILED_HERE_COST = 0.5
"""Cost of the engine at which the item failed last."""

FULL_OCCUPANCY = 1.2
"""An engine with this many requests per slot gets no more: the rest waits at the runner, where it
can still go to whichever engine is free first."""

MOVE_TARGET_OCCUPANCY = 0.8
"""Below this many requests per slot an engine takes an item from a slower one."""

URGENT_MOVE_TARGET_OCCUPANCY = 1.0
"""The same for an urgent item: wherever a slot is free. With `MOVE_TARGET_OCCUPANCY` a long item
stayed at an engine half as fast for 6 s, since each of the others had seven of its eight slots
taken."""


def distance_cost(proximity: Proximity, worker: Worker) -> float:
    """Return what a worker's distance from this node costs."""
    return DISTANCE_COST[proximity.distance(worker.announcement.zone)]


def zone_costs(proximity: Proximity, workers: Iterable[Worker]) -> dict[str, float]:
    """Return what the distance of each zone costs that has one of the workers."""
    one_of_zone = {worker.announcement.zone: worker for worker in workers}
    return {zone: distance_cost(proximity, worker) for zone, worker in one_of_zone.items()}


def shortest_latency(latencies: Iterable[float | None]) -> float:
    """Return the shortest of the latencies that are known, in seconds; 0 if none is."""
    return min((latency for latency in latencies if latency is not None), default=0.0)


def slowness(latency: float | None, shortest_latency: float) -> float:
    """Return how many times longer a worker takes than the fastest one, less one."""
    if latency is None or shortest_latency <= 0.0:
        return 0.0
    return min(SLOWNESS_LIMIT, latency / shortest_latency - 1.0)
