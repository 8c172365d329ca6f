"""Membership core: tracks which nodes are alive, as seen by this node.

`member_table` holds the newest fact about each node, `failure_detector` probes members, `suspicion`
times how long a suspect may refute, `dissemination` queues updates for gossip, and `contacts` holds
addresses of possible members. This module owns this node's own fact and handles messages and ticks.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.core.identity import AddressedIdentity
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.core.platform import Machine
from stagewalk.node.membership.codec import record_to_fact
from stagewalk.node.membership.config import MembershipConfig
from stagewalk.node.membership.contacts import ContactList
from stagewalk.node.membership.dissemination import UpdateQueue
from stagewalk.node.membership.failure_detector import FailureDetector
from stagewalk.node.membership.incarnations import OwnFactVerdict, judge_own_fact
from stagewalk.node.membership.member_table import (
    PRESENT_STATES,
    MemberFact,
    MemberTable,
    TableChange,
)
from stagewalk.node.membership.members import Member, MemberState, MemberStatus
from stagewalk.node.membership.messages import MessageWriter
from stagewalk.node.membership.notifications import (
    IdentitySuperseded,
    MemberChanged,
    MembershipNotification,
)
from stagewalk.node.membership.suspicion import SuspicionTimers, suspicion_terms
from stagewalk.node.wire.membership_pb2 import MembershipKind, MembershipMessage

MembershipOutput = SendPeerMessage | MembershipNotification

JOIN_FANOUT = 2
"""Machines contacted in each round while no other member is known."""
LEAVE_FANOUT = 8
"""Members notified at once when this node leaves."""
FULL_STATE_INTERVAL_SECONDS = 1.0
"""Minimum time between full lists sent on a digest mismatch; one of 420 members is about 30 KB."""
DIGEST_MISMATCH_TOLERANCE_SECONDS = 3.0
"""A digest mismatch that lasts longer is not explained by gossip that is still spreading."""

ENDED_MEMBER_CLEANUP_INTERVAL_SECONDS = 60.0
"""Time between removals of members whose `dead_retention` is over."""


class MembershipCore:
    """Membership of one node; does no I/O, but returns messages to send and notifications.

    Parameters
    ----------
    identity
        This node. Its incarnation must be greater than that of any earlier process of its name.
    config
        Timing and sizes.
    generator
        Source of all random choices.

    Notes
    -----
    All times are seconds of a monotonic clock. The caller must execute the outputs of each call
    in order.
    """

    def __init__(
        self, identity: AddressedIdentity, config: MembershipConfig, generator: random.Random
    ) -> None:
        self.identity = identity
        self._config = config
        self._generator = generator
        self._table = MemberTable()
        self._queue = UpdateQueue(config.retransmission_factor)
        self._writer = MessageWriter(identity, self._table, self._queue)
        self._detector = FailureDetector(identity, config, self._table, self._writer, generator)
        self._timers = SuspicionTimers()
        self._contacts = ContactList(identity.name, self._table, generator)
        self._outputs: list[MembershipOutput] = []
        self._leaving = False
        self._greatest_rank: tuple[int, int, int] = (identity.incarnation, 0, 0)
        """Rank of the latest fact of this node's name that was reported as later than its own."""
        self._last_tick_at: float | None = None
        self._next_gossip_at = 0.0
        self._next_exchange_at = 0.0
        self._next_contact_at = 0.0
        self._next_cleanup_at = 0.0
        self._next_full_state_at = 0.0
        self._digest_mismatch_since: float | None = None
        self._own_fact = MemberFact(
            identity.name,
            identity.incarnation,
            refutation=0,
            state=MemberState.ALIVE,
            address=identity.address,
            placement=identity.placement,
        )
        self._table.apply(self._own_fact, 0.0)
        self._queue.add(self._own_fact)

    def members(self) -> tuple[Member, ...]:
        """Return the alive and suspect members by name, including this node until it leaves."""
        return self._table.members()

    def set_status(self, status: MemberStatus) -> None:
        """Set the status that this node announces from now on."""
        self._own_fact = replace(self._own_fact, status=status)
        self._table.apply(self._own_fact, 0.0)

    def handle_machines(self, machines: Iterable[Machine], now: float) -> None:
        """Apply the platform's machine list as a list of addresses to contact."""
        self._contacts.set_machines(machines)
        if len(self._table.present()) <= 1:
            self._next_contact_at = now

    def handle_message(
        self, source: Address, sender: NodeName, message: MembershipMessage, now: float
    ) -> list[MembershipOutput]:
        """Handle another node's message; `source` is the address it came from."""
        self._detect_pause(now)
        if sender == self.identity.name:
            origin = record_to_fact(message.origin)
            own_fact = replace(origin, name=sender, address=origin.address or source)
            self._handle_own_fact(own_fact, now)
            return self._drain()
        address = self._handle_origin(source, sender, message, now)
        if address is None:
            return self._drain()
        self._handle_updates(sender, message, now)
        self._check_digest_mismatch(message, now)
        self._outputs.extend(self._answer(address, sender, message, now))
        return self._drain()

    def tick(self, now: float) -> list[MembershipOutput]:
        """Probe, gossip, compare lists and declare deaths as they become due."""
        self._detect_pause(now)
        if not self._leaving:
            self._probe(now)
        for expired in self._timers.expired(now):
            if expired.is_final:
                self._declare_dead(expired.name, now)
            else:
                self._probe_suspect(expired.name)
        if self._queue and now >= self._next_gossip_at:
            self._gossip(now)
        if now >= self._next_exchange_at:
            self._compare_with_random_member(now)
        if now >= self._next_contact_at:
            self._try_contacts(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + ENDED_MEMBER_CLEANUP_INTERVAL_SECONDS
            self._table.forget_ended_before(now - self._config.dead_retention)
        return self._drain()

    def leave(self, now: float) -> list[MembershipOutput]:
        """Announce that this node leaves; it keeps answering messages until its process ends.

        Leaving can't be undone: only a process with a greater incarnation joins again.
        """
        if self._leaving:
            return []
        self._leaving = True
        self._own_fact = replace(self._own_fact, state=MemberState.LEFT)
        self._table.apply(self._own_fact, now)
        self._queue.add(self._own_fact)
        self._send_gossip(LEAVE_FANOUT)
        self._next_gossip_at = now + self._config.gossip_interval
        return self._drain()

    # Messages

    def _handle_origin(
        self, source: Address, sender: NodeName, message: MembershipMessage, now: float
    ) -> Address | None:
        """Apply the sender's own fact; return its address, or `None` if it was superseded."""
        origin = replace(record_to_fact(message.origin), name=sender)
        address = origin.address or source
        known = self._table.get(sender)
        if known is not None and origin.incarnation < known.incarnation:
            # An earlier process under this name is still running or its datagram was delayed:
            # send it the newer fact.
            gossip = MembershipKind.MEMBERSHIP_KIND_GOSSIP
            self._outputs.append(self._writer.datagram(address, gossip, sender))
            return None
        self._apply(origin, sender, now)
        return address

    def _handle_updates(self, sender: NodeName, message: MembershipMessage, now: float) -> None:
        is_full_state = message.kind == MembershipKind.MEMBERSHIP_KIND_FULL_STATE
        for record in message.updates:
            fact = record_to_fact(record)
            if is_full_state and self._is_disputed_death(fact):
                fact = replace(fact, state=MemberState.SUSPECT)
            self._apply(fact, fact.accuser or sender, now)

    def _answer(
        self, address: Address, sender: NodeName, message: MembershipMessage, now: float
    ) -> list[SendPeerMessage]:
        kind = message.kind
        if kind == MembershipKind.MEMBERSHIP_KIND_PROBE:
            return self._detector.answer_probe(sender, address, message)
        if kind == MembershipKind.MEMBERSHIP_KIND_INDIRECT_PROBE:
            return self._detector.relay_probe(sender, address, message, now)
        if kind == MembershipKind.MEMBERSHIP_KIND_ACKNOWLEDGEMENT:
            return self._detector.handle_acknowledgement(sender, message)
        if kind == MembershipKind.MEMBERSHIP_KIND_NO_ANSWER:
            self._detector.handle_no_answer(message)
        elif kind == MembershipKind.MEMBERSHIP_KIND_DIGEST:
            return self._answer_digest(address, message, now)
        elif kind == MembershipKind.MEMBERSHIP_KIND_FULL_STATE and message.answer_wanted:
            return [self._writer.full_state(address, answer_wanted=False)]
        return []

    def _is_disputed_death(self, fact: MemberFact) -> bool:
        """Return whether a full list reports a member dead that is present here.

        After a partition heals, the other side reports all members of this side as dead. The
        caller treats them as suspects, so that they can refute it. The death of a process that is
        unknown here is applied, so that a joining node does not revive it.
        """
        if fact.state is not MemberState.DEAD:
            return False
        known = self._table.get(fact.name)
        return (
            known is not None
            and known.state in PRESENT_STATES
            and known.incarnation == fact.incarnation
        )

    def _answer_digest(
        self, address: Address, message: MembershipMessage, now: float
    ) -> list[SendPeerMessage]:
        """Send the full list to a member whose digest differs, at a limited rate."""
        if message.digest == self._table.digest or now < self._next_full_state_at:
            return []
        self._next_full_state_at = now + FULL_STATE_INTERVAL_SECONDS
        return [self._writer.full_state(address, answer_wanted=True)]

    # Facts

    def _apply(self, fact: MemberFact, sender: NodeName, now: float) -> None:
        if fact.name == self.identity.name:
            self._handle_own_fact(fact, now)
            return
        change = self._table.apply(fact, now)
        if change is not None:
            self._handle_change(change, fact.accuser or sender, now)
        elif fact.state is MemberState.SUSPECT and fact.accuser is not None:
            self._confirm_suspicion(fact, fact.accuser)

    def _handle_change(self, change: TableChange, accuser: NodeName, now: float) -> None:
        fact, old = change.fact, change.old
        self._queue.add(fact)
        if fact.state is MemberState.SUSPECT:
            self._start_suspicion(fact, accuser, now)
        else:
            self._timers.stop(fact.name)
        old_state = old.state if old is not None else None
        old_incarnation = old.incarnation if old is not None else None
        if old_state is fact.state and old_incarnation == fact.incarnation:
            return
        if old is None and fact.state not in PRESENT_STATES:
            return
        if fact.state is MemberState.ALIVE and old_state is not MemberState.SUSPECT:
            self._detector.schedule.add(fact.name)
        self._outputs.append(MemberChanged(fact.name, old_state, fact.state, fact.incarnation))

    def _handle_own_fact(self, fact: MemberFact, now: float) -> None:
        """Refute a wrong fact about this node, or report that the node was superseded."""
        own = self._own_fact
        verdict = judge_own_fact(own, fact, leaving=self._leaving)
        if verdict is OwnFactVerdict.REFUTE:
            if fact.state is not MemberState.ALIVE:
                self._detector.health.increase_penalty()
            self._own_fact = replace(own, refutation=fact.refutation + 1)
            self._table.apply(self._own_fact, now)
            self._queue.add(self._own_fact)
        elif verdict is not OwnFactVerdict.IGNORE and fact.rank > self._greatest_rank:
            self._greatest_rank = fact.rank
            elsewhere = verdict is OwnFactVerdict.STOP
            self._outputs.append(IdentitySuperseded(fact.incarnation, elsewhere))

    # Suspicion

    def _probe(self, now: float) -> None:
        step = self._detector.tick(now)
        self._outputs.extend(step.messages)
        for target in step.failed:
            suspicion = replace(target, state=MemberState.SUSPECT, accuser=self.identity.name)
            self._apply(suspicion, self.identity.name, now)

    def _start_suspicion(self, fact: MemberFact, accuser: NodeName, now: float) -> None:
        region = self.identity.placement.region
        is_remote = fact.placement is not None and fact.placement.region != region
        terms = suspicion_terms(len(self._table.present()), is_remote, self._config)
        self._timers.start(fact.name, accuser, terms, now)

    def _confirm_suspicion(self, fact: MemberFact, accuser: NodeName) -> None:
        known = self._table.get(fact.name)
        if known is None or known.rank != fact.rank:
            return
        if self._timers.confirm(fact.name, accuser):
            self._queue.add(fact)

    def _probe_suspect(self, name: NodeName) -> None:
        """Probe a suspect again: messages to it carry the suspicion that it has to refute."""
        fact = self._table.get(name)
        if fact is not None and fact.address is not None:
            self._outputs.append(self._detector.probe_again(fact, fact.address))

    def _declare_dead(self, name: NodeName, now: float) -> None:
        self._timers.stop(name)
        known = self._table.get(name)
        if known is None or known.state is not MemberState.SUSPECT:
            return
        dead = replace(known, state=MemberState.DEAD, accuser=self.identity.name)
        self._apply(dead, self.identity.name, now)

    def _detect_pause(self, now: float) -> None:
        """After a gap between ticks, drop running probes and postpone suspicions.

        Otherwise a process that was paused would find them all expired and declare healthy
        members dead.
        """
        if self._last_tick_at is None:
            self._detector.schedule_first_probe(now)
            jitter = self._generator.random()
            self._next_exchange_at = now + jitter * self._config.exchange_interval
            self._last_tick_at = now
            return
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > self._config.pause_threshold:
            self._detector.drop_pending(now)
            self._detector.health.increase_penalty()
            self._timers.postpone(gap)

    # Dissemination

    def _check_digest_mismatch(self, message: MembershipMessage, now: float) -> None:
        """Schedule a comparison of lists if no received digest has matched for a while.

        Digests differ for a second or two while updates spread. A lasting mismatch means that the
        last copy of an update was lost, or that it was sent while few members were known.
        """
        if message.digest == self._table.digest:
            self._digest_mismatch_since = None
        elif self._digest_mismatch_since is None:
            self._digest_mismatch_since = now
        elif now - self._digest_mismatch_since >= DIGEST_MISMATCH_TOLERANCE_SECONDS:
            self._digest_mismatch_since = None
            self._next_exchange_at = now

    def _gossip(self, now: float) -> None:
        self._next_gossip_at = now + self._config.gossip_interval
        self._send_gossip(self._config.gossip_fanout)

    def _send_gossip(self, fanout: int) -> None:
        for member in self._random_members(fanout):
            gossip = MembershipKind.MEMBERSHIP_KIND_GOSSIP
            self._outputs.append(self._writer.datagram(member.address, gossip, member.name))

    def _compare_with_random_member(self, now: float) -> None:
        self._next_exchange_at = now + self._config.exchange_interval
        for member in self._random_members(1):
            digest = MembershipKind.MEMBERSHIP_KIND_DIGEST
            self._outputs.append(self._writer.datagram(member.address, digest, member.name))

    def _try_contacts(self, now: float) -> None:
        """Join through the machine list, or contact a listed or dead node that may be running."""
        if len(self._table.present()) <= 1 and not self._leaving:
            self._next_contact_at = now + self._config.probe_interval
            for address in self._contacts.choose(JOIN_FANOUT):
                self._outputs.append(self._writer.full_state(address, answer_wanted=True))
            return
        jitter = 0.5 + self._generator.random()
        self._next_contact_at = now + self._config.contact_interval * jitter
        for address in self._contacts.choose(1):
            digest = MembershipKind.MEMBERSHIP_KIND_DIGEST
            self._outputs.append(self._writer.datagram(address, digest))

    def _random_members(self, count: int) -> list[Member]:
        others = [
            member for name, member in self._table.present().items() if name != self.identity.name
        ]
        return self._generator.sample(others, min(count, len(others)))

    def _drain(self) -> list[MembershipOutput]:
        outputs = self._outputs
        self._outputs = []
        return outputs
