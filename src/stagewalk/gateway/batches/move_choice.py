"""Decides when moving an item to another engine pays. Pure.

Inputs: the engines that may run the item, their occupancy (parts of their slots), their seconds for
an event, and the number of events expected to come. Owns the bounds of moves. Relies on
`workers.placement_costs` for what counts as room. Where workers report their pace, an engine's time
is its machine's own: no item moves since its engine is slow for a moment.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stagewalk.gateway.workers.placement_costs import (
    MOVE_TARGET_OCCUPANCY,
    URGENT_MOVE_TARGET_OCCUPANCY,
)
from stagewalk.gateway.workers.worker import Worker

MOVE_COST_SECONDS = 0.15
"""What going on at another engine takes: reading the prompt and the text so far again."""

FASTER_SHARE = 0.85
"""An engine counts as faster if an event takes at most this part of the time there. An engine's
pace differs by 5% with its load and by as much with what is seen of it: without this bound long
items went from one engine to the next, 387 moves on a day of 4,232 items, and those that moved
four times or more took 9.4 s for what takes 7.1 s where they stay."""

MINIMUM_URGENT_GAIN_SECONDS = 0.25
MINIMUM_GAIN_SECONDS = 1.0
"""Moves that gain less than this are not worth their price."""


def faster_engine(
    current: Worker,
    engines: Sequence[Worker],
    model: str,
    now: float,
    *,
    left: float,
    urgent: bool,
    fits: Callable[[Worker], bool] = lambda _engine: True,
) -> Worker | None:
    """Return an engine with room at which an item would be done well before it is at its own.

    Going on elsewhere costs reading the prompt and what was made so far again. `left` is the
    number of events expected to come; `fits` whether an engine's memory has room for the item.
    """
    pace = current.recent_latency(now)
    if pace is None or not _judged(current):
        return None
    pause = max(0.0, current.loading_until.get(model, now) - now)
    best: Worker | None = None
    best_gain = MINIMUM_URGENT_GAIN_SECONDS if urgent else MINIMUM_GAIN_SECONDS
    room = URGENT_MOVE_TARGET_OCCUPANCY if urgent else MOVE_TARGET_OCCUPANCY
    for engine in engines:
        other = engine.recent_latency(now)
        if engine is current or other is None or engine.suspect(now) or not _judged(engine):
            continue
        if other > FASTER_SHARE * pace and not pause:
            continue
        has_room = engine.occupancy(now) < room and not engine.loading(model, now)
        gain = left * (pace - other) + pause - MOVE_COST_SECONDS
        if has_room and gain > best_gain and fits(engine):
            best, best_gain = engine, gain
    return best


def _judged(engine: Worker) -> bool:
    """Whether its machine's own speed is known, so far as its worker lets one tell."""
    return engine.speed.settled or not engine.reports_pace


def has_room_elsewhere(
    current: Worker | None,
    engines: Sequence[Worker],
    model: str,
    now: float,
    *,
    fits: Callable[[Worker], bool] = lambda _engine: True,
) -> bool:
    """Whether another engine could take an item at once."""
    return any(
        engine is not current
        and not engine.suspect(now)
        and not engine.loading(model, now)
        and engine.occupancy(now) < MOVE_TARGET_OCCUPANCY
        and fits(engine)
        for engine in engines
    )
