"""Exponential backoff with jitter: the delay doubles up to a limit, its upper half is random."""

from __future__ import annotations

MAXIMUM_EXPONENT = 16
"""Keeps the power of two from overflowing a float; delay limits are reached earlier."""


def retry_delay(base_seconds: float, limit_seconds: float, failures: int, fraction: float) -> float:
    """Return the seconds to wait after a number of failures in a row.

    Parameters
    ----------
    base_seconds, limit_seconds
        Maximum delay after the first failure, and after any number of failures.
    fraction
        Random number from 0 to 1, the jitter: it spreads the retries of many clients.
    """
    exponent = min(max(0, failures - 1), MAXIMUM_EXPONENT)
    ceiling = min(limit_seconds, base_seconds * 2.0**exponent)
    return ceiling * (0.5 + 0.5 * fraction)
