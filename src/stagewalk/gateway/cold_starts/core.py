"""Decides which workers are cold, and whether this node may send to them. Pure.

A worker is cold for the time that its entry states, and after an evacuation of its zone for the
time that its service states. All workers also count as cold while this node can't tell: after the
first listing of workers, and while or shortly after its views are outdated. One node at a time
may send to a cold worker (`cold_starts.leases`), at a limited rate (`cold_starts.rate`). See
`docs/design/0142`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from stagewalk.gateway.cold_starts.leases import ColdLeases
from stagewalk.gateway.cold_starts.rate import SlidingWindow
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.routes.route import Service
from stagewalk.gateway.workers.worker import Worker

COLD_MARGIN_SECONDS = 0.3
"""Added to the time that an entry states, since entries are read some time after being written."""

VIEW_SETTLE_SECONDS = 1.5
"""Workers count as cold until this long after views are current again. Workers write their entries
every 1.2 s, so all that are cold have stated it by then."""

OLDEST_VIEW_SECONDS = 3.0
"""With older views of workers or operators' records, all workers count as cold; an evacuation
shorter than this may go unseen. Views are read at least every 2.1 s while the log is available."""

LEASE_REQUEST_VALID_SECONDS = 1.0
"""How long a node tries to acquire a cold worker's lease after a request needed it."""

FIRST_CHOICE_HEAD_START_SECONDS = 0.3
"""How long other nodes leave a worker's lease to the node that is the worker's first choice."""

MAXIMUM_SECOND_CHOICES = 2
"""Maximum leases that a node acquires at a time on workers whose first choice is another node."""

ViewAge = Callable[[float], float]
"""Returns the age of the node's views at a time, in seconds."""


@dataclass(slots=True)
class _LeaseRequest:
    """Period during which requests wait for a cold worker, in steady time."""

    since: float
    until: float


class ColdStarts:
    """Decides about sends to workers of services that state a `cold_rate`.

    Parameters
    ----------
    leases
        Leases on cold workers.
    view_age
        Returns the age of the views at a time, in seconds.
    on_request
        Called when requests wait for a cold worker that this node may not send to.
    """

    def __init__(
        self, leases: ColdLeases, view_age: ViewAge, on_request: Callable[[], None] = lambda: None
    ) -> None:
        self._leases = leases
        self._view_age = view_age
        self._renewed_at = -math.inf
        self._cold_until = -math.inf
        """Latest time until which any worker is known to be cold."""
        self._windows: dict[str, SlidingWindow] = {}
        self._requests: dict[str, _LeaseRequest] = {}
        """By worker."""
        self._on_request = on_request

    def views_renewed(self, now: float) -> None:
        """Record that views are current, for the first time or again after a gap."""
        self._renewed_at = now

    def mark_cold(self, worker: Worker, seconds: float, now: float) -> None:
        """Record that a worker stays cold for `seconds` more."""
        worker.cold_until = max(worker.cold_until, now + seconds + COLD_MARGIN_SECONDS)
        self._cold_until = max(self._cold_until, worker.cold_until)

    def any(self, service: Service, now: float) -> bool:
        """Whether any worker of a service may be cold."""
        if service.cold_rate <= 0.0:
            return False
        return now < self._cold_until or self._views_uncertain(now)

    def cold(self, worker: Worker, now: float) -> bool:
        """Whether a worker is known to be cold, or may be."""
        return now < worker.cold_until or self._views_uncertain(now)

    def denial(self, worker: Worker, service: Service, now: float) -> Denial | None:
        """Return why this node may not send to a worker now, None if it may."""
        if not self.any(service, now) or not self.cold(worker, now):
            return None
        name = worker.announcement.worker
        if not self._leases.may_send(name, now):
            return Denial.COLD_WITHOUT_LEASE
        if not self._window(name, service).has_room(now):
            return Denial.COLD_RATE_REACHED
        return None

    def reserve(self, worker: Worker, service: Service, now: float) -> float | None:
        """Reserve a request in the worker's window.

        Returns
        -------
        float or None
            The reservation, to be passed to `confirm`; None if the worker is not cold.
        """
        if not self.any(service, now) or not self.cold(worker, now):
            return None
        return self._window(worker.announcement.worker, service).reserve(now)

    def confirm(
        self, worker: Worker, service: Service, reserved_at: float | None, now: float
    ) -> Denial | None:
        """Decide about a request just before its first byte is sent, and count it if allowed."""
        if not self.any(service, now) or not self.cold(worker, now):
            return None
        name = worker.announcement.worker
        if not self._leases.may_send(name, now):
            return Denial.COLD_WITHOUT_LEASE
        reserved = -math.inf if reserved_at is None else reserved_at
        if not self._window(name, service).confirm(reserved, now):
            return Denial.COLD_RATE_REACHED
        return None

    def request_leases(self, workers: Iterable[str], now: float) -> None:
        """Request leases on cold workers that are needed by waiting requests."""
        for worker in workers:
            request = self._requests.get(worker)
            if request is None or now >= request.until:
                self._requests[worker] = _LeaseRequest(now, now + LEASE_REQUEST_VALID_SECONDS)
            else:
                request.until = now + LEASE_REQUEST_VALID_SECONDS
        self._on_request()

    def leases_to_acquire(self, now: float, first_choice: Callable[[str], bool]) -> list[str]:
        """Return the workers whose leases this node should acquire now.

        Parameters
        ----------
        first_choice
            Returns whether this node is a worker's first choice among the nodes that run batches.
        """
        self._requests = {
            w: request for w, request in self._requests.items() if now < request.until
        }
        due = [worker for worker in self._requests if self._leases.due(worker, now)]
        preferred = [w for w in due if self._leases.may_send(w, now) or first_choice(w)]
        second_choices = [
            worker
            for worker in due
            if worker not in preferred
            and now - self._requests[worker].since >= FIRST_CHOICE_HEAD_START_SECONDS
        ]
        return preferred + second_choices[:MAXIMUM_SECOND_CHOICES]

    @property
    def idle(self) -> bool:
        """Whether no lease is requested."""
        return not self._requests

    def keep_only(self, workers: Container[str], now: float) -> None:
        """Drop the windows of all other workers, and expired leases."""
        self._windows = {w: window for w, window in self._windows.items() if w in workers}
        self._leases.forget(now)

    def _views_uncertain(self, now: float) -> bool:
        """Whether workers may have become cold unnoticed, since views are or were outdated."""
        age = self._view_age(now)
        return age > OLDEST_VIEW_SECONDS or now - age < self._renewed_at + VIEW_SETTLE_SECONDS

    def _window(self, worker: str, service: Service) -> SlidingWindow:
        window = self._windows.get(worker)
        if window is None:
            window = self._windows[worker] = SlidingWindow(service.cold_rate)
        return window
