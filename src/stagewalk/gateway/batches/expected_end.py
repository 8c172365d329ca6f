"""Estimates when an engine would finish an item. Pure.

On machines of different speed, long items should go to fast ones, while a short item loses little
on a slow one. Inputs: the expected number of remaining events, the engine's seconds per event (the
machine's usual speed, if its worker reports a pace) and its requests per slot.
"""

from __future__ import annotations

from stagewalk.gateway.workers.worker import Worker

FULL_ENGINE_SLOWDOWN = 0.4
"""How much longer a run takes at a full engine than at an empty one, as a share of its time."""

MINIMUM_EVENTS = 4.0
"""Lower bound of an item's expected events, also used if nothing is known of the item."""


def expected_end(engine: Worker, events: float, event_seconds: float, now: float) -> float:
    """Return how many seconds an engine is expected to need for an item sent there now.

    Parameters
    ----------
    events
        Expected number of remaining events of the item.
    event_seconds
        The engine's usual time per event.
    """
    usual = max(events, MINIMUM_EVENTS) * event_seconds
    run = engine.expected_seconds(usual, now)
    occupancy = engine.occupancy(now)
    return run + usual * (FULL_ENGINE_SLOWDOWN * occupancy + _waiting_share(engine, occupancy))


def _waiting_share(engine: Worker, occupancy: float) -> float:
    """Return how long a request waits for a slot, as a share of a run's time.

    Assumes runs of equal length, one of which ends every 1/slots of a run's time.
    """
    slots = max(1, engine.announcement.slots)
    return max(0.0, occupancy * slots + 1.0 - slots) / slots
