"""Decides when moving an item to another engine is worth its cost. Pure.

Inputs: the engines that may run the item, their occupancy (share of their slots), their seconds per
event, and the expected number of remaining events. `workers.placement_costs` defines what counts as
room. Where workers report their pace, an engine's time per event is its machine's usual one, so
that momentary slowness moves no item.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stagewalk.gateway.workers.placement_costs import (
    MOVE_TARGET_OCCUPANCY,
    URGENT_MOVE_TARGET_OCCUPANCY,
)
from stagewalk.gateway.workers.worker import Worker

MOVE_COST_SECONDS = 0.15
"""Cost of resuming at another engine: the prefill of the prompt and the text so far."""

FASTER_SHARE = 0.85
"""An engine counts as faster if its time per event is at most this share of the current one's. The
bound exceeds the variation of an engine's pace with its load (5%) and with observation (as much),
so that long items don't keep moving."""

MINIMUM_URGENT_GAIN_SECONDS = 0.25
MINIMUM_GAIN_SECONDS = 1.0
"""Moves that gain less than this aren't worth their cost."""


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
    """Return the engine with room where an item would finish earliest, if the move is worth it.

    A move costs `MOVE_COST_SECONDS`. `left` is the expected number of remaining events; `fits`
    tells whether an engine has memory for the item.
    """
    pace = current.recent_latency(now)
    if pace is None or not _speed_known(current):
        return None
    pause = max(0.0, current.loading_until.get(model, now) - now)
    best: Worker | None = None
    best_gain = MINIMUM_URGENT_GAIN_SECONDS if urgent else MINIMUM_GAIN_SECONDS
    room = URGENT_MOVE_TARGET_OCCUPANCY if urgent else MOVE_TARGET_OCCUPANCY
    for engine in engines:
        other = engine.recent_latency(now)
        if engine is current or other is None or engine.suspect(now) or not _speed_known(engine):
            continue
        if other > FASTER_SHARE * pace and not pause:
            continue
        has_room = engine.occupancy(now) < room and not engine.loading(model, now)
        gain = left * (pace - other) + pause - MOVE_COST_SECONDS
        if has_room and gain > best_gain and fits(engine):
            best, best_gain = engine, gain
    return best


def _speed_known(engine: Worker) -> bool:
    """Whether its speed estimate has settled; True if its worker reports no pace."""
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
