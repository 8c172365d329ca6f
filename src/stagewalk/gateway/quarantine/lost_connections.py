"""Whether a worker to which the connection was lost has ended, by what is seen of it later. Pure.

Owns the lost connections that wait for evidence. A connection also breaks where a worker damages an
answer, refuses a surplus connection, or a link is reset. The worker has ended if nobody listens at
its address any more (`nodes.crash_watch` probes that), or if its entry is gone, or replaced by
another start, soon after. Relies on the worker table for entries.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

LOSS_EVIDENCE_SECONDS = 6.0
"""How long a worker's entry may still show that it ended: one that is silent goes after three
heartbeats (3.6 s), one that starts again is listed some seconds later, and news takes up to 2 s."""

MAXIMUM_PENDING_LOSSES = 256
"""Losses that wait for evidence; beyond that the oldest are forgotten."""


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """One start of a worker, and where it listened."""

    worker: str
    address: str


@dataclass(frozen=True, slots=True)
class LostConnection:
    """A request whose worker may have ended while it ran it.

    Attributes
    ----------
    content
        Digest of the request's content.
    known_crashes
        Consecutive crashes known of the content as it was sent.
    sent_at, lost_at
        Steady times.
    unix_seconds
        When the connection was lost, in Unix time.
    """

    request_id: str
    content: str
    start: WorkerIncarnation
    route: str
    known_crashes: int
    sent_at: float
    lost_at: float
    unix_seconds: float


class PendingLosses:
    """Lost connections that wait for evidence."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], LostConnection] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._pending)

    def add(self, loss: LostConnection) -> None:
        """Add a loss that waits for evidence."""
        self._pending.setdefault((loss.content, loss.start.worker), loss)
        if len(self._pending) > MAXIMUM_PENDING_LOSSES:
            del self._pending[next(iter(self._pending))]

    def answered(self, content: str) -> None:
        """Drop a content's losses: one of its requests was answered, so they had other causes."""
        self._take([key for key in self._pending if key[0] == content])

    def ended(self, worker: str) -> list[LostConnection]:
        """Remove and return the losses that a worker's end explains."""
        return self._take([key for key in self._pending if key[1] == worker])

    def due(self, workers: WorkerTable, now: float) -> list[LostConnection]:
        """Return losses whose worker's entry shows its end; forget those it speaks against."""
        ended: list[tuple[str, str]] = []
        for key, loss in list(self._pending.items()):
            worker = workers.worker(loss.start.worker)
            if worker is None:
                ended.append(key)
            elif _explained(worker, loss) or now - loss.lost_at > LOSS_EVIDENCE_SECONDS:
                del self._pending[key]
        return self._take(ended)

    def _take(self, keys: list[tuple[str, str]]) -> list[LostConnection]:
        return [self._pending.pop(key) for key in keys]


def _explained(worker: Worker, loss: LostConnection) -> bool:
    """Whether a worker leaves as planned, or has answered since the connection was lost."""
    answered_at = max(worker.load_at, worker.latency_at)
    return worker.announcement.draining or answered_at > loss.lost_at
