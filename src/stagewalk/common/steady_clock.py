"""The clock of everything that is compared across machines, or with a lease or deadline.

A machine may be suspended for seconds. The usual steady clock stands still meanwhile: a holder that
wakes would believe in a lease, a view or a permit that ended long ago. Timers of the event loop
stand still too, so what was waiting as the machine slept is judged by this clock on waking, before
anything is sent.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the seconds since the machine started, those in which it was suspended among them."""
    return time.clock_gettime(_CLOCK)
