"""A lease kept as records of a log partition, acquired by conditional append. Pure.

Owns the rules for who may act as the holder and when others may acquire the lease. The fence
(fencing token) is the offset of the acquiring record, so it only grows. Times are in seconds of
each process's own steady clock. The holder counts from when it sent a renewal, the others from when
they read it, so the lease expires at the holder first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

LEASE_SECONDS = 1.6
"""How long a holder may act after it sent a renewal that the log accepted: three renewal intervals
and 0.1 s. After a holder's failure nobody acts until its lease and the quiet time are over."""

RENEW_SECONDS = 0.5
"""Interval between renewals: two may be lost before the lease expires."""

EXPIRY_MARGIN_SECONDS = 0.4
"""How much longer than the lease other processes wait before they try to acquire it."""

JITTER_STEPS = 8
JITTER_STEP_SECONDS = 0.15
"""Acquire jitter: after the expiry a process waits a random number of steps, less than
`JITTER_STEPS`, before it tries to acquire the lease, so that processes rarely do so at the same
time. A step is far longer than an append (about 10 ms)."""

NO_FENCE = -1
MACHINE_SEPARATOR = "#"


def acquire_jitter_seconds(random_number: int) -> float:
    """Return a process's acquire jitter, derived from a random number."""
    return JITTER_STEP_SECONDS * (random_number % JITTER_STEPS)


def new_holder_id(machine: str, nonce: str) -> str:
    """Return the identity of a process; at most one such process runs on a machine at a time."""
    return f"{machine}{MACHINE_SEPARATOR}{nonce}"


def machine_of(holder: str) -> str:
    """Return the machine a holder runs on."""
    return holder.rpartition(MACHINE_SEPARATOR)[0]


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """Acquisition, renewal or release of a lease.

    `fence` is `NO_FENCE` in a record that acquires the lease. A renewal or release has the fence
    under which it was written, and is ignored under any other.
    """

    holder: str
    fence: int
    released: bool = False

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


class DutyRecord(msgspec.Struct, frozen=True, array_like=True, tag="duty"):
    """An order that the holder is about to send, announced so that other processes expect it.

    Attributes
    ----------
    subject
        The engine that gets the order.
    detail, number
        The model, and the version to load.
    """

    subject: str
    detail: str
    number: int

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


class PlanRecord(msgspec.Struct, frozen=True, array_like=True, tag="plan"):
    """A decision of a holder, written to the log before it is executed.

    Ignored unless `fence` is the current one at the record's offset. So all processes apply the
    same plan if two holders write one.

    Attributes
    ----------
    subject
        What is decided, with the prefix of the duty's service.
    content
        The decision, encoded by the service of the duty.
    """

    fence: int
    subject: str
    content: bytes

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


LeaseTopicRecord = LeaseRecord | DutyRecord | PlanRecord
_DECODER: msgspec.msgpack.Decoder[LeaseTopicRecord] = msgspec.msgpack.Decoder(LeaseTopicRecord)


