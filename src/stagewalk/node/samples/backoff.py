"""Delays before a failed rollout, score or claim is tried again."""

from __future__ import annotations

import random

from stagewalk.node.samples.config import LotConfig

_MAXIMUM_EXPONENT = 16


def retry_delay(config: LotConfig, failures: int, generator: random.Random) -> float:
    """Return the seconds to wait after a number of failures in a row: doubling, half jittered."""
    exponent = min(max(0, failures - 1), _MAXIMUM_EXPONENT)
    ceiling = min(config.retry_limit_seconds, config.retry_base_seconds * 2.0**exponent)
    return ceiling * (0.5 + 0.5 * generator.random())
