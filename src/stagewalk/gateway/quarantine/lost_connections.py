"""Lost connections whose worker may have crashed, pending evidence. Pure.

A connection may also be lost because of a damaged answer, a refused surplus connection or a network
reset. The worker has crashed if nothing listens at its address any more, which `nodes.crash_watch`
probes, or if its entry disappears or is replaced by another incarnation soon afterwards.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

LOSS_EVIDENCE_SECONDS = 6.0
"""How long a change of the worker's entry counts as evidence of a crash. Entries expire after three
heartbeats (3.6 s), and updates take up to 2 s to arrive."""

MAXIMUM_PENDING_LOSSES = 256
"""Maximum number of pending losses; beyond that the oldest is dropped."""


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """An incarnation of a worker, and the address where it listened."""

    worker: str
    address: str


@dataclass(frozen=True, slots=True)
class LostConnection:
    """A request whose worker may have crashed while running it.

    Attributes
    ----------
    content
        Digest of the request's content.
    known_crashes
        Consecutive crashes of the content that were known when it was sent.
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
    """Lost connections that are pending evidence, by content and worker."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], LostConnection] = {}

    def __len__(self) -> int:
        """Return the number of pending losses."""
        return len(self._pending)

    def add(self, loss: LostConnection) -> None:
        """Add a loss, unless there is one of the same content and worker."""
        self._pending.setdefault((loss.content, loss.start.worker), loss)
        if len(self._pending) > MAXIMUM_PENDING_LOSSES:
            del self._pending[next(iter(self._pending))]

    def answered(self, content: str) -> None:
        """Drop a content's losses: one of its requests was answered, so it did not cause them."""
        self._take([key for key in self._pending if key[0] == content])

    def ended(self, worker: str) -> list[LostConnection]:
        """Remove and return the losses at a worker that is known to have ended."""
        return self._take([key for key in self._pending if key[1] == worker])

    def due(self, workers: WorkerTable, now: float) -> list[LostConnection]:
        """Remove and return losses whose worker is no longer listed; drop refuted and old ones."""
        ended: list[tuple[str, str]] = []
        for key, loss in list(self._pending.items()):
            worker = workers.worker(loss.start.worker)
            if worker is None:
                ended.append(key)
            elif _is_refuted(worker, loss) or now - loss.lost_at > LOSS_EVIDENCE_SECONDS:
                del self._pending[key]
        return self._take(ended)

    def _take(self, keys: list[tuple[str, str]]) -> list[LostConnection]:
        return [self._pending.pop(key) for key in keys]


def _is_refuted(worker: Worker, loss: LostConnection) -> bool:
    """Whether the worker is draining, or has answered since the connection was lost."""
    answered_at = max(worker.load_at, worker.latency_at)
    return worker.announcement.draining or answered_at > loss.lost_at
