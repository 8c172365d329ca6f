"""A lease kept as records of a log partition, won by conditional append.

Pure. The fence is the offset of the record that won, so it only grows. Times are of each
process's own steady clock: the holder counts from before it sent a renewal, the others from
when they read it, so the holder always stops first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

LEASE_SECONDS = 1.6
"""How long a holder may act after it sent a renewal that was taken."""

RENEW_SECONDS = 0.5
EXPIRY_MARGIN_SECONDS = 0.4
"""How much longer others wait before one of them tries to win the lease."""

NO_FENCE = -1
MACHINE_SEPARATOR = "#"


def new_holder(machine: str, nonce: str) -> str:
    """Return the identity of one start of the only process of its kind on a machine."""
    return f"{machine}{MACHINE_SEPARATOR}{nonce}"


def machine_of(holder: str) -> str:
    """Return the machine a holder runs on."""
    return holder.rpartition(MACHINE_SEPARATOR)[0]


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """A step of a lease's history.

    `fence` is `NO_FENCE` in a record that wins the lease; a renewal or release names the one
    it belongs to, and is void under any other.
    """

    holder: str
    fence: int
    released: bool = False

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


class DutyRecord(msgspec.Struct, frozen=True, array_like=True, tag="duty"):
    """What the holder is about to do, told so that other processes expect its effects.

    Attributes
    ----------
    subject
        The engine that is ordered.
    detail, number
        The model, and the version it is brought to.
    """

    subject: str
    detail: str
    number: int

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


class PlanRecord(msgspec.Struct, frozen=True, array_like=True, tag="plan"):
    """What a holder decided, written down before it is carried out.

    Void unless `fence` is in force at its place in the log: of two holders' plans everyone takes
    the same one.

    Attributes
    ----------
    subject
        What it is about.
    content
        The decision, as whoever carries the duty out encodes it.
    """

    fence: int
    subject: str
    content: bytes

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.msgpack.encode(self)


LogRecord = LeaseRecord | DutyRecord | PlanRecord
_DECODER: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


def decode_lease_record(payload: bytes) -> LogRecord | None:
    """Return a payload's record, None if it is none."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None


@dataclass(frozen=True, slots=True)
class Acquire:
    """Append a winning record if the partition ends at `end`."""

    end: int
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class Renew:
    """Append a renewal or release."""

    record: LeaseRecord


class LogLease:
    """One process's view of the lease.

    Parameters
    ----------
    holder
        Identity of this start of the process, see `new_holder`.
    quiet_seconds
        How long nobody may act between two holders.
    jitter_seconds
        How much longer than the others this process waits: it keeps all from trying at once.
    """

    def __init__(self, holder: str, quiet_seconds: float, jitter_seconds: float) -> None:
        self._own = holder
        self._quiet = quiet_seconds
        self._acquire_jitter = jitter_seconds
        self._end = 0
        self._holder = ""
        self._fence = NO_FENCE
        self._heard_at = -math.inf
        self._released = True
        self._first_seen_at: float | None = None
        self._valid_until = -math.inf
        self._may_act_from = math.inf
        self._renewed_at = -math.inf
        self._gap_at = -math.inf

    @property
    def holder(self) -> str:
        """Return who holds the lease, or held it last."""
        return self._holder

    @property
    def fence(self) -> int:
        """Return the fence of the holder."""
        return self._fence

    @property
    def held(self) -> bool:
        """Whether this process is the holder and has not given the lease up."""
        return self._holder == self._own and not self._released

    def set_quiet(self, seconds: float) -> None:
        """Change how long nobody may act between two holders, from the next one on."""
        self._quiet = seconds

    def may_act(self, now: float) -> bool:
        """Whether this process may act as the holder at this moment."""
        return self.held and self._may_act_from <= now < self._valid_until

    def apply(self, offset: int, record: LeaseRecord, now: float) -> None:
        """Fold a record in."""
        self._end = offset + 1
        if record.fence == NO_FENCE:
            self._won(offset, record, now)
        elif record.fence == self._fence:
            self._heard_at = now
            self._released = self._released or record.released
        elif record.fence > self._fence:
            self._adopt(record, now)

    def skip(self, next_offset: int) -> None:
        """Note that the partition ends further on."""
        self._end = max(self._end, next_offset)

    def note_gap(self, now: float) -> None:
        """Note that records were dropped before they were read: somebody may hold the lease.

        Its renewals tell who, if it lives.
        """
        self._gap_at = now

    def decide(self, now: float, current: bool) -> Acquire | Renew | None:
        """Return what to append now; `current` says that all records were read just now."""
        if self.held:
            if now - self._renewed_at < RENEW_SECONDS:
                return None
            self._renewed_at = now
            return Renew(LeaseRecord(self._own, self._fence))
        if not current or now < self._free_at():
            return None
        return Acquire(self._end, LeaseRecord(self._own, NO_FENCE))

    def renewal_taken(self, sent_at: float, fence: int) -> None:
        """Note that the log took a renewal (or the winning record) sent at a time."""
        if fence == self._fence and self._holder == self._own:
            self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)

    def overtaken(self, fence: int) -> None:
        """Note that someone obeyed a higher fence: this process acts no more under this one.

        The log told that holder's win after this process read it last, so it reads again and,
        if the lease is free then, wins it anew under a fence that is higher still.
        """
        if fence == self._fence and self._holder == self._own:
            self._released = True
            self._valid_until = -math.inf

    def release(self) -> Renew | None:
        """Give the lease up; return the record that says so, None if it isn't held."""
        if not self.held:
            return None
        self._released = True
        return Renew(LeaseRecord(self._own, self._fence, released=True))

    def _won(self, offset: int, record: LeaseRecord, now: float) -> None:
        """Take a new holder: nobody acts until the last one's orders are long past."""
        quiet_from = self._heard_at if self._released else self._heard_at + LEASE_SECONDS
        # Whoever won in records that were not read may have renewed until they were dropped.
        quiet_from = max(quiet_from, self._gap_at + LEASE_SECONDS)
        certain = self._gap_at == -math.inf
        first = self._holder == ""
        # A process before on the same machine is gone for sure: one machine is one holder.
        same_machine = machine_of(record.holder) == machine_of(self._holder)
        at_once = certain and (first or same_machine)
        self._may_act_from = now if at_once else max(now, quiet_from + self._quiet)
        self._gap_at = -math.inf
        self._holder = record.holder
        self._fence = offset
        self._heard_at = now
        self._released = False
        self._valid_until = -math.inf
        self._renewed_at = -math.inf

    def _adopt(self, record: LeaseRecord, now: float) -> None:
        """Take a holder whose win was not read: only who has won renews under its fence."""
        self._gap_at = -math.inf
        self._holder = record.holder
        self._fence = record.fence
        self._heard_at = now
        self._released = record.released
        self._valid_until = -math.inf

    def _free_at(self) -> float:
        after_gap = self._gap_at + LEASE_SECONDS + EXPIRY_MARGIN_SECONDS + self._acquire_jitter
        return max(after_gap, self._free_by_records())

    def _free_by_records(self) -> float:
        if self._holder == "" or machine_of(self._holder) == machine_of(self._own):
            return -math.inf
        expires = 0.0 if self._released else LEASE_SECONDS + EXPIRY_MARGIN_SECONDS
        return self._heard_at + expires + self._acquire_jitter
