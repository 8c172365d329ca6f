"""Acquires leases on cold workers that requests wait for; idle while none is requested.

Owns reads and appends of the lease partition. Relies on `ColdStarts` for the leases to acquire and
on `ColdLeases` for those that may be acquired.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.cold_starts.leases import AcquireLeases, ColdLeases, decode_cold_lease
from stagewalk.gateway.partitioned_log.follower import PartitionFollower
from stagewalk.gateway.ports.partitioned_log import (
    LogFault,
    Partition,
    PartitionedLog,
    PartitionRecord,
)

COLD_STARTS_PARTITION = Partition("cold_starts", 0)
POLL_INTERVAL_SECONDS = 0.1
"""Interval between attempts while a lease is requested."""

CATCH_UP_TIMEOUT_SECONDS = 0.5
"""How long an attempt waits until the partition is read to its end."""


class ColdLeaseService:
    """Reads and appends records of leases on cold workers, on demand.

    Parameters
    ----------
    replicas
        Returns the names of the nodes that run batches. Each cold worker is preferred by one of
        them, so that the leases spread over the nodes.
    """

    def __init__(
        self,
        *,
        log: PartitionedLog,
        node: str,
        cold: ColdStarts,
        leases: ColdLeases,
        replicas: Callable[[], list[str]],
    ) -> None:
        self._log = log
        self._node = node
        self._cold = cold
        self._leases = leases
        self._replicas = replicas
        self._requested = anyio.Event()
        self._follower = PartitionFollower(
            log,
            COLD_STARTS_PARTITION,
            self._apply,
            on_gap=lambda: leases.record_gap(steady_seconds()),
        )
        self._follower.pause()

    async def run(self) -> None:
        """Acquire leases while any are requested; never returns."""
        while True:
            if self._cold.idle:
                self._requested = anyio.Event()
                await self._requested.wait()
            await self._step()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def wake(self) -> None:
        """Resume the service after a lease was requested."""
        self._requested.set()

    async def _step(self) -> None:
        if not self._due_workers() or not await self._follower.catch_up(CATCH_UP_TIMEOUT_SECONDS):
            return
        # The records just read may assign some of these leases to other nodes.
        acquire = self._leases.acquire(
            self._due_workers(), self._follower.next_offset, steady_seconds()
        )
        if acquire is not None:
            await self._acquire(acquire)

    def _due_workers(self) -> list[str]:
        return self._cold.leases_to_acquire(steady_seconds(), self._is_preferred)

    async def _acquire(self, acquire: AcquireLeases) -> None:
        sent_at = steady_seconds()
        answer = await self._log.append_at(
            COLD_STARTS_PARTITION, acquire.record.encode(), acquire.end
        )
        if answer.is_ok():
            self._leases.record_won(acquire.record, sent_at)
        outcome = "won" if answer.is_ok() else answer.error.fault.value
        log_event(
            "cold_lease_acquire",
            "info" if answer.is_ok() or answer.error.fault is LogFault.CONFLICT else "warning",
            workers=",".join(acquire.record.workers),
            outcome=outcome,
            offset=acquire.end,
        )

    def _apply(self, record: PartitionRecord) -> None:
        lease = decode_cold_lease(record.payload)
        if lease is None:
            log_event(
                "record_unreadable",
                "warning",
                topic=COLD_STARTS_PARTITION.topic,
                offset=record.offset,
            )
            return
        self._leases.apply(lease, steady_seconds())

    def _is_preferred(self, worker: str) -> bool:
        nodes = self._replicas()
        return bool(nodes) and self._node == min(
            nodes, key=lambda node: rendezvous_hash(worker, node)
        )