def decode_lease_record(payload: bytes) -> LeaseTopicRecord | None:
    """Return the decoded record, None if the payload is malformed."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None


@dataclass(frozen=True, slots=True)
class Acquire:
    """Action: append an acquiring record if the partition ends at `end`."""

    end: int
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class Renew:
    """Action: append a renewal or release."""

    record: LeaseRecord


class LogLease:
    """One process's view of the lease.

    Parameters
    ----------
    holder
        Identity of this process, see `new_holder_id`.
    quiet_seconds
        Time between two holders during which nobody may act.
    jitter_seconds
        Acquire jitter, see `acquire_jitter_seconds`.
    """

    def __init__(self, holder: str, quiet_seconds: float, jitter_seconds: float) -> None:
        self._own = holder
        self._quiet = quiet_seconds
        self._acquire_jitter = jitter_seconds
        self._end = 0
        self._holder = ""
        self._fence = NO_FENCE
        self._renewal_read_at = -math.inf
        self._released = True
        self._valid_until = -math.inf
        self._may_act_from = math.inf
        self._renewed_at = -math.inf
        self._gap_at = -math.inf

    @property
    def holder(self) -> str:
        """Return the identity of the current or last holder."""
        return self._holder

    @property
    def fence(self) -> int:
        """Return the fence of the current or last holder."""
        return self._fence

    @property
    def held(self) -> bool:
        """Whether this process is the holder and has not released the lease."""
        return self._holder == self._own and not self._released

    def set_quiet_seconds(self, seconds: float) -> None:
        """Set the quiet time between two holders; it applies from the next holder on."""
        self._quiet = seconds

    def may_act(self, now: float) -> bool:
        """Whether this process may act as the holder now."""
        return self.held and self._may_act_from <= now < self._valid_until

    def apply(self, offset: int, record: LeaseRecord, now: float) -> None:
        """Apply a record."""
        self._end = offset + 1
        if record.fence == NO_FENCE:
            self._apply_acquired(offset, record, now)
        elif record.fence == self._fence:
            self._renewal_read_at = now
            self._released = self._released or record.released
        elif record.fence > self._fence:
            self._apply_unseen_holder(record, now)

    def skip(self, next_offset: int) -> None:
        """Record that the partition ends at `next_offset` or later."""
        self._end = max(self._end, next_offset)

    def record_gap(self, now: float) -> None:
        """Record that records were dropped before they were read: the holder may have changed.

        An alive holder becomes known by its next renewal.
        """
        self._gap_at = now

    def decide(self, now: float, current: bool) -> Acquire | Renew | None:
        """Return what to append now, if anything.

        Parameters
        ----------
        current
            Whether the view of the lease's records is up to date.
        """
        if self.held:
            if now - self._renewed_at < RENEW_SECONDS:
                return None
            self._renewed_at = now
            return Renew(LeaseRecord(self._own, self._fence))
        if not current or now < self._free_at():
            return None
        return Acquire(self._end, LeaseRecord(self._own, NO_FENCE))

    def record_accepted(self, sent_at: float, fence: int) -> None:
        """Extend the lease: the log accepted a renewal or an acquiring record sent at `sent_at`."""
        if fence == self._fence and self._holder == self._own:
            self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)

    def handle_fenced(self, fence: int) -> None:
        """Stop acting under a fence, since a receiver has seen a higher one.

        Another process must have acquired the lease in a record not read here yet. This process
        reads on and, once the lease is free, may acquire it again under a higher fence.
        """
        if fence == self._fence and self._holder == self._own:
            self._released = True
            self._valid_until = -math.inf

    def release(self) -> Renew | None:
        """Release the lease; return the record to append, None if the lease isn't held."""
        if not self.held:
            return None
        self._released = True
        return Renew(LeaseRecord(self._own, self._fence, released=True))

    def _apply_acquired(self, offset: int, record: LeaseRecord, now: float) -> None:
        """Apply a new holder: it may act once the quiet time after the last holder is over."""
        quiet_from = (
            self._renewal_read_at if self._released else self._renewal_read_at + LEASE_SECONDS
        )
        # A holder that only the dropped records named may have renewed until they were dropped.
        quiet_from = max(quiet_from, self._gap_at + LEASE_SECONDS)
        no_gap = self._gap_at == -math.inf
        first = self._holder == ""
        # At most one process runs on a machine, so an earlier one there no longer runs.
        same_machine = machine_of(record.holder) == machine_of(self._holder)
        at_once = no_gap and (first or same_machine)
        self._may_act_from = now if at_once else max(now, quiet_from + self._quiet)
        self._gap_at = -math.inf
        self._holder = record.holder
        self._fence = offset
        self._renewal_read_at = now
        self._released = False
        self._valid_until = -math.inf
        self._renewed_at = -math.inf

    def _apply_unseen_holder(self, record: LeaseRecord, now: float) -> None:
        """Apply a renewal or release by a holder whose acquiring record was not read."""
        self._gap_at = -math.inf
        self._holder = record.holder
        self._fence = record.fence
        self._renewal_read_at = now
        self._released = record.released
        self._valid_until = -math.inf

    def _free_at(self) -> float:
        after_gap = self._gap_at + LEASE_SECONDS + EXPIRY_MARGIN_SECONDS + self._acquire_jitter
        return max(after_gap, self._free_by_records())

    def _free_by_records(self) -> float:
        if self._holder == "" or machine_of(self._holder) == machine_of(self._own):
            return -math.inf
        expires = 0.0 if self._released else LEASE_SECONDS + EXPIRY_MARGIN_SECONDS
        return self._renewal_read_at + expires + self._acquire_jitter
