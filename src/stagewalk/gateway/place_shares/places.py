"""How many places a service's engines have. Pure.

Relies on `workers` for what is known of an engine.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from stagewalk.gateway.workers.worker import Worker


def count_places(engines: Iterable[Worker], evacuated: Collection[str], now: float) -> int:
    """Return the slots of the engines that may get items now.

    One that failed lately has none: what is lost without notice is listed for some seconds more.

    Parameters
    ----------
    evacuated
        Zones whose engines get nothing.
    """
    return sum(
        max(1, engine.announcement.slots)
        for engine in engines
        if engine.announcement.zone not in evacuated and not engine.suspect(now)
    )
