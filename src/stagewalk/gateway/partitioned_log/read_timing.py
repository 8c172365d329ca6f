"""Timing of reads, shared by all followers.

Owns the delays before retries, and the time as of which an answer makes a view complete.
"""

from __future__ import annotations

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.partitioned_log import KeyedPage, RecordPage

RETRY_SECONDS = 0.1
SLOW_RETRY_SECONDS = 0.4
QUICK_RETRIES = 5
"""Delays before a failed read is retried: for the first `QUICK_RETRIES` failures in a row, and
after them."""


def retry_pause(failures: int) -> float:
    """Return how many seconds to wait after this many failures in a row."""
    return RETRY_SECONDS if failures < QUICK_RETRIES else SLOW_RETRY_SECONDS


def answered_after(began: float, wait_seconds: float, page: RecordPage | KeyedPage) -> float:
    """Return a time before which the log can't have answered.

    An answer may have stayed unread while the process was suspended, so its arrival proves nothing.
    Only an answer without records shows that the log let the read wait to its end.
    """
    waited = 0.0 if page.records else wait_seconds
    return min(steady_seconds(), began + waited)
