"""Who holds which duty: a deterministic fold over the log stream `leases`.

The epoch of a duty grows by one with each acquisition, and a record that names any other epoch is
rejected, identically at every node: of candidates that race for an epoch the one whose record
landed first has it. The fold knows no time and no liveness. A holder puts its epoch on every order
and record, so that one that was overtaken does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stagewalk.common.identities import Epoch, Incarnation, NodeName
from stagewalk.node.core.platform import LogRecord

LEASE_STREAM = "leases"
"""Stream of the log with acquisitions and releases."""


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Record: a process acquires a duty under the epoch after the one it knows."""

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
    """Return a record as the payload of the lease stream."""
    return _ENCODER.encode(record)


@dataclass(frozen=True, slots=True)
class Lease:
    """What the log says of a duty.

    `released` means that its last holder gave it up; the epoch stays, never to be used again.
    """

    duty: str
    holder: NodeName
    incarnation: Incarnation
    epoch: Epoch
    released: bool = False


@dataclass(frozen=True, slots=True)
class LeaseOutcome:
    """What the fold made of a record: the lease it changed, or why it was rejected."""

    lease: Lease | None
    rejection: str | None = None


class LeaseStateMachine:
    """State machine over the records of the lease stream: same prefix, same leases."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def lease(self, duty: str) -> Lease | None:
        """Return the last lease of a duty, released or not."""
        return self._leases.get(duty)

    def epoch(self, duty: str) -> Epoch:
        """Return a duty's epoch, 0 before the first."""
        lease = self._leases.get(duty)
        return lease.epoch if lease is not None else Epoch(0)

    @property
    def leases(self) -> tuple[Lease, ...]:
        """Return all leases in order of duties."""
        return tuple(self._leases[duty] for duty in sorted(self._leases))

    def apply(self, record: LogRecord) -> LeaseOutcome:
        """Fold one record in; a record that is malformed or lost a race changes nothing."""
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
                f"{record.duty}: {record.holder} asked for epoch {record.epoch}, in force is "
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
