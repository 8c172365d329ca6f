"""Selection of the worker for the next attempt of a request. Pure.

Used for forwarded requests, streams and score calls; batch items are placed by
`batches.placement`. The cost terms of both are in `workers.placement_costs`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from random import Random

from stagewalk.gateway.workers.near_best import Choice, choose_near_best, take_best
from stagewalk.gateway.workers.placement_costs import (
    NEAR_BEST_REQUESTS,
    NEW_CONNECTION_COST,
    SLOWNESS_COST,
    shortest_latency,
    slowness,
    zone_costs,
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
    rng: Random | None = None,
) -> Worker | None:
    """Return the untried worker that is expected to answer first, None if there is none.

    The choice is by occupancy, latency and distance. Workers that failed recently come last.

    Parameters
    ----------
    tried
        Workers that already had an attempt of the request.
    prefer_warm
        Prefer workers with an open connection.
    rng
        If workers report a pace, one of those nearly as good as the best is drawn at random. None:
        always take the best.
    """
    candidates = [w for w in workers if w.announcement.worker not in tried]
    if not candidates:
        return None
    choices = _choices(candidates, now, proximity, prefer_warm=prefer_warm)
    best = take_best(choices).worker
    if rng is None or not best.reports_pace:
        return best
    margin = NEAR_BEST_REQUESTS / max(1, best.announcement.slots)
    return choose_near_best(choices, margin, now, rng).worker


def _choices(
    candidates: Sequence[Worker], now: float, proximity: Proximity, *, prefer_warm: bool
) -> list[Choice]:
    """Return the cost of each candidate, in units of occupancy."""
    latencies = [worker.expected_latency(now) for worker in candidates]
    shortest = shortest_latency(latencies)
    distances = zone_costs(proximity, candidates)
    choices = []
    for worker, latency in zip(candidates, latencies, strict=True):
        connection = NEW_CONNECTION_COST if prefer_warm and not worker.warm(now) else 0.0
        fixed = distances[worker.announcement.zone] + connection
        slowness_cost = slowness(latency, shortest) * SLOWNESS_COST
        cost = worker.occupancy(now) + fixed + slowness_cost
        choices.append(Choice(worker, cost, fixed, worker.suspect(now)))
    return choices
