"""How many requests one node sends to a cold worker in any span of time. Pure.

Owns the count of one worker's requests, against the rate that its service states.
"""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Admits a number of requests in any span of the window's length.

    A request counts from its reservation, and anew from when it is sent: one that waits long for a
    connection is not sent on top of those that were admitted meanwhile.

    Parameters
    ----------
    rate
        Requests a second that the worker withstands. Below one a second, one request goes in each
        span of `1 / rate` seconds.
    """

    def __init__(self, rate: float) -> None:
        self._most = max(1, int(rate))
        self._seconds = self._most / rate
        self._times: deque[float] = deque()

    def has_room(self, now: float) -> bool:
        """Whether one more request may be admitted."""
        while self._times and now - self._times[0] >= self._seconds:
            self._times.popleft()
        return len(self._times) < self._most

    def reserve(self, now: float) -> float:
        """Count a request that is about to be sent; return what to confirm it by."""
        self._times.append(now)
        return now

    def confirm(self, reserved_at: float, now: float) -> bool:
        """Count a reserved request as sent now; return whether there is room for it."""
        if reserved_at in self._times:
            self._times.remove(reserved_at)
        if not self.has_room(now):
            return False
        self._times.append(now)
        return True
