"""Decides which duties this process holds and when it tries to acquire one.

The order of the log determines who holds a lease, and membership whether the holder is alive, so
holding a lease needs no log traffic. Wrongly assuming a holder dead only causes a change of holder:
the epoch fences off the previous one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import Epoch, Incarnation, NodeName
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.leases.config import LeaseConfig
from stagewalk.node.leases.notifications import LeaseAcquired, LeaseLost, LeaseOutput
from stagewalk.node.leases.state_machine import (
    LEASE_STREAM,
    Acquire,
    Lease,
    LeaseStateMachine,
    Release,
    encode_record,
)
from stagewalk.node.log_client.notifications import AppendToStream


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """This process as a candidate for duties."""

    name: NodeName
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LiveMember:
    """A node that membership considers alive.

    A leaving node keeps its duties but acquires no new ones.
    """

    incarnation: Incarnation
    leaving: bool = False


class LeaseCore:
    """Acquires, holds and releases the leases of one node.

    Parameters
    ----------
    identity
        This process. Its incarnation must be larger than that of any earlier start.
    generator
        Source of the jitter between attempts.
    """

    def __init__(
        self, identity: LeaseCandidate, config: LeaseConfig, generator: random.Random
    ) -> None:
        self._identity = identity
        self._config = config
        self._generator = generator
        self._state_machine = LeaseStateMachine()
        self._duties: tuple[str, ...] = ()
        self._members: dict[NodeName, LiveMember] = {}
        self._active_epochs: dict[str, Epoch] = {}
        self._vacant_since: dict[str, float] = {}
        self._next_attempt_at: dict[str, float] = {}
        self._last_tick: float | None = None
        self._next_check_at = float("-inf")
        self._catching_up = True
        self._stopping = False

    # State

    def holder(self, duty: str) -> NodeName | None:
        """Return the holder of a duty according to the records applied so far."""
        lease = self._state_machine.lease(duty)
        return lease.holder if lease is not None and not lease.released else None

    def epoch(self, duty: str) -> Epoch:
        """Return a duty's epoch according to the records applied so far, 0 before the first."""
        return self._state_machine.epoch(duty)

    def held(self) -> dict[str, Epoch]:
        """Return the duties this process may act for now, with their fencing tokens."""
        return dict(sorted(self._active_epochs.items()))

    # Events

    def set_duties(self, names: Iterable[str]) -> None:
        """Replace the set of duties; a held duty not in it is released at the next tick."""
        duties = tuple(sorted(set(names)))
        if duties != self._duties:
            self._duties = duties
            self._next_check_at = float("-inf")

    def set_members(self, members: Mapping[NodeName, LiveMember]) -> None:
        """Replace the live members, this node included."""
        if members != self._members:
            self._members = dict(members)
            self._next_check_at = float("-inf")

    def fold(self, record: LogRecord) -> list[LeaseOutput]:
        """Apply the next record of the lease stream, in order and without gaps."""
        outcome = self._state_machine.apply(record)
        if outcome.lease is None:
            return []
        duty = outcome.lease.duty
        self._vacant_since.pop(duty, None)
        self._next_attempt_at.pop(duty, None)
        self._next_check_at = float("-inf")
        return self._reconcile(duty)

    def record_caught_up(self, now: float) -> list[LeaseOutput]:
        """Record that the lease stream was applied up to its head since the start or last pause."""
        if not self._catching_up:
            return []
        self._catching_up = False
        self._last_tick = now
        self._next_check_at = float("-inf")
        outputs: list[LeaseOutput] = []
        for lease in self._state_machine.leases:
            outputs.extend(self._reconcile(lease.duty))
        return outputs

    def tick(self, now: float) -> list[LeaseOutput]:
        """Detect pauses of this process; release and acquire duties."""
        outputs = self._detect_pause(now)
        if self._catching_up or now < self._next_check_at:
            return outputs
        self._next_check_at = now + self._config.check_interval_seconds
        outputs.extend(self._release_removed())
        if not self._stopping:
            for duty in self._duties:
                outputs.extend(self._acquire(duty, now))
        return outputs

    def release_all(self) -> list[LeaseOutput]:
        """Release all duties at once, and acquire no more: the process is about to stop."""
        self._stopping = True
        outputs: list[LeaseOutput] = []
        for duty in sorted(self._active_epochs):
            outputs.extend(self._release(duty))
        return outputs

    # Steps

    def _detect_pause(self, now: float) -> list[LeaseOutput]:
        """Stop acting after a long gap between ticks, since others may have taken over.

        Stale orders would be rejected by their epoch anyway; stopping avoids sending them.
        """
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last <= self._config.ttl_seconds:
            return []
        self._catching_up = True
        self._vacant_since.clear()
        lost = sorted(self._active_epochs)
        self._active_epochs.clear()
        return [LeaseLost(duty) for duty in lost]

    def _is_own(self, lease: Lease | None) -> bool:
        return (
            lease is not None
            and not lease.released
            and lease.holder == self._identity.name
            and lease.incarnation == self._identity.incarnation
        )

    def _reconcile(self, duty: str) -> list[LeaseOutput]:
        """Start or stop acting for a duty according to its lease in the log."""
        lease = self._state_machine.lease(duty)
        if lease is None or not self._is_own(lease):
            return [LeaseLost(duty)] if self._active_epochs.pop(duty, None) is not None else []
        if self._catching_up or self._active_epochs.get(duty) == lease.epoch:
            return []
        if self._stopping:
            # An acquisition appended before the stop took effect after it.
            return [self._release_record(lease)]
        self._active_epochs[duty] = lease.epoch
        return [LeaseAcquired(duty, lease.epoch)]

    def _release_removed(self) -> list[LeaseOutput]:
        outputs: list[LeaseOutput] = []
        for duty in sorted(set(self._active_epochs) - set(self._duties)):
            outputs.extend(self._release(duty))
        return outputs

    def _release(self, duty: str) -> list[LeaseOutput]:
        del self._active_epochs[duty]
        lease = self._state_machine.lease(duty)
        outputs: list[LeaseOutput] = [LeaseLost(duty)]
        if lease is not None and self._is_own(lease):
            outputs.append(self._release_record(lease))
        return outputs

    @staticmethod
    def _release_record(lease: Lease) -> AppendToStream:
        record = Release(
            duty=lease.duty,
            holder=lease.holder,
            incarnation=lease.incarnation,
            epoch=lease.epoch,
        )
        return AppendToStream(LEASE_STREAM, encode_record(record))

    def _acquire(self, duty: str, now: float) -> list[LeaseOutput]:
        """Append a record that acquires a duty, if it is vacant and this process's turn has come.

        Candidates try in the order of a hash of duty and name, so that few of them race.
        """
        lease = self._state_machine.lease(duty)
        if self._is_own(lease):
            # The duty was removed and configured again before its release record was applied.
            return self._reconcile(duty)
        delay = self._vacancy_delay(lease)
        if delay is None:
            self._vacant_since.pop(duty, None)
            return []
        rank = self._rank(duty)
        if rank is None:
            return []
        since = self._vacant_since.setdefault(duty, now)
        turn_at = since + delay + rank * self._config.candidate_delay_seconds
        if now < max(turn_at, self._next_attempt_at.get(duty, turn_at)):
            return []
        jitter = 1.0 + self._generator.random()
        self._next_attempt_at[duty] = now + self._config.retry_seconds * jitter
        record = Acquire(
            duty=duty,
            holder=self._identity.name,
            incarnation=self._identity.incarnation,
            epoch=self._state_machine.epoch(duty) + 1,
        )
        return [AppendToStream(LEASE_STREAM, encode_record(record))]

    def _vacancy_delay(self, lease: Lease | None) -> float | None:
        """Return how long a duty must be vacant before the first candidate tries, None if held."""
        if lease is None or lease.released:
            return 0.0
        if lease.holder == self._identity.name:
            # An earlier process under this name no longer runs.
            return 0.0 if lease.incarnation < self._identity.incarnation else None
        member = self._members.get(lease.holder)
        if member is not None and member.incarnation == lease.incarnation:
            return None
        return self._config.ttl_seconds

    def _rank(self, duty: str) -> int | None:
        """Return this process's rank among the candidates for a duty, from 0."""
        candidates = [name for name, member in self._members.items() if not member.leaving]
        own = self._identity.name
        if own not in candidates:
            return None
        weight = _weight(duty, own)
        return sum(_weight(duty, name) > weight for name in candidates)


def _weight(duty: str, name: NodeName) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{duty}\x00{name}".encode()), name
