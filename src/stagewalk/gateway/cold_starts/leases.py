"""Who may send to a cold worker: leases kept as records of a log partition. Pure.

Owns the records of leases and one process's view of them. What a cold worker withstands is a sum
over all senders, and their number and views differ. So one node at a time may send to it at all. A
lease is won by conditional append, hence by one node, whatever others believe; times are of each
process's own steady clock: the holder counts from before it sent its record, the others from when
they read it, so the holder always stops first.
Relies on the log for the condition (`cold_lease_service` appends).
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

COLD_LEASE_SECONDS = 4.0
"""How long a holder may send after it sent its record: a cold start of 3 s in one lease."""

RENEW_BEFORE_SECONDS = 1.5
"""A holder that still needs a worker renews its lease so long before the end."""

HANDOVER_SECONDS = 1.2
"""How much longer others wait: a worker's requests count over any span of one second. With another
0.2 s for requests under way no such span holds requests of two holders."""


class ColdLease(msgspec.Struct, frozen=True, array_like=True, tag="cold"):
    """Record of a lease: its holder alone may send to some cold workers."""

    holder: str
    workers: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


def decode_cold_lease(payload: bytes) -> ColdLease | None:
    """Return the lease in a payload, None if it holds none."""
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
class _Held:
    holder: str
    blocked_until: float


class ColdLeases:
    """One process's view of all leases on cold workers.

    Parameters
    ----------
    own
        Identity of this start of the process.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._held: dict[str, _Held] = {}
        self._valid_until: dict[str, float] = {}
        self._gap_until = -math.inf

    def may_send(self, worker: str, now: float) -> bool:
        """Whether this process has the right to send to a worker at a time."""
        return now < self._valid_until.get(worker, -math.inf)

    def held(self, now: float) -> int:
        """Return the number of workers that this process may send to."""
        return sum(now < until for until in self._valid_until.values())

    def apply(self, record: ColdLease, now: float) -> None:
        """Apply a record that was read."""
        blocked_until = now + COLD_LEASE_SECONDS + HANDOVER_SECONDS
        for worker in record.workers:
            self._held[worker] = _Held(record.holder, blocked_until)
            if record.holder != self._own:
                self._valid_until.pop(worker, None)

    def record_gap(self, now: float) -> None:
        """Record that records were dropped unread: others may hold any of the leases."""
        self._gap_until = now + COLD_LEASE_SECONDS + HANDOVER_SECONDS

    def record_won(self, record: ColdLease, sent_at: float) -> None:
        """Record that the log appended a lease that this process sent at a time."""
        for worker in record.workers:
            self._valid_until[worker] = sent_at + COLD_LEASE_SECONDS

    def due(self, worker: str, now: float) -> bool:
        """Whether this process may win a worker's lease, and has none that lasts."""
        if self._valid_until.get(worker, -math.inf) - now > RENEW_BEFORE_SECONDS:
            return False
        if now < self._gap_until:
            return self.may_send(worker, now)
        held = self._held.get(worker)
        return held is None or held.holder == self._own or now >= held.blocked_until

    def acquire(self, workers: Collection[str], end: int, now: float) -> AcquireLeases | None:
        """Return the record to append for those of the workers that are due, None for none.

        Parameters
        ----------
        end
            Up to where all records were read: the append fails if there is another one since.
        """
        due = tuple(sorted(worker for worker in workers if self.due(worker, now)))
        return AcquireLeases(end, ColdLease(self._own, due)) if due else None

    def forget(self, now: float) -> None:
        """Forget leases that are over."""
        self._held = {w: held for w, held in self._held.items() if now < held.blocked_until}
        self._valid_until = {w: until for w, until in self._valid_until.items() if now < until}
