"""How many places a service's engines have, and how many an item at one of them takes. Pure.

Answers an uneven fleet: a slot of an engine twice as fast is two places, so that no claimant has
its share at the fast engines and another one at the slow ones. Where engines report no pace their
own speed is not known, and each slot is a place. Relies on `workers` for what is known of an
engine.
"""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterable

from stagewalk.gateway.workers.worker import Worker

MINIMUM_SLOT_WEIGHT = 0.4
MAXIMUM_SLOT_WEIGHT = 2.5
"""What a slot counts for at least and at most, in places: an engine's speed is an estimate."""


class EnginePlaces:
    """Places of a service's engines at a time.

    Parameters
    ----------
    engines
        Those that items may go to.
    """

    def __init__(self, engines: Iterable[Worker], now: float) -> None:
        self._engines = list(engines)
        self._now = now
        seen = [seconds for engine in self._engines if (seconds := _own_seconds(engine, now))]
        self._usual = statistics.median(seen) if seen else 0.0

    def weight(self, engine: Worker) -> float:
        """Return how many places a slot of an engine is."""
        seconds = _own_seconds(engine, self._now)
        if seconds is None or self._usual <= 0.0:
            return 1.0
        return min(MAXIMUM_SLOT_WEIGHT, max(MINIMUM_SLOT_WEIGHT, self._usual / seconds))

    def total(self, evacuated: Collection[str]) -> float:
        """Return the places of the engines that may get items now.

        One that failed lately has none: what is lost without notice is listed for some seconds
        more.

        Parameters
        ----------
        evacuated
            Zones whose engines get nothing.
        """
        return sum(
            max(1, engine.announcement.slots) * self.weight(engine)
            for engine in self._engines
            if engine.announcement.zone not in evacuated and not engine.suspect(self._now)
        )


def _own_seconds(engine: Worker, now: float) -> float | None:
    """Return the time of an event at a machine's own speed, None if that isn't known."""
    return engine.recent_latency(now) if engine.reports_pace else None
