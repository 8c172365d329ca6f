"""Adaptive limit of requests in flight, driven by refusals and by late first tokens.

Owns one number for each pool. It guards against reports that lag: the load that engines report is
checked besides (`admission.rules`). Relies on the controller for completions and refusals.
"""

from __future__ import annotations

import math

from stagewalk.node.admission.config import LimiterConfig


class AdaptiveLimiter:
    """Grows while it is in use, falls by a factor when the pool pushes back.

    A service time is seconds to minutes, so the limit must grow by a part of itself in each;
    growth by one left a pool two thirds empty while a step waited.
    """

    def __init__(self, config: LimiterConfig) -> None:
        self._config = config
        self._limit = config.initial_limit
        self._decreased_at = -math.inf
        self._usual_delay = math.inf

    @property
    def limit(self) -> float:
        """Return the requests that may be in flight."""
        return self._limit

    def record_completed(self, in_flight: int) -> None:
        """Raise the limit after a completion, if at least half of it was in use."""
        if in_flight * 2 < self._limit:
            return
        never_fell = self._decreased_at == -math.inf
        growth = 1.0 if never_fell else self._config.growth_per_completion
        self._limit = min(self._config.maximum_limit, self._limit + growth)

    def record_refused(self, now: float) -> None:
        """Lower the limit: an engine had no room."""
        self._decrease(self._config.decrease_factor, now)

    def record_first_token(self, delay_seconds: float, now: float) -> None:
        """Lower the limit a little if a first token came much later than usual."""
        if delay_seconds < self._usual_delay:
            self._usual_delay = delay_seconds
            return
        late = self._usual_delay * self._config.delay_tolerance
        if delay_seconds > late + self._config.delay_allowance_seconds:
            self._decrease(self._config.delay_decrease_factor, now)
        growth = self._config.baseline_growth * (delay_seconds - self._usual_delay)
        self._usual_delay += growth

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < self._config.decrease_interval_seconds:
            return
        self._decreased_at = now
        self._limit = max(self._config.minimum_limit, self._limit * factor)
