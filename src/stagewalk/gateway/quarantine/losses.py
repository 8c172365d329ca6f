"""Tells whether a worker that contact was lost with has ended, from what is seen of it later. Pure.

A connection also breaks where a worker spoils an answer, turns a surplus connection away, or a link
is reset. Ended it has if nobody listens at its address any more, or if its entry is gone or another
start has taken its place soon after.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

EVIDENCE_SECONDS = 6.0
"""How long a worker's entry may still show that it ended: one that is silent goes after three
heartbeats (3.6 s), one that starts again is listed some seconds later, and news takes up to 2 s."""

MOST_PENDING = 256
"""Losses that wait for evidence; beyond that the oldest are forgotten."""


@dataclass(frozen=True, slots=True)
class WorkerStart:
    """One start of a worker, and where it listened."""

    worker: str
    address: str


@dataclass(frozen=True, slots=True)
class Loss:
    """A request whose worker may have ended while it ran it.

    Attributes
    ----------
    content
        Digest of the request's content.
    known_level
        Ends in a row known of the content as it was sent.
    sent_at, lost_at
        Steady times.
    unix_seconds
        When contact was lost, by the time of day.
    """

    request_id: str
    content: str
    start: WorkerStart
    route: str
    known_level: int
    sent_at: float
    lost_at: float
    unix_seconds: float


class LossWatch:
    """Losses of contact that wait for evidence."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], Loss] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._pending)

    def add(self, loss: Loss) -> None:
        """Have a loss wait for evidence."""
        self._pending.setdefault((loss.content, loss.start.worker), loss)
        if len(self._pending) > MOST_PENDING:
            del self._pending[next(iter(self._pending))]

    def answered(self, content: str) -> None:
        """Take that a request of a content was answered: its losses had other causes."""
        self._take([key for key in self._pending if key[0] == content])

    def ended(self, worker: str) -> list[Loss]:
        """Take that a worker has ended; return the losses that this explains."""
        return self._take([key for key in self._pending if key[1] == worker])

    def due(self, workers: WorkerTable, now: float) -> list[Loss]:
        """Return losses whose worker's entry shows its end; forget those it speaks against."""
        ended: list[tuple[str, str]] = []
        for key, loss in list(self._pending.items()):
            worker = workers.worker(loss.start.worker)
            if worker is None:
                ended.append(key)
            elif _explained(worker, loss) or now - loss.lost_at > EVIDENCE_SECONDS:
                del self._pending[key]
        return self._take(ended)

    def _take(self, keys: list[tuple[str, str]]) -> list[Loss]:
        return [self._pending.pop(key) for key in keys]


def _explained(worker: Worker, loss: Loss) -> bool:
    """Whether a worker leaves as planned, or has answered something since contact was lost."""
    answered_at = max(worker.load_at, worker.latency_at)
    return worker.announcement.draining or answered_at > loss.lost_at
