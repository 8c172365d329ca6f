"""Fakes and builders for tests of workers."""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.common.identities import Address
from stagewalk.gateway.workers.table import WorkerChange
from stagewalk.gateway.workers.worker import Worker, WorkerAnnouncement, incarnation_id


class RecordingListener:
    """Records the changes of a table; passes cold workers to a callback."""

    def __init__(
        self, on_cold: Callable[[Worker, float, float], None] = lambda _worker, _seconds, _now: None
    ) -> None:
        self.changes: list[tuple[str, WorkerChange]] = []
        self._on_cold = on_cold

    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        self.changes.append((worker, change))

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        self._on_cold(worker, seconds, now)


def announcement(
    worker: str,
    *,
    service: str = "s",
    zone: str = "z1",
    slots: int = 4,
    draining: bool = False,
    versions: dict[str, int] | None = None,
    born: int | None = None,
) -> WorkerAnnouncement:
    return WorkerAnnouncement(
        incarnation_id(worker, born),
        service,
        Address("10.0.0.1", 80),
        zone,
        slots,
        draining,
        versions or {},
        name=worker,
        born_milliseconds=born,
    )
