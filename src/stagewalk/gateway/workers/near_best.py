"""Random choice among workers of nearly equal cost. Pure.

Many nodes read the same load reports. If each took the cheapest worker, all would send to the same
one until its next report. The cost terms are in `placement_costs`.
"""

from __future__ import annotations

from collections.abc import Sequence
from operator import attrgetter
from random import Random
from typing import NamedTuple

from stagewalk.gateway.workers.worker import Worker


class Choice(NamedTuple):
    """A candidate worker and its cost.

    Attributes
    ----------
    cost
        Total cost, in the caller's unit.
    fixed
        Cost terms that don't depend on load reports (distance, connection, cached prompt), in any
        unit.
    last_resort
        Whether it is chosen only if all candidates are a last resort.
    """

    worker: Worker
    cost: float
    fixed: float
    last_resort: bool = False


def take_best(choices: Sequence[Choice]) -> Choice:
    """Return the cheapest choice."""
    preferred = [choice for choice in choices if not choice.last_resort]
    return min(preferred or choices, key=attrgetter("cost"))


def choose_near_best(choices: Sequence[Choice], margin: float, now: float, rng: Random) -> Choice:
    """Return a random choice among those that cost at most `margin` more than the best.

    Only those with the lowest fixed cost are drawn from, since nodes in different zones or with
    different connections spread anyway. If the best has a free slot, workers without one are left
    out.
    """
    best = take_best(choices)
    near = [
        choice
        for choice in choices
        if choice.last_resort == best.last_resort
        and choice.cost <= best.cost + margin
        and _would_queue(choice, now) == _would_queue(best, now)
    ]
    least = min(choice.fixed for choice in near)
    return rng.choice([choice for choice in near if choice.fixed == least])


def _would_queue(choice: Choice, now: float) -> bool:
    return choice.worker.occupancy(now) >= 1.0
