"""The rule for delays between retries: doubling up to a limit, the upper half of each random."""

from __future__ import annotations

MAXIMUM_EXPONENT = 16
"""Keeps the doubling from overflowing; every limit is reached long before."""


def retry_delay(base_seconds: float, limit_seconds: float, failures: int, fraction: float) -> float:
    """Return the seconds to wait after a number of failures in a row.

    Parameters
    ----------
    base_seconds, limit_seconds
        Longest delay after the first failure, and after any.
    fraction
        Random number from 0 to 1 that spreads the retries of many over the delay's upper half.
    """
    exponent = min(max(0, failures - 1), MAXIMUM_EXPONENT)
    ceiling = min(limit_seconds, base_seconds * 2.0**exponent)
    return ceiling * (0.5 + 0.5 * fraction)
