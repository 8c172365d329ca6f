"""Which engine an item goes to, and when moving it to another one pays."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from stagewalk.workers.selection import ZONE_PENALTY, fastest_latency, slowness
from stagewalk.workers.worker import Worker

FULL_OCCUPANCY = 1.2
"""An engine with this many requests per slot gets no more: the rest waits here, where it can
still go to whichever engine is free first."""

SIBLING_BONUS = 0.15
"""What it is worth, in parts of a full engine, that the group's prompt is there already."""

PACE_WEIGHT = 0.6
SLOW_RATIO = 2.2
"""An engine this many times slower than another with room is left."""

ROOM_OCCUPANCY = 0.8


def choose_engine(
    engines: Sequence[Worker],
    model: str,
    now: float,
    *,
    zone: str,
    siblings: Collection[str],
    avoid: str,
) -> Worker | None:
    """Return the engine with room that is expected to finish an item first."""
    free = [
        engine
        for engine in engines
        if engine.occupancy(now) < FULL_OCCUPANCY and not engine.loading(model, now)
    ]
    if not free:
        return None
    fastest = fastest_latency(free, now)

    def cost(engine: Worker) -> tuple[bool, float]:
        name = engine.announcement.worker
        shared = SIBLING_BONUS if name in siblings else 0.0
        distance = 0.0 if engine.announcement.zone == zone else ZONE_PENALTY
        failed_here = 0.5 if name == avoid else 0.0
        pace = PACE_WEIGHT * slowness(engine, fastest, now)
        total = engine.occupancy(now) + distance + failed_here + pace - shared
        return engine.suspect(now), total

    return min(free, key=cost)


def faster_engine(
    current: Worker, engines: Sequence[Worker], model: str, now: float
) -> Worker | None:
    """Return an engine with room that is much faster than the one an item runs at."""
    slow = current.recent_latency(now)
    if slow is None:
        return None
    for engine in engines:
        pace = engine.recent_latency(now)
        if engine is current or pace is None or engine.suspect(now):
            continue
        has_room = engine.occupancy(now) < ROOM_OCCUPANCY and not engine.loading(model, now)
        if has_room and slow > SLOW_RATIO * pace:
            return engine
    return None
