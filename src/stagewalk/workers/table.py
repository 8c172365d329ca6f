"""All listed workers, by service."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from stagewalk.ports.workers import WorkerTarget
from stagewalk.workers.worker import Worker, WorkerAnnouncement

OUTAGE_MEMORY_SECONDS = 3.0
"""How long after trouble with the list a missing entry is doubted rather than believed."""

DOUBT_SECONDS = 3.0
"""How long a doubted worker may still be used if its service has no other."""


class WorkerTable:
    """Workers by identity. An entry that says `draining` or is gone gets no new work.

    Entries also vanish while the list's store is down, of workers that serve on. So a worker
    whose entry vanished around an outage stays usable for a moment, as a last resort, until
    its next heartbeat would have brought it back.
    """

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}
        self._doubted_until: dict[str, float] = {}
        self._by_service: dict[str, list[Worker]] = {}
        self.on_change: Callable[[str, str], None] = lambda _worker, _change: None
        """Told of each change of belief: the worker and a word for the change."""

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
        known = self._workers.get(announcement.worker)
        self._doubted_until.pop(announcement.worker, None)
        if known is None:
            worker = Worker(announcement, now, versions=dict(announcement.versions))
            self._workers[announcement.worker] = worker
            self._index()
            self.on_change(announcement.worker, "joined")
            return
        if announcement.draining and not known.announcement.draining:
            self.on_change(announcement.worker, "draining")
        if announcement.versions != known.announcement.versions:
            known.versions.update(announcement.versions)
        known.announcement = announcement
        known.heard_at = now

    def remove(self, worker: str, now: float, disturbed_at: float) -> None:
        """Take the news that a worker's entry is gone."""
        known = self._workers.get(worker)
        if known is None:
            return
        doubtful = now - disturbed_at < OUTAGE_MEMORY_SECONDS
        if doubtful and not known.announcement.draining:
            self._doubted_until.setdefault(worker, now + DOUBT_SECONDS)
            self.on_change(worker, "doubted")
            return
        self._drop(worker)

    def expire(self, now: float) -> None:
        """Drop doubted workers that did not come back."""
        for worker, until in list(self._doubted_until.items()):
            if now >= until:
                self._drop(worker)

    def worker(self, name: str) -> Worker | None:
        """Return a listed worker."""
        return self._workers.get(name)

    def usable(self, service: str) -> list[Worker]:
        """Return a service's workers that may get new work; doubted ones only if alone."""
        workers = [worker for worker in self._by_service.get(service, ()) if self._serves(worker)]
        sure = [w for w in workers if w.announcement.worker not in self._doubted_until]
        return sure or workers

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
