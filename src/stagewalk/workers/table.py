"""All listed workers, by service."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from dataclasses import replace

from stagewalk.ports.send_permits import WorkerTarget
from stagewalk.workers.worker import Worker, WorkerAnnouncement

DOUBT_SECONDS = 2.2
"""How long after trouble with the list a missing entry is doubted rather than believed: entries
that lapsed meanwhile are back about two seconds after its end, if their workers live."""

LEFT_MEMORY_SECONDS = 300.0
"""How long it is remembered which workers said that they leave."""


class WorkerTable:
    """Workers by identity. An entry that says `draining` or is gone gets no new work.

    Entries also vanish while the list's store is down, of workers that serve on. So a worker
    whose entry vanished around an outage stays usable for a moment, as a last resort, until
    its next heartbeat would have brought it back.

    A worker that said it leaves never takes that back: an entry of before, written late, changes
    nothing. Each start of a worker has an identity of its own.
    """

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}
        self._doubted_until: dict[str, float] = {}
        self._by_service: dict[str, list[Worker]] = {}
        self._left_at: dict[str, float] = {}
        self.on_change: Callable[[str, str], None] = lambda _worker, _change: None
        """Told of each change of belief: the worker and a word for the change."""
        self.on_cold: Callable[[Worker, float, float], None] = lambda _worker, _seconds, _now: None
        """Told of each entry that says that its worker is cold: the worker, for how many seconds
        more, and when the entry was read."""

    def replace(
        self, announcements: Iterable[WorkerAnnouncement], now: float, disturbed_at: float
    ) -> None:
        """Take a whole list."""
        listed = {announcement.worker: announcement for announcement in announcements}
        for worker in list(self._workers):
            if worker not in listed:
                self.remove(worker, now, disturbed_at)
        for announcement in listed.values():
            self.announce(announcement, now)

    def announce(self, announcement: WorkerAnnouncement, now: float) -> None:
        """Take a worker's entry."""
        if announcement.draining:
            self._left_at[announcement.worker] = now
        elif announcement.worker in self._left_at:
            announcement = replace(announcement, draining=True)
        known = self._workers.get(announcement.worker)
        self._doubted_until.pop(announcement.worker, None)
        if known is None:
            worker = Worker(announcement, now, versions=dict(announcement.versions))
            self._workers[announcement.worker] = worker
            self._index()
            self.on_change(announcement.worker, "joined")
            self._note_cold(worker, now)
            return
        if announcement.draining and not known.announcement.draining:
            self.on_change(announcement.worker, "draining")
        if announcement.versions != known.announcement.versions:
            known.versions.update(announcement.versions)
        known.announcement = announcement
        known.heard_at = now
        self._note_cold(known, now)

    def remove(self, worker: str, now: float, disturbed_at: float) -> None:
        """Take the news that a worker's entry is gone."""
        known = self._workers.get(worker)
        if known is None:
            return
        believed_at = disturbed_at + DOUBT_SECONDS
        if now < believed_at and not known.announcement.draining:
            self._doubted_until.setdefault(worker, believed_at)
            self.on_change(worker, "doubted")
            return
        self._drop(worker)

    def expire(self, now: float) -> None:
        """Drop doubted workers that did not come back; forget who left long ago."""
        for worker, left_at in list(self._left_at.items()):
            if now - left_at > LEFT_MEMORY_SECONDS:
                del self._left_at[worker]
        for worker, until in list(self._doubted_until.items()):
            if now >= until:
                self._drop(worker)

    def worker(self, name: str) -> Worker | None:
        """Return a listed worker."""
        return self._workers.get(name)

    def serving(self, service: str) -> list[Worker]:
        """Return a service's workers that are listed and don't leave, doubted ones too."""
        return [worker for worker in self._by_service.get(service, ()) if self._serves(worker)]

    def usable(self, service: str, excluded: Container[str] = ()) -> list[Worker]:
        """Return a service's workers that may get new work; doubted ones only if alone."""
        workers = [w for w in self.serving(service) if w.announcement.worker not in excluded]
        sure = [w for w in workers if w.announcement.worker not in self._doubted_until]
        return sure or workers

    def __contains__(self, name: object) -> bool:
        """Whether a worker is listed."""
        return name in self._workers

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return list(self._workers.values())

    @staticmethod
    def target(worker: Worker) -> WorkerTarget:
        """Return where to send."""
        return WorkerTarget(worker.announcement.worker, worker.announcement.address)

    @staticmethod
    def _serves(worker: Worker) -> bool:
        return not worker.announcement.draining

    def _note_cold(self, worker: Worker, now: float) -> None:
        if worker.announcement.cold_seconds > 0.0:
            self.on_cold(worker, worker.announcement.cold_seconds, now)

    def _drop(self, worker: str) -> None:
        self._workers.pop(worker, None)
        self._doubted_until.pop(worker, None)
        self._index()
        self.on_change(worker, "gone")

    def _index(self) -> None:
        by_service: dict[str, list[Worker]] = {}
        for worker in self._workers.values():
            by_service.setdefault(worker.announcement.service, []).append(worker)
        self._by_service = by_service
