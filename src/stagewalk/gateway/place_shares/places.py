"""Number of places of a service's engines, with slots weighted by engine speed. Pure.

A slot of an engine that is twice as fast counts as two places, so that a share at fast engines is
worth as much as one at slow engines. If engines don't report a pace, their speed is unknown and
each slot counts as one place.
"""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterable

from stagewalk.gateway.workers.worker import Worker

MINIMUM_SLOT_WEIGHT = 0.4
MAXIMUM_SLOT_WEIGHT = 2.5
"""Bounds on the places that a slot counts as, since an engine's speed is only estimated."""


class EnginePlaces:
    """Places of a service's engines at one time.

    Parameters
    ----------
    engines
        The engines that items may be sent to.
    """

    def __init__(self, engines: Iterable[Worker], now: float) -> None:
        self._engines = list(engines)
        self._now = now
        seen = [seconds for engine in self._engines if (seconds := _seconds_per_event(engine, now))]
        self._median_seconds = statistics.median(seen) if seen else 0.0

    def weight(self, engine: Worker) -> float:
        """Return how many places a slot of an engine counts as."""
        seconds = _seconds_per_event(engine, self._now)
        if seconds is None or self._median_seconds <= 0.0:
            return 1.0
        return min(MAXIMUM_SLOT_WEIGHT, max(MINIMUM_SLOT_WEIGHT, self._median_seconds / seconds))

    def total(self, evacuated: Collection[str]) -> float:
        """Return the total places of the engines that may get items now.

        A suspect engine doesn't count: one lost without notice stays listed for some seconds.

        Parameters
        ----------
        evacuated
            Zones whose engines don't count.
        """
        return sum(
            max(1, engine.announcement.slots) * self.weight(engine)
            for engine in self._engines
            if engine.announcement.zone not in evacuated and not engine.suspect(self._now)
        )


def _seconds_per_event(engine: Worker, now: float) -> float | None:
    """Return the recent time per event of an engine, None if it is unknown or reports no pace."""
    return engine.recent_latency(now) if engine.reports_pace else None
