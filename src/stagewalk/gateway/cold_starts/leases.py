"""Leases on cold workers, kept as records of a log partition. Pure.

The rate limit of a cold worker applies to all senders together, so only the node that holds its
lease may send to it. A lease is acquired by a conditional append, which only one node can win.
Each process uses its own steady clock: the holder counts from before it sent the record, the others
from when they read it, so the holder always stops first.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

COLD_LEASE_SECONDS = 4.0
"""Duration of a lease, counted from when the holder sent its record; covers a cold start of 3 s."""

RENEW_BEFORE_SECONDS = 1.5
"""How long before its end a lease is renewed by a holder that still needs it."""

HANDOVER_SECONDS = 1.2
"""How long after the end of a lease others may acquire it: the second that the rate limit applies
to, and 0.2 s for requests in flight, so that no such second has requests of two holders."""


class ColdLease(msgspec.Struct, frozen=True, array_like=True, tag="cold"):
    """Record of a lease: only its holder may send to the cold workers."""

    holder: str
    workers: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


def decode_cold_lease(payload: bytes) -> ColdLease | None:
    """Return the lease encoded in a payload, None if it is not a valid one."""
    try:
        return msgspec.msgpack.decode(payload, type=ColdLease)
    except msgspec.DecodeError:
        return None


@dataclass(frozen=True, slots=True)
class AcquireLeases:
    """Append a record if the partition ends at `end`."""

    end: int
    record: ColdLease


@dataclass(slots=True)
class _HeldLease:
    holder: str
    blocked_until: float


class ColdLeases:
    """One process's view of all leases on cold workers.

    Parameters
    ----------
    holder_id
        Unique identity of this process, different after each restart.
    """

    def __init__(self, holder_id: str) -> None:
        self._holder = holder_id
        self._held: dict[str, _HeldLease] = {}
        self._valid_until: dict[str, float] = {}
        self._gap_until = -math.inf

    def may_send(self, worker: str, now: float) -> bool:
        """Whether this process holds the lease on a worker."""
        return now < self._valid_until.get(worker, -math.inf)

    def held(self, now: float) -> int:
        """Return the number of workers whose leases this process holds."""
        return sum(now < until for until in self._valid_until.values())

    def apply(self, record: ColdLease, now: float) -> None:
        """Apply a record read from the log."""
        blocked_until = now + COLD_LEASE_SECONDS + HANDOVER_SECONDS
        for worker in record.workers:
            self._held[worker] = _HeldLease(record.holder, blocked_until)
            if record.holder != self._holder:
                self._valid_until.pop(worker, None)

    def record_gap(self, now: float) -> None:
        """Record that records were dropped before they were read; others may hold any lease."""
        self._gap_until = now + COLD_LEASE_SECONDS + HANDOVER_SECONDS

    def record_won(self, record: ColdLease, sent_at: float) -> None:
        """Record that a lease of this process, sent at `sent_at`, was appended."""
        for worker in record.workers:
            self._valid_until[worker] = sent_at + COLD_LEASE_SECONDS

    def due(self, worker: str, now: float) -> bool:
        """Whether this process may acquire a worker's lease, or should renew it."""
        if self._valid_until.get(worker, -math.inf) - now > RENEW_BEFORE_SECONDS:
            return False
        if now < self._gap_until:
            return self.may_send(worker, now)
        held = self._held.get(worker)
        return held is None or held.holder == self._holder or now >= held.blocked_until

    def acquire(self, workers: Collection[str], end: int, now: float) -> AcquireLeases | None:
        """Return the record to append for those of the workers that are due, None if none is.

        Parameters
        ----------
        end
            Offset up to which all records were read. The append fails if there are later ones.
        """
        due = tuple(sorted(worker for worker in workers if self.due(worker, now)))
        return AcquireLeases(end, ColdLease(self._holder, due)) if due else None

    def forget(self, now: float) -> None:
        """Drop expired leases."""
        self._held = {w: held for w, held in self._held.items() if now < held.blocked_until}
        self._valid_until = {w: until for w, until in self._valid_until.items() if now < until}
