"""Schedule of engine polls: a fixed interval per engine, within a budget of polls per second.

Times are in seconds of the node's clock; the constants are fields of `EngineTableConfig`.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable

from stagewalk.common.identities import EngineName
from stagewalk.node.routing.config import EngineTableConfig


class PollSchedule:
    """Due time of the next poll of each engine, with a token bucket for the budget."""

    def __init__(self, config: EngineTableConfig) -> None:
        self._config = config
        self._queue: list[tuple[float, EngineName]] = []
        self._tokens = config.polls_per_second
        self._refilled_at: float | None = None
        self._demand_at = -math.inf

    def set_engines(self, engines: Iterable[EngineName], now: float) -> None:
        """Replace the engines to poll; new ones are due immediately."""
        due = {name: at for at, name in self._queue}
        self._queue = sorted((due.get(name, now), name) for name in engines)

    def record_demand(self, now: float) -> None:
        """Record that a request needs an engine; if the node was idle, all polls are due now."""
        if self._is_idle(now):
            self._queue = [(min(at, now), name) for at, name in self._queue]
            heapq.heapify(self._queue)
        self._demand_at = now

    def due(
        self, listed_engines: int, in_flight: Callable[[EngineName], bool], now: float
    ) -> list[EngineName]:
        """Return the engines to poll now, within the budget, except those with a poll in flight.

        Parameters
        ----------
        listed_engines
            Number of engines in the machine list, which determines the budget.
        in_flight
            Returns whether an engine's last poll may still be answered.
        """
        self._refill(listed_engines, now)
        interval = self._interval(now)
        engines: list[EngineName] = []
        while self._queue and self._queue[0][0] <= now and self._tokens >= 1.0:
            _, engine = heapq.heapreplace(self._queue, (now + interval, self._queue[0][1]))
            if not in_flight(engine):
                self._tokens -= 1.0
                engines.append(engine)
        return engines

    def _is_idle(self, now: float) -> bool:
        return now - self._demand_at > self._config.idle_after_seconds

    def _interval(self, now: float) -> float:
        if self._is_idle(now):
            return self._config.idle_poll_interval_seconds
        return self._config.poll_interval_seconds

    def _refill(self, listed_engines: int, now: float) -> None:
        rate = self._config.poll_budget(listed_engines)
        if self._refilled_at is not None:
            self._tokens = min(rate, self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
