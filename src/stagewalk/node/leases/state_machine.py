"""Deterministic state machine over the log stream `leases`: which process holds which duty.

Each acquisition raises a duty's epoch by one. Every node rejects a record with any other epoch, so
of several candidates for an epoch the one whose record is first in the log gets it. The state
machine uses neither time nor liveness. A holder puts its epoch on every order and record, so
receivers can reject those of a previous holder.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stagewalk.common.identities import Epoch, Incarnation, NodeName
from stagewalk.node.core.platform import LogRecord

LEASE_STREAM = "leases"
"""Log stream of acquisitions and releases."""


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Record: a process acquires a duty under the epoch after the current one it knows."""

    duty: str
    holder: str
    incarnation: int
    epoch: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Record: the holder releases a duty."""

    duty: str
    holder: str
    incarnation: int
    epoch: int


Record = Acquire | Release

_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record as a payload of the lease stream."""
    return _ENCODER.encode(record)


@dataclass(frozen=True, slots=True)
class Lease:
    """State of a duty's lease according to the log.

    `released` means that its last holder released it; its epoch is never used again.
    """

    duty: str
    holder: NodeName
    incarnation: Incarnation
    epoch: Epoch
    released: bool = False


@dataclass(frozen=True, slots=True)
class LeaseOutcome:
    """Result of applying a record: the lease it changed, or why it was rejected."""

    lease: Lease | None
    rejection: str | None = None


class LeaseStateMachine:
    """Leases after a prefix of the lease stream; equal prefixes give equal leases."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def lease(self, duty: str) -> Lease | None:
        """Return the latest lease of a duty, released or not."""
        return self._leases.get(duty)

    def epoch(self, duty: str) -> Epoch:
        """Return a duty's epoch, 0 before the first."""
        lease = self._leases.get(duty)
        return lease.epoch if lease is not None else Epoch(0)

    @property
    def leases(self) -> tuple[Lease, ...]:
        """Return all leases, sorted by duty."""
        return tuple(self._leases[duty] for duty in sorted(self._leases))

    def apply(self, record: LogRecord) -> LeaseOutcome:
        """Apply a record; one that is malformed or has a wrong epoch or holder has no effect."""
        try:
            parsed = _DECODER.decode(record.payload)
        except msgspec.DecodeError as error:
            return LeaseOutcome(None, f"malformed record: {error}")
        if isinstance(parsed, Acquire):
            return self._apply_acquire(parsed)
        return self._apply_release(parsed)

    def _apply_acquire(self, record: Acquire) -> LeaseOutcome:
        current = self.epoch(record.duty)
        if record.epoch != current + 1:
            return LeaseOutcome(
                None,
                f"{record.duty}: {record.holder} requested epoch {record.epoch}, current epoch is "
                f"{current}",
            )
        lease = Lease(
            duty=record.duty,
            holder=NodeName(record.holder),
            incarnation=Incarnation(record.incarnation),
            epoch=Epoch(record.epoch),
        )
        self._leases[record.duty] = lease
        return LeaseOutcome(lease)

    def _apply_release(self, record: Release) -> LeaseOutcome:
        current = self._leases.get(record.duty)
        named = (record.holder, record.incarnation, record.epoch)
        if current is None or named != (current.holder, current.incarnation, current.epoch):
            return LeaseOutcome(None, f"{record.duty}: {record.holder} does not hold it")
        lease = Lease(
            current.duty, current.holder, current.incarnation, current.epoch, released=True
        )
        self._leases[record.duty] = lease
        return LeaseOutcome(lease)
