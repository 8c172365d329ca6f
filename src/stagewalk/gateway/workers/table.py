"""All listed workers, by service. Pure.

Owns which workers are believed to serve: what an entry that is missing, late, unreadable or of an
earlier start says of its worker. Inputs are the entries of the platform's list (as published), and
when reading the list was disturbed last.
Relies on `workers.worker` for what is known of one worker.
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
"""How long after trouble with the list a worker whose entry is missing counts as stale rather than
gone: entries that lapsed meanwhile are back about two seconds after its end, if their workers
live."""

EARLIER_START_SECONDS = 3.6
"""An entry of an earlier start is believed again after three heartbeats (of 1.2 s) without one of
the later start."""

DEPARTURE_REMEMBERED_SECONDS = 300.0
"""How long it is remembered which workers said that they leave: entries written before, and read
late, change nothing meanwhile."""


class WorkerChange(StrEnum):
    """What changed in the belief about a worker; the values are logged."""

    JOINED = "joined"
    DRAINING = "draining"
    STALE = "doubted"
    """Its entry is missing, perhaps only because reading the list was disturbed."""
    GONE = "gone"


class WorkerListener(Protocol):
    """Called by the table as it applies entries."""

    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        """Handle a change of belief about a worker."""

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        """Handle an entry, read at `now`, that says that its worker is cold for `seconds` more."""


class _NoListener:
    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        pass

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        pass


class WorkerTable:
    """Workers by the identity of their start. An entry that says `draining` or is gone gets no new
    work.

    Entries also vanish while the list's store is down, of workers that serve on. So a worker
    whose entry vanished around an outage is stale: usable for a moment, as a last resort, until
    its next heartbeat would have brought it back.

    A worker that said that it leaves keeps leaving: an older entry, written late, changes nothing.
    A worker may start again under its name. That is another worker then, and the one before is
    gone; an entry of an earlier start, written late, changes nothing while the later one is seen.

    Parameters
    ----------
    uses_reported_pace
        Whether the pace that workers report is used.
    """

    def __init__(self, *, uses_reported_pace: bool = True) -> None:
        self._reads_pace = uses_reported_pace
        self._workers: dict[str, Worker] = {}
        self._start_of: dict[str, str] = {}
        """By the name that an entry is listed under, its start."""
        self._stale_until: dict[str, float] = {}
        self._by_service: dict[str, list[Worker]] = {}
        self._starts_stated = False
        self._left_at: dict[str, float] = {}
        self._listener: WorkerListener = _NoListener()

    def listen(self, listener: WorkerListener) -> None:
        """Set the listener: the reader of entries, which is itself given this table."""
        self._listener = listener

    def replace(
        self,
        announcements: Iterable[WorkerAnnouncement],
        now: float,
        disturbed_at: float,
        unreadable: Iterable[str] = (),
    ) -> None:
        """Apply a whole list, and the names of entries in it that can't be read.

        Parameters
        ----------
        disturbed_at
            Steady time at which reading the list was disturbed last.
        """
        listed = {announcement.listed_as: announcement for announcement in announcements}
        for name in unreadable:
            self.discard(name)
        for name in list(self._start_of):
            if name not in listed:
                self.remove(name, now, disturbed_at)
        for announcement in listed.values():
            self.announce(announcement, now)

    def announce(self, announcement: WorkerAnnouncement, now: float) -> None:
        """Apply a worker's entry."""
        if self._replaced_by_later(announcement, now):
            return
        if announcement.draining:
            self._left_at[announcement.worker] = now
        elif announcement.worker in self._left_at:
            announcement = replace(announcement, draining=True)
        earlier = self._start_of.get(announcement.listed_as)
        if earlier is not None and earlier != announcement.worker:
            self._drop(earlier)
        known = self._workers.get(announcement.worker)
        self._stale_until.pop(announcement.worker, None)
        if known is None:
            worker = Worker(
                announcement,
                now,
                versions=dict(announcement.versions),
                uses_reported_pace=self._reads_pace,
            )
            self._workers[announcement.worker] = worker
            self._start_of[announcement.listed_as] = announcement.worker
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
        """Apply that the entry under a name is gone."""
        known = self._workers.get(self._start_of.get(name, ""))
        if known is None:
            return
        start = known.announcement.worker
        gone_at = disturbed_at + STALE_SECONDS
        if now < gone_at and not known.announcement.draining:
            self._stale_until.setdefault(start, gone_at)
            self._listener.worker_changed(start, WorkerChange.STALE)
            return
        self._drop(start)

    def discard(self, name: str) -> None:
        """Drop the worker listed under a name, whose entry can't be read."""
        start = self._start_of.get(name)
        if start is not None:
            self._drop(start)

    def expire(self, now: float) -> None:
        """Drop stale workers that were not listed again; forget who left long ago."""
        for worker, left_at in list(self._left_at.items()):
            if now - left_at > DEPARTURE_REMEMBERED_SECONDS:
                del self._left_at[worker]
        for worker, until in list(self._stale_until.items()):
            if now >= until:
                self._drop(worker)

    def worker(self, start: str) -> Worker | None:
        """Return a listed worker by the identity of its start."""
        return self._workers.get(start)

    def lists(self, name: str) -> bool:
        """Whether any start is listed under a name."""
        return name in self._start_of

    def serving(self, service: str) -> list[Worker]:
        """Return a service's workers that are listed and don't leave, stale ones too."""
        return [worker for worker in self._by_service.get(service, ()) if self._serves(worker)]

    def usable(self, service: str, excluded: Container[str] = ()) -> list[Worker]:
        """Return a service's workers that may get new work; stale ones as a last resort."""
        workers = [w for w in self.serving(service) if w.announcement.worker not in excluded]
        sure = [w for w in workers if w.announcement.worker not in self._stale_until]
        return sure or workers

    def __contains__(self, name: object) -> bool:
        """Whether a worker is listed."""
        return name in self._workers

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return [worker for worker in self._workers.values() if self._trusted(worker)]

    def report_kinds(self, now: float) -> dict[ReportKind, int]:
        """Return of how many workers each kind of load report is known, of every kind."""
        counts = Counter(worker.report_kind(now) for worker in self.all())
        return {kind: counts[kind] for kind in ReportKind}

    @staticmethod
    def target(worker: Worker) -> WorkerTarget:
        """Return where to send."""
        announcement = worker.announcement
        return WorkerTarget(announcement.listed_as, announcement.address, announcement.worker)

    def _replaced_by_later(self, announcement: WorkerAnnouncement, now: float) -> bool:
        """Whether an entry is of a start before the one that is known, which is still seen.

        A worker's time of day may step back between two starts: the later one is then believed once
        the other was not seen for longer than its heartbeats last.
        """
        known = self._workers.get(self._start_of.get(announcement.listed_as, ""))
        if known is None:
            return False
        born, known_born = announcement.born_milliseconds, known.announcement.born_milliseconds
        if known_born is None:
            return False
        earlier = born is None or born < known_born
        return earlier and now - known.last_seen_at < EARLIER_START_SECONDS

    def _trusted(self, worker: Worker) -> bool:
        """Whether an entry says when its worker started, if most entries do.

        Another writer's entry may lack it. The majority decides, since one such entry must not
        discredit the workers of a deployment where none says it.
        """
        return worker.announcement.born_milliseconds is not None or not self._starts_stated

    def _serves(self, worker: Worker) -> bool:
        return not worker.announcement.draining and self._trusted(worker)

    def _record_cold(self, worker: Worker, now: float) -> None:
        if worker.announcement.cold_seconds > 0.0:
            self._listener.worker_cold(worker, worker.announcement.cold_seconds, now)

    def _drop(self, worker: str) -> None:
        dropped = self._workers.pop(worker, None)
        self._stale_until.pop(worker, None)
        if dropped is not None:
            self._start_of.pop(dropped.announcement.listed_as, None)
        self._index()
        self._listener.worker_changed(worker, WorkerChange.GONE)

    def _index(self) -> None:
        by_service: dict[str, list[Worker]] = {}
        for worker in self._workers.values():
            by_service.setdefault(worker.announcement.service, []).append(worker)
        self._by_service = by_service
        born = sum(w.announcement.born_milliseconds is not None for w in self._workers.values())
        self._starts_stated = 2 * born > len(self._workers)
