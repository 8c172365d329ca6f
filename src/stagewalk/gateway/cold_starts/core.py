"""Which workers are cold, and whether this node may send to one of them now. Pure.

Owns that judgement, and which leases this node should win because requests wait for them. A worker
is cold as long as its entry says; after an evacuation of its zone, for as long as its service
states; and while this node can't know: after the first listing of workers, after its views were
old, and while they are. Relies on `cold_starts.leases` for who may send, on `cold_starts.rate` for
how much. Why these bounds hold is in `docs/design/0142`, with the measurement of all of them
together.
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
"""Added to the time that an entry states: entries are read a moment after they were written."""

VIEW_SETTLE_SECONDS = 1.5
"""Workers count as cold until views were read this long after they were current again: a worker
writes its entry every 1.2 s, so one that became cold before says so by then."""

OLDEST_VIEW_SECONDS = 3.0
"""With older views of workers or operators' records any worker may have become cold unseen. Views
are read anew every 2.1 s at the latest while the log answers; an evacuation, after which workers
are cold, is seen unless it lasts less than this."""

LEASE_REQUEST_VALID_SECONDS = 1.0
"""How long after a request could have used a cold worker its lease is sought."""

FIRST_CHOICE_HEAD_START_SECONDS = 0.3
"""How long the lease of a cold worker is left to the node whose first choice it is; the others seek
it then."""

MAXIMUM_SECOND_CHOICES = 2
"""Most workers of another node's first choice whose leases are sought at a time: the rest is left
to other nodes."""

ViewAge = Callable[[float], float]
"""Returns the age of the views by which workers are known to be warm, at a time; in seconds."""


@dataclass(slots=True)
class _LeaseRequest:
    """Requests wait for a cold worker; steady times."""

    since: float
    until: float


class ColdStarts:
    """Judges sends to workers of services that state what a cold worker withstands.

    Parameters
    ----------
    leases
        Who may send to which cold worker.
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
        """No worker is known to be cold after this."""
        self._windows: dict[str, SlidingWindow] = {}
        self._requests: dict[str, _LeaseRequest] = {}
        """By worker."""
        self._on_request = on_request

    def views_renewed(self, now: float) -> None:
        """Record that views are current again, or for the first time, after a gap."""
        self._renewed_at = now

    def mark_cold(self, worker: Worker, seconds: float, now: float) -> None:
        """Record that a worker stays cold for some seconds."""
        worker.cold_until = max(worker.cold_until, now + seconds + COLD_MARGIN_SECONDS)
        self._cold_until = max(self._cold_until, worker.cold_until)

    def any(self, service: Service, now: float) -> bool:
        """Whether any worker of a service may be cold: otherwise all may be sent to."""
        if service.cold_rate <= 0.0:
            return False
        return now < self._cold_until or self._unknown(now)

    def cold(self, worker: Worker, now: float) -> bool:
        """Whether a worker is cold, as far as this node can know."""
        return now < worker.cold_until or self._unknown(now)

    def denial(self, worker: Worker, service: Service, now: float) -> Denial | None:
        """Return why nothing may be sent to a worker now, None if something may."""
        if not self.any(service, now) or not self.cold(worker, now):
            return None
        name = worker.announcement.worker
        if not self._leases.may_send(name, now):
            return Denial.COLD_WITHOUT_LEASE
        if not self._window(name, service).has_room(now):
            return Denial.COLD_RATE_REACHED
        return None

    def reserve(self, worker: Worker, service: Service, now: float) -> float | None:
        """Count a request that is about to be sent; None if the worker is not cold."""
        if not self.any(service, now) or not self.cold(worker, now):
            return None
        return self._window(worker.announcement.worker, service).reserve(now)

    def confirm(
        self, worker: Worker, service: Service, reserved_at: float | None, now: float
    ) -> Denial | None:
        """Judge a request whose first byte is about to go, and count it if it may go."""
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
        """Request the leases of cold workers that waiting requests could use."""
        for worker in workers:
            request = self._requests.get(worker)
            if request is None or now >= request.until:
                self._requests[worker] = _LeaseRequest(now, now + LEASE_REQUEST_VALID_SECONDS)
            else:
                request.until = now + LEASE_REQUEST_VALID_SECONDS
        self._on_request()

    def leases_to_acquire(self, now: float, first_choice: Callable[[str], bool]) -> list[str]:
        """Return the workers whose lease this node should win now.

        Parameters
        ----------
        first_choice
            Returns whether this node comes first for a worker, among those that run batches.
        """
        self._requests = {w: asked for w, asked in self._requests.items() if now < asked.until}
        due = [worker for worker in self._requests if self._leases.due(worker, now)]
        own = [w for w in due if self._leases.may_send(w, now) or first_choice(w)]
        waited = [
            worker
            for worker in due
            if worker not in own
            and now - self._requests[worker].since >= FIRST_CHOICE_HEAD_START_SECONDS
        ]
        return own + waited[:MAXIMUM_SECOND_CHOICES]

    @property
    def idle(self) -> bool:
        """Whether no lease is requested."""
        return not self._requests

    def keep_only(self, workers: Container[str], now: float) -> None:
        """Forget workers that are gone, and leases that are over."""
        self._windows = {w: window for w, window in self._windows.items() if w in workers}
        self._leases.forget(now)

    def _unknown(self, now: float) -> bool:
        """Whether workers may have become cold without this node's knowledge."""
        age = self._view_age(now)
        return age > OLDEST_VIEW_SECONDS or now - age < self._renewed_at + VIEW_SETTLE_SECONDS

    def _window(self, worker: str, service: Service) -> SlidingWindow:
        window = self._windows.get(worker)
        if window is None:
            window = self._windows[worker] = SlidingWindow(service.cold_rate)
        return window
