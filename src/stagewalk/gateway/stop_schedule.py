"""When a stopping gateway closes its listeners, and which requests it still serves. Pure.

A request is served only if it will end before the process has to; otherwise it is refused at once,
and another node can serve it. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.stop_times import StopTimes

UNAWARE_SECONDS = 1.5
"""How long most callers can't know of the stop: until the other nodes have read the announcement
(0.5 s) and their answers to lookups have expired (`DIRECTORY_TTL_SECONDS`)."""

DURATION_MARGIN = 1.5
"""Factor on the longest recent duration of a route's requests, which the next one may exceed."""


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """A planned stop as callers see it.

    Attributes
    ----------
    drain_seconds
        How long callers may still come, if the grace period is long enough.
    linger_seconds
        How long requests on open connections are accepted once the listeners close.
    """

    times: StopTimes
    drain_seconds: float
    linger_seconds: float

    @property
    def listeners_close_at(self) -> float:
        """Return when new connections are no longer accepted."""
        times = self.times
        latest = times.requests_end_at - self.linger_seconds
        return max(times.requested_at, min(times.requested_at + self.drain_seconds, latest))

    def serves(self, arrived_at: float, deadline_at: float, longest_seconds: float | None) -> bool:
        """Whether a request that arrives during the stop is served.

        One that has to end before the process does always is. While callers can't know of the stop,
        a later deadline is accepted if the route's requests usually end in time.

        Parameters
        ----------
        longest_seconds
            Longest recent duration of the route's requests; None if it is unknown.
        """
        times = self.times
        if deadline_at <= times.requests_end_at:
            return True
        if longest_seconds is None or arrived_at > times.requested_at + UNAWARE_SECONDS:
            return False
        return arrived_at + DURATION_MARGIN * longest_seconds <= times.requests_end_at
