"""When an engine is expected to have finished an item. Pure.

Answers the load of an uneven fleet: long items belong at fast machines, and a short one that finds
those taken loses little at a slow one. Inputs: events expected to come, the engine's seconds for an
event (the machine's own, as far as its worker reports a pace) and its requests per slot. Owns how
far other runs delay one.
"""

from __future__ import annotations

from stagewalk.gateway.workers.worker import Worker

FULL_ENGINE_SLOWDOWN = 0.4
"""How much longer a run takes at a full engine than at an empty one, in parts of its time."""

MINIMUM_EVENTS = 4.0
"""An item of which nothing is known is taken to have at least so many."""


def expected_end(engine: Worker, events: float, event_seconds: float, now: float) -> float:
    """Return how long from now an engine is expected to take for an item that is sent there.

    Parameters
    ----------
    events
        Events of the item expected to come.
    event_seconds
        The engine's usual time for one.
    """
    usual = max(events, MINIMUM_EVENTS) * event_seconds
    run = engine.expected_seconds(usual, now)
    occupancy = engine.occupancy(now)
    return run + usual * (FULL_ENGINE_SLOWDOWN * occupancy + _waiting_share(engine, occupancy))


def _waiting_share(engine: Worker, occupancy: float) -> float:
    """Return how long a request waits for its slot, in parts of a run there.

    One of so many runs as there are slots ends after each such part, runs being alike.
    """
    slots = max(1, engine.announcement.slots)
    return max(0.0, occupancy * slots + 1.0 - slots) / slots
