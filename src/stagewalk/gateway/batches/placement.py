"""Decides which engine an item goes to. Pure.

Inputs: the engines that may run the item, their occupancy (share of their slots), their seconds per
event, and the expected number of events. Engines are ranked by `expected_end` where workers report
their pace, elsewhere by the costs of `workers.placement_costs`, in units of a full engine's load.
`move_choice` decides on moves of running items.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from functools import partial
from operator import attrgetter
from random import Random

from stagewalk.gateway.batches.expected_end import FULL_ENGINE_SLOWDOWN, expected_end
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.workers.near_best import Choice, choose_near_best, take_best
from stagewalk.gateway.workers.placement_costs import (
    ENGINE_SLOWNESS_COST,
    FAILED_HERE_COST,
    FULL_OCCUPANCY,
    NEAR_BEST_REQUESTS,
    NEW_CONNECTION_COST,
    PROMPT_HELD_CREDIT,
    shortest_latency,
    slowness,
    zone_costs,
)
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Proximity


def choose_engine(
    engines: Sequence[Worker],
    model: str,
    now: float,
    *,
    proximity: Proximity,
    siblings: Collection[str],
    avoid: str,
    policy: Policy = DEFAULT_POLICY,
    events: float = 0.0,
    rng: Random | None = None,
    fits: Callable[[Worker], bool] = lambda _engine: True,
) -> Worker | None:
    """Return the engine with room that is expected to finish an item first.

    An engine that failed recently looks free because nothing runs there, so it is used only once it
    is no longer suspect, or if every engine is.

    Parameters
    ----------
    events
        Expected number of remaining events of the item.
    rng
        This node's random numbers: among engines that report their pace, one nearly as good as
        the best is drawn. None: the best one is taken.
    fits
        Whether an engine has memory for the item.
    """
    free = _free_engines(engines, model, now, policy)
    if not free:
        return None
    distances = zone_costs(proximity, free)

    def fixed_cost(engine: Worker) -> float:
        name = engine.announcement.worker
        shared = PROMPT_HELD_CREDIT if policy.siblings and name in siblings else 0.0
        distance = distances[engine.announcement.zone] if policy.zone_preference else 0.0
        failed_here = FAILED_HERE_COST if name == avoid else 0.0
        opens = policy.warm_connections and engine.reports_pace and not engine.warm(now)
        connection = NEW_CONNECTION_COST if opens else 0.0
        return distance + failed_here + connection - shared

    latencies = [engine.recent_latency(now) if policy.pace else None for engine in free]
    shortest = shortest_latency(latencies)
    if shortest > 0.0 and any(engine.reports_pace for engine in free):
        ends = [
            _end_choice(engine, fixed_cost(engine), events, latency or shortest, now)
            for engine, latency in zip(free, latencies, strict=True)
        ]
        return _choose_fitting(ends, partial(_choose_earliest_end, now=now, rng=rng), fits)
    costs = [
        _cost_choice(engine, fixed_cost(engine), slowness(latency, shortest), now)
        for engine, latency in zip(free, latencies, strict=True)
    ]
    return _choose_fitting(costs, take_best, fits)


def _free_engines(
    engines: Sequence[Worker], model: str, now: float, policy: Policy
) -> list[Worker]:
    """Return the engines with room, which excludes suspect ones unless all are."""
    sound = [engine for engine in engines if not (policy.suspicion and engine.suspect(now))]
    return [
        engine
        for engine in sound or engines
        if engine.occupancy(now) < FULL_OCCUPANCY
        and not engine.loading(model, now)
        and not (policy.suspicion and engine.half_open)
    ]


def _choose_fitting(
    choices: Sequence[Choice],
    take: Callable[[Sequence[Choice]], Choice],
    fits: Callable[[Worker], bool],
) -> Worker | None:
    """Return the choice among engines with memory for the item; usually the first one has it."""
    first = take(choices)
    if fits(first.worker):
        return first.worker
    others = sorted((c for c in choices if c is not first), key=attrgetter("cost"))
    fitting = [choice for choice in others if fits(choice.worker)]
    return take(fitting).worker if fitting else None


def _cost_choice(engine: Worker, fixed: float, slow: float, now: float) -> Choice:
    """Return an engine's cost in units of a full engine's load."""
    return Choice(engine, engine.occupancy(now) + fixed + ENGINE_SLOWNESS_COST * slow, fixed)


def _end_choice(
    engine: Worker, fixed: float, events: float, event_seconds: float, now: float
) -> Choice:
    """Return an engine's cost in seconds: the expected end scaled by the fixed costs."""
    end = expected_end(engine, events, event_seconds, now)
    return Choice(engine, end * (1.0 + FULL_ENGINE_SLOWDOWN * fixed), fixed)


def _choose_earliest_end(choices: Sequence[Choice], now: float, rng: Random | None) -> Choice:
    """Return the engine with the earliest end, or a random one within one request's cost of it."""
    best = take_best(choices)
    if rng is None:
        return best
    one_request = NEAR_BEST_REQUESTS / max(1, best.worker.announcement.slots)
    return choose_near_best(choices, best.cost * FULL_ENGINE_SLOWDOWN * one_request, now, rng)
