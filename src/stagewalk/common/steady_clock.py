"""The clock for everything that is compared across machines, or with a lease or a deadline.

The usual monotonic clock stands still while a machine is suspended, for seconds at times: a holder
that wakes would trust a lease, a view or a permit that expired long ago. Timers of the event loop
stand still too, so whatever waited through a suspension is checked against this clock on waking,
before anything is sent. Relies on Linux's `CLOCK_BOOTTIME`; without it, on the monotonic clock.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the seconds since the machine started, those in which it was suspended among them."""
    return time.clock_gettime(_CLOCK)
