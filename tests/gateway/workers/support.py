"""Workers for tests."""

from __future__ import annotations

from stagewalk.common.identities import Address
from stagewalk.gateway.workers.worker import WorkerAnnouncement, start_identity


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
        start_identity(worker, born),
        service,
        Address("10.0.0.1", 80),
        zone,
        slots,
        draining,
        versions or {},
        name=worker,
        born_milliseconds=born,
    )
