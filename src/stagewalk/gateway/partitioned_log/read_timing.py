"""Timing of reads that all followers share.

Owns the pauses before retries, and the time as of which an answer counts.
"""

from __future__ import annotations

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.partitioned_log import KeyedPage, RecordPage

RETRY_SECONDS = 0.1
SLOW_RETRY_SECONDS = 0.4
QUICK_RETRIES = 5
"""Pauses before a failed read is tried again: of the first retries, and once so many failed in a
row."""


def retry_pause(failures: int) -> float:
    """Return how many seconds to wait after so many failures in a row."""
    return RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS


def answered_after(began: float, wait_seconds: float, page: RecordPage | KeyedPage) -> float:
    """Return a time after which the log certainly gave an answer.

    The answer may have waited here unread while the process was suspended: only an answer without
    records shows that the log let the read wait to its end.
    """
    waited = 0.0 if page.records else wait_seconds
    return min(steady_seconds(), began + waited)
