"""Decides which engine an item goes to. Pure.

Inputs: the engines that may run the item, their occupancy (parts of their slots) and their seconds
for an event. Relies on `workers.placement_costs` for the costs, which are parts of a full engine.
When a move to another engine pays is `move_choice`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from stagewalk.gateway.policy import ALL_ON, Policy
from stagewalk.gateway.workers.placement_costs import (
    ENGINE_SLOWNESS_COST,
    FAILED_HERE_COST,
    FULL_OCCUPANCY,
    PROMPT_HELD_CREDIT,
    distance_cost,
    fastest_latency,
    slowness,
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
    policy: Policy = ALL_ON,
    fits: Callable[[Worker], bool] = lambda _engine: True,
) -> Worker | None:
    """Return the engine with room that is expected to finish an item first.

    An engine that failed lately has room because nothing runs there: it is asked again only
    once it may be sound, or if no other is listed. `fits` says whether an engine's memory has room.
    """
    sound = [engine for engine in engines if not (policy.suspicion and engine.suspect(now))]
    free = [
        engine
        for engine in sound or engines
        if engine.occupancy(now) < FULL_OCCUPANCY
        and not engine.loading(model, now)
        and not (policy.suspicion and engine.on_trial)
    ]
    if not free:
        return None
    fastest = fastest_latency(free, now)

    def cost(engine: Worker) -> float:
        name = engine.announcement.worker
        shared = PROMPT_HELD_CREDIT if policy.siblings and name in siblings else 0.0
        near_first = policy.zone_preference
        distance = distance_cost(proximity, engine) if near_first else 0.0
        failed_here = FAILED_HERE_COST if name == avoid else 0.0
        pace = ENGINE_SLOWNESS_COST * slowness(engine, fastest, now) if policy.pace else 0.0
        return engine.occupancy(now) + distance + failed_here + pace - shared

    return next(filter(fits, sorted(free, key=cost)), None)
