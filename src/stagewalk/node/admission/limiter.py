"""Adaptive concurrency limit, driven by completions, refusals and late first tokens.

It limits a pool's load while the engines' reports are out of date; the reported load is checked
separately, in `admission.rules`.
"""

from __future__ import annotations

import math

from stagewalk.node.admission.config import LimiterConfig


class AdaptiveLimiter:
    """Concurrency limit with multiplicative decrease, increased per completion while it is in use.

    Since a service time is seconds to minutes, the limit grows by a fraction of itself, rather
    than by one, per service time.
    """

    def __init__(self, config: LimiterConfig) -> None:
        self._config = config
        self._limit = config.initial_limit
        self._decreased_at = -math.inf
        self._baseline_delay = math.inf

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
        """Decrease the limit because an engine was full."""
        self._decrease(self._config.decrease_factor, now)

    def record_first_token(self, delay_seconds: float, now: float) -> None:
        """Decrease the limit slightly if a first token came much later than usual."""
        if delay_seconds < self._baseline_delay:
            self._baseline_delay = delay_seconds
            return
        late = self._baseline_delay * self._config.delay_tolerance
        if delay_seconds > late + self._config.delay_allowance_seconds:
            self._decrease(self._config.delay_decrease_factor, now)
        growth = self._config.baseline_growth * (delay_seconds - self._baseline_delay)
        self._baseline_delay += growth

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < self._config.decrease_interval_seconds:
            return
        self._decreased_at = now
        self._limit = max(self._config.minimum_limit, self._limit * factor)
