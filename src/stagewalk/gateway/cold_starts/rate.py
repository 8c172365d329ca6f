"""Sliding-window rate limit of one node's requests to a cold worker. Pure."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Limits the number of requests in any span of the window's length.

    A request counts at the time of its reservation until it is sent, and then at the time of
    sending, since it may have waited for a connection in between.

    Parameters
    ----------
    rate
        Maximum requests per second. Below one, one request is allowed in `1 / rate` seconds.
    """

    def __init__(self, rate: float) -> None:
        self._maximum_requests = max(1, int(rate))
        self._window_seconds = self._maximum_requests / rate
        self._times: deque[float] = deque()

    def has_room(self, now: float) -> bool:
        """Whether one more request is allowed."""
        while self._times and now - self._times[0] >= self._window_seconds:
            self._times.popleft()
        return len(self._times) < self._maximum_requests

    def reserve(self, now: float) -> float:
        """Count a request that is about to be sent; return its reservation for `confirm`."""
        self._times.append(now)
        return now

    def confirm(self, reserved_at: float, now: float) -> bool:
        """Count a reserved request as sent now; return whether it is allowed."""
        if reserved_at in self._times:
            self._times.remove(reserved_at)
        if not self.has_room(now):
            return False
        self._times.append(now)
        return True
