"""Clock for leases, deadlines and everything that is compared across machines.

The usual monotonic clock stops while a machine is suspended, so that a resumed process would trust
leases, views and permits that have expired. Timers of the event loop stop too: code that has waited
checks this clock again before it sends anything. Uses Linux's `CLOCK_BOOTTIME`, or the monotonic
clock where that is missing.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the seconds since the machine started, including time in which it was suspended."""
    return time.clock_gettime(_CLOCK)
