"""Which duties this process holds, and when it tries for one.

Owns the leases this process acts for. Relies on the log's order for who holds a lease and on
membership for whether its holder lives, so that holding one costs no log traffic. A wrong judgement
costs a change of holder, nothing else, since the epoch fences a holder that was overtaken.
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
    """A node that membership believes alive; one that is leaving keeps its duties and acquires
    none."""

    incarnation: Incarnation
    leaving: bool = False


class LeaseCore:
    """A node's part in all duties.

    Parameters
    ----------
    identity
        This process. Its incarnation must be larger than that of any earlier start.
    generator
        Source of the jitter between tries.
    """

    def __init__(
        self, identity: LeaseCandidate, config: LeaseConfig, generator: random.Random
    ) -> None:
        self._identity = identity
        self._config = config
        self._generator = generator
        self._fold = LeaseStateMachine()
        self._duties: tuple[str, ...] = ()
        self._members: dict[NodeName, LiveMember] = {}
        self._acting: dict[str, Epoch] = {}
        self._vacant_since: dict[str, float] = {}
        self._next_try: dict[str, float] = {}
        self._last_tick: float | None = None
        self._check_at = float("-inf")
        self._in_doubt = True
        self._stopping = False

    # State

    def holder(self, duty: str) -> NodeName | None:
        """Return who holds a duty by the log as folded so far."""
        lease = self._fold.lease(duty)
        return lease.holder if lease is not None and not lease.released else None

    def epoch(self, duty: str) -> Epoch:
        """Return a duty's epoch by the log as folded so far, 0 before the first."""
        return self._fold.epoch(duty)

    def held(self) -> dict[str, Epoch]:
        """Return the duties this process may act for now, with their fencing tokens."""
        return dict(sorted(self._acting.items()))

    # Events

    def set_duties(self, names: Iterable[str]) -> None:
        """Replace the set of duties there are; one that is gone is released at the next tick."""
        duties = tuple(sorted(set(names)))
        if duties != self._duties:
            self._duties = duties
            self._check_at = float("-inf")

    def set_members(self, members: Mapping[NodeName, LiveMember]) -> None:
        """Replace the live members, this node included."""
        if members != self._members:
            self._members = dict(members)
            self._check_at = float("-inf")

    def fold(self, record: LogRecord) -> list[LeaseOutput]:
        """Apply the next record of the lease stream, in order and without gaps."""
        outcome = self._fold.apply(record)
        if outcome.lease is None:
            return []
        duty = outcome.lease.duty
        self._vacant_since.pop(duty, None)
        self._next_try.pop(duty, None)
        self._check_at = float("-inf")
        return self._settle(duty)

    def record_caught_up(self, now: float) -> list[LeaseOutput]:
        """Record that the lease stream was folded to a head read since the last doubt arose."""
        if not self._in_doubt:
            return []
        self._in_doubt = False
        self._last_tick = now
        self._check_at = float("-inf")
        outputs: list[LeaseOutput] = []
        for lease in self._fold.leases:
            outputs.extend(self._settle(lease.duty))
        return outputs

    def tick(self, now: float) -> list[LeaseOutput]:
        """Detect a pause of this process, release and acquire duties."""
        outputs = self._detect_pause(now)
        if self._in_doubt or now < self._check_at:
            return outputs
        self._check_at = now + self._config.check_interval_seconds
        outputs.extend(self._release_removed())
        if not self._stopping:
            for duty in self._duties:
                outputs.extend(self._acquire(duty, now))
        return outputs

    def release_all(self) -> list[LeaseOutput]:
        """Release all duties at once, and acquire no more: the process is about to stop."""
        self._stopping = True
        outputs: list[LeaseOutput] = []
        for duty in sorted(self._acting):
            outputs.extend(self._release(duty))
        return outputs

    # Steps

    def _detect_pause(self, now: float) -> list[LeaseOutput]:
        """Stop acting after a long gap between ticks: others may have taken over meanwhile.

        The epochs make any order given in that state harmless; stopping only spares the orders.
        """
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last <= self._config.ttl_seconds:
            return []
        self._in_doubt = True
        self._vacant_since.clear()
        lost = sorted(self._acting)
        self._acting.clear()
        return [LeaseLost(duty) for duty in lost]

    def _is_own(self, lease: Lease | None) -> bool:
        return (
            lease is not None
            and not lease.released
            and lease.holder == self._identity.name
            and lease.incarnation == self._identity.incarnation
        )

    def _settle(self, duty: str) -> list[LeaseOutput]:
        """Start or stop acting for a duty as the log says."""
        lease = self._fold.lease(duty)
        if lease is None or not self._is_own(lease):
            return [LeaseLost(duty)] if self._acting.pop(duty, None) is not None else []
        if self._in_doubt or self._acting.get(duty) == lease.epoch:
            return []
        if self._stopping:
            # A try made before the stop has landed after it.
            return [self._release_record(lease)]
        self._acting[duty] = lease.epoch
        return [LeaseAcquired(duty, lease.epoch)]

    def _release_removed(self) -> list[LeaseOutput]:
        outputs: list[LeaseOutput] = []
        for duty in sorted(set(self._acting) - set(self._duties)):
            outputs.extend(self._release(duty))
        return outputs

    def _release(self, duty: str) -> list[LeaseOutput]:
        del self._acting[duty]
        lease = self._fold.lease(duty)
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

        Candidates try in the order of their hashed rank, so that few race."""
        lease = self._fold.lease(duty)
        if self._is_own(lease):
            # Configured again before the record that releases it has landed, if it ever does.
            return self._settle(duty)
        delay = self._vacancy_delay(lease)
        if delay is None:
            self._vacant_since.pop(duty, None)
            return []
        rank = self._rank(duty)
        if rank is None:
            return []
        since = self._vacant_since.setdefault(duty, now)
        turn = since + delay + rank * self._config.candidate_delay_seconds
        if now < max(turn, self._next_try.get(duty, turn)):
            return []
        jitter = 1.0 + self._generator.random()
        self._next_try[duty] = now + self._config.retry_seconds * jitter
        record = Acquire(
            duty=duty,
            holder=self._identity.name,
            incarnation=self._identity.incarnation,
            epoch=self._fold.epoch(duty) + 1,
        )
        return [AppendToStream(LEASE_STREAM, encode_record(record))]

    def _vacancy_delay(self, lease: Lease | None) -> float | None:
        """Return how long a duty must be vacant before the first tries, None if it is held."""
        if lease is None or lease.released:
            return 0.0
        if lease.holder == self._identity.name:
            # An earlier start of this process is certainly gone.
            return 0.0 if lease.incarnation < self._identity.incarnation else None
        member = self._members.get(lease.holder)
        if member is not None and member.incarnation == lease.incarnation:
            return None
        return self._config.ttl_seconds

    def _rank(self, duty: str) -> int | None:
        """Return this process's place among the candidates for a duty, from 0."""
        candidates = [name for name, member in self._members.items() if not member.leaving]
        own = self._identity.name
        if own not in candidates:
            return None
        weight = _weight(duty, own)
        return sum(_weight(duty, name) > weight for name in candidates)


def _weight(duty: str, name: NodeName) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{duty}\x00{name}".encode()), name
