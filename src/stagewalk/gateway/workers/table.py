"""All listed workers, by service. Pure.

Decides from the entries of the platform's worker list which workers may be used, also when an entry
is missing, delayed, unreadable or of an earlier incarnation. State of a single worker is in
`workers.worker`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import replace
from enum import StrEnum
from typing import Protocol

from stagewalk.gateway.ports.send_permits import WorkerTarget
from stagewalk.gateway.workers.worker import ReportKind, Worker, WorkerAnnouncement

STALE_SECONDS = 2.2
"""How long after an outage of the list a worker whose entry is missing counts as stale rather than
gone. Live workers renew expired entries within about two seconds after the outage."""

EARLIER_START_SECONDS = 3.6
"""An entry of an earlier incarnation is accepted after three heartbeats (of 1.2 s) without one of
the later incarnation."""

DEPARTURE_REMEMBERED_SECONDS = 300.0
"""How long draining workers are remembered, so that older entries that arrive late are ignored."""


class WorkerChange(StrEnum):
    """State change of a worker; the values are logged."""

    JOINED = "joined"
    DRAINING = "draining"
    STALE = "doubted"
    """Its entry is missing, perhaps only because of an outage of the list."""
    GONE = "gone"


class WorkerListener(Protocol):
    """Called by the table as it applies entries."""

    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        """Handle a state change of a worker."""

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        """Handle an entry, read at `now`, of a worker that is cold for `seconds` more."""


class _NoListener:
    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        pass

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        pass


class WorkerTable:
    """Workers by incarnation. Workers that are draining or no longer listed get no new work.

    Entries also disappear while the list's store is down, although their workers still serve. A
    worker whose entry disappears around an outage is therefore stale: usable as a last resort
    until its next heartbeat is due.

    A draining worker stays draining: older entries that arrive late are ignored. A worker that
    restarts under the same name is a new worker, and replaces the earlier one. Late entries of an
    earlier incarnation are ignored while the later one is seen.

    Parameters
    ----------
    uses_reported_pace
        Whether the pace that workers report is used.
    """

    def __init__(self, *, uses_reported_pace: bool = True) -> None:
        self._uses_reported_pace = uses_reported_pace
        self._workers: dict[str, Worker] = {}
        self._incarnation_by_name: dict[str, str] = {}
        """Incarnation by the name that its entry is listed under."""
        self._stale_until: dict[str, float] = {}
        self._by_service: dict[str, list[Worker]] = {}
        self._most_state_start_time = False
        self._draining_at: dict[str, float] = {}
        self._listener: WorkerListener = _NoListener()

    def listen(self, listener: WorkerListener) -> None:
        """Set the listener, which itself needs this table and so is created after it."""
        self._listener = listener

    def replace(
        self,
        announcements: Iterable[WorkerAnnouncement],
        now: float,
        disturbed_at: float,
        unreadable: Iterable[str] = (),
    ) -> None:
        """Replace all workers by those of a complete listing.

        Parameters
        ----------
        disturbed_at
            Steady time at which reading the list last failed.
        unreadable
            Names of entries that can't be read.
        """
        listed = {announcement.listed_as: announcement for announcement in announcements}
        for name in unreadable:
            self.discard(name)
        for name in list(self._incarnation_by_name):
            if name not in listed:
                self.remove(name, now, disturbed_at)
        for announcement in listed.values():
            self.announce(announcement, now)

    def announce(self, announcement: WorkerAnnouncement, now: float) -> None:
        """Add or update a worker from its entry."""
        if self._is_superseded(announcement, now):
            return
        if announcement.draining:
            self._draining_at[announcement.worker] = now
        elif announcement.worker in self._draining_at:
            announcement = replace(announcement, draining=True)
        earlier = self._incarnation_by_name.get(announcement.listed_as)
        if earlier is not None and earlier != announcement.worker:
            self._drop(earlier)
        known = self._workers.get(announcement.worker)
        self._stale_until.pop(announcement.worker, None)
        if known is None:
            worker = Worker(
                announcement,
                now,
                versions=dict(announcement.versions),
                uses_reported_pace=self._uses_reported_pace,
            )
            self._workers[announcement.worker] = worker
            self._incarnation_by_name[announcement.listed_as] = announcement.worker
            self._index()
            self._listener.worker_changed(announcement.worker, WorkerChange.JOINED)
            self._record_cold(worker, now)
            return
        if announcement.draining and not known.announcement.draining:
            self._listener.worker_changed(announcement.worker, WorkerChange.DRAINING)
        if announcement.versions != known.announcement.versions:
            known.versions.update(announcement.versions)
        known.announcement = announcement
        known.last_seen_at = now
        self._record_cold(known, now)

    def remove(self, name: str, now: float, disturbed_at: float) -> None:
        """Mark the worker listed under a name as stale, or drop it, as its entry is gone."""
        known = self._workers.get(self._incarnation_by_name.get(name, ""))
        if known is None:
            return
        incarnation = known.announcement.worker
        gone_at = disturbed_at + STALE_SECONDS
        if now < gone_at and not known.announcement.draining:
            self._stale_until.setdefault(incarnation, gone_at)
            self._listener.worker_changed(incarnation, WorkerChange.STALE)
            return
        self._drop(incarnation)

    def discard(self, name: str) -> None:
        """Drop the worker listed under a name, whose entry can't be read."""
        incarnation = self._incarnation_by_name.get(name)
        if incarnation is not None:
            self._drop(incarnation)

    def expire(self, now: float) -> None:
        """Drop stale workers that were not listed again, and old records of draining workers."""
        for worker, draining_at in list(self._draining_at.items()):
            if now - draining_at > DEPARTURE_REMEMBERED_SECONDS:
                del self._draining_at[worker]
        for worker, until in list(self._stale_until.items()):
            if now >= until:
                self._drop(worker)

    def worker(self, incarnation: str) -> Worker | None:
        """Return a listed worker by its incarnation."""
        return self._workers.get(incarnation)

    def lists(self, name: str) -> bool:
        """Whether a worker is listed under a name."""
        return name in self._incarnation_by_name

    def serving(self, service: str) -> list[Worker]:
        """Return a service's workers that are not draining, including stale ones."""
        return [worker for worker in self._by_service.get(service, ()) if self._serves(worker)]

    def usable(self, service: str, excluded: Container[str] = ()) -> list[Worker]:
        """Return a service's workers for new work; stale ones only if there are no others."""
        workers = [w for w in self.serving(service) if w.announcement.worker not in excluded]
        not_stale = [w for w in workers if w.announcement.worker not in self._stale_until]
        return not_stale or workers

    def __contains__(self, name: object) -> bool:
        """Whether a worker is listed."""
        return name in self._workers

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return [worker for worker in self._workers.values() if self._trusted(worker)]

    def report_kinds(self, now: float) -> dict[ReportKind, int]:
        """Return the number of workers by the kind of their last load report."""
        counts = Counter(worker.report_kind(now) for worker in self.all())
        return {kind: counts[kind] for kind in ReportKind}

    @staticmethod
    def target(worker: Worker) -> WorkerTarget:
        """Return the address and identity to send to."""
        announcement = worker.announcement
        return WorkerTarget(announcement.listed_as, announcement.address, announcement.worker)

    def _is_superseded(self, announcement: WorkerAnnouncement, now: float) -> bool:
        """Whether an entry is of an earlier incarnation than the known one, which is still seen.

        If a worker's clock steps back between two starts, the new incarnation looks like the
        earlier one. It is accepted once the known incarnation has missed its heartbeats.
        """
        known = self._workers.get(self._incarnation_by_name.get(announcement.listed_as, ""))
        if known is None:
            return False
        started, known_started = (
            announcement.born_milliseconds,
            known.announcement.born_milliseconds,
        )
        if known_started is None:
            return False
        earlier = started is None or started < known_started
        return earlier and now - known.last_seen_at < EARLIER_START_SECONDS

    def _trusted(self, worker: Worker) -> bool:
        """Whether a worker's entry states its start time, if most entries do.

        An entry without one may be from another writer. If most entries lack it, none is required
        to have it.
        """
        return worker.announcement.born_milliseconds is not None or not self._most_state_start_time

    def _serves(self, worker: Worker) -> bool:
        return not worker.announcement.draining and self._trusted(worker)

    def _record_cold(self, worker: Worker, now: float) -> None:
        if worker.announcement.cold_seconds > 0.0:
            self._listener.worker_cold(worker, worker.announcement.cold_seconds, now)

    def _drop(self, worker: str) -> None:
        dropped = self._workers.pop(worker, None)
        self._stale_until.pop(worker, None)
        if dropped is not None:
            self._incarnation_by_name.pop(dropped.announcement.listed_as, None)
        self._index()
        self._listener.worker_changed(worker, WorkerChange.GONE)

    def _index(self) -> None:
        by_service: dict[str, list[Worker]] = {}
        for worker in self._workers.values():
            by_service.setdefault(worker.announcement.service, []).append(worker)
        self._by_service = by_service
        stated = sum(w.announcement.born_milliseconds is not None for w in self._workers.values())
        self._most_state_start_time = 2 * stated > len(self._workers)
