"""Which of several workers that are nearly equal is taken. Pure.

Answers the load of many nodes that read the same reports: if each took the best of them, all would
take the same worker, and each would see in the next reports that all had. Owns the choice among
those within a margin; what a worker costs is `placement_costs`.
"""

from __future__ import annotations

from collections.abc import Sequence
from operator import attrgetter
from random import Random
from typing import NamedTuple

from stagewalk.gateway.workers.worker import Worker


class Choice(NamedTuple):
    """A worker that could be taken, and what that costs.

    Attributes
    ----------
    cost
        Everything that is known, in the chooser's unit.
    fixed
        The part of it that reports don't change (distance, connection, prompt held), in any unit.
    last_resort
        Whether it is taken only where all others are.
    """

    worker: Worker
    cost: float
    fixed: float
    last_resort: bool = False


def take_best(choices: Sequence[Choice]) -> Choice:
    """Return the choice that costs least."""
    preferred = [choice for choice in choices if not choice.last_resort]
    return min(preferred or choices, key=attrgetter("cost"))


def choose_near_best(choices: Sequence[Choice], margin: float, now: float, rng: Random) -> Choice:
    """Return one of the choices that cost at most a margin more than the best, at random.

    Of these the ones whose fixed part is least come first: nodes in other zones, and with other
    connections, spread by themselves. None on whose worker a request would wait is near one with
    a slot free.
    """
    best = take_best(choices)
    near = [
        choice
        for choice in choices
        if choice.last_resort == best.last_resort
        and choice.cost <= best.cost + margin
        and _waits(choice, now) == _waits(best, now)
    ]
    least = min(choice.fixed for choice in near)
    return rng.choice([choice for choice in near if choice.fixed == least])


def _waits(choice: Choice, now: float) -> bool:
    return choice.worker.occupancy(now) >= 1.0
