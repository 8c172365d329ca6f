"""Probes members, directly and through others, and reports which did not answer.

This is the failure detector of SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard:
a node with signs that it is slow or isolated itself lengthens its timeouts. The parameters are
fields of `MembershipConfig`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.core.identity import AddressedIdentity
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.membership.config import MembershipConfig
from stagewalk.node.membership.member_table import MemberFact, MemberTable
from stagewalk.node.membership.members import Member, MemberState
from stagewalk.node.membership.messages import MessageWriter
from stagewalk.node.membership.probing import PendingProbe, ProbeSchedule, RelayedProbe
from stagewalk.node.wire.membership_pb2 import MembershipKind, MembershipMessage


class LocalHealth:
    """Health penalty of this node: 0 when healthy, larger when it seems slow or isolated."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.penalty = 0

    @property
    def factor(self) -> int:
        """Return the factor on timeouts and intervals."""
        return self.penalty + 1

    def increase_penalty(self) -> None:
        """Count a sign that this node itself is slow or isolated."""
        self.penalty = min(self._maximum, self.penalty + 1)

    def decrease_penalty(self) -> None:
        """Count a probe that was answered in time."""
        self.penalty = max(0, self.penalty - 1)


@dataclass(slots=True)
class ProbeStep:
    """Result of one tick: messages to send and members that failed a probe."""

    messages: list[SendPeerMessage] = field(default_factory=list)
    failed: list[MemberFact] = field(default_factory=list)


class FailureDetector:
    """Runs the probes of one node: its own and those relayed for others."""

    def __init__(
        self,
        identity: AddressedIdentity,
        config: MembershipConfig,
        table: MemberTable,
        writer: MessageWriter,
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._config = config
        self._table = table
        self._writer = writer
        self._generator = generator
        self.health = LocalHealth(config.maximum_health_penalty)
        self.schedule = ProbeSchedule(generator)
        self._pending: dict[int, PendingProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}
        self._last_exchange_id = generator.getrandbits(32)
        self._next_probe_at = 0.0

    def schedule_first_probe(self, now: float) -> None:
        """Schedule the first probe at random within the interval, so that nodes are not in step."""
        self._next_probe_at = now + self._generator.random() * self._config.probe_interval

    def drop_pending(self, now: float) -> None:
        """Drop the probes that were under way while this process was paused."""
        self._pending.clear()
        self._relayed.clear()
        self._next_probe_at = now

    def tick(self, now: float) -> ProbeStep:
        """Advance running probes and send the next one when it is due."""
        step = ProbeStep()
        if self._pending:
            self._advance_pending(now, step)
        if self._relayed:
            self._expire_relayed(now, step)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._config.probe_interval * self.health.factor
            self._start_probe(now, step)
        return step

    def probe_again(self, target: MemberFact, address: Address) -> SendPeerMessage:
        """Return a probe that is not tracked; its answer may carry the member's refutation."""
        return self._probe(target, address, self._new_exchange_id())

    def answer_probe(
        self, sender: NodeName, address: Address, message: MembershipMessage
    ) -> list[SendPeerMessage]:
        """Acknowledge a probe of this node, but not of another node that had its address."""
        if message.target.name != self._identity.name:
            return []
        acknowledgement = MembershipKind.MEMBERSHIP_KIND_ACKNOWLEDGEMENT
        return [self._writer.datagram(address, acknowledgement, sender, message.exchange_id)]

    def relay_probe(
        self, sender: NodeName, address: Address, message: MembershipMessage, now: float
    ) -> list[SendPeerMessage]:
        """Probe a member on behalf of the sender."""
        target = self._table.get(NodeName(message.target.name))
        if target is None or target.address is None:
            return []
        exchange_id = self._new_exchange_id()
        deadline = now + self._timeout(target)
        self._relayed[exchange_id] = RelayedProbe(
            sender, address, message.exchange_id, target, deadline
        )
        return [self._probe(target, target.address, exchange_id)]

    def handle_acknowledgement(
        self, sender: NodeName, message: MembershipMessage
    ) -> list[SendPeerMessage]:
        """Complete an acknowledged probe, or pass the acknowledgement to its requester."""
        if self._pending.pop(message.exchange_id, None) is not None:
            self.health.decrease_penalty()
            return []
        relayed = self._relayed.pop(message.exchange_id, None)
        if relayed is None or relayed.target.name != sender:
            return []
        return [
            self._writer.datagram(
                relayed.requester_address,
                MembershipKind.MEMBERSHIP_KIND_ACKNOWLEDGEMENT,
                relayed.requester,
                relayed.exchange_id,
            )
        ]

    def handle_no_answer(self, message: MembershipMessage) -> None:
        """Count a helper that answered: this node itself is not isolated."""
        pending = self._pending.get(message.exchange_id)
        if pending is not None:
            pending.helper_answers += 1

    def _start_probe(self, now: float, step: ProbeStep) -> None:
        member = self.schedule.next(self._table.present(), self._identity.name)
        if member is None:
            return
        target = self._table.get(member.name)
        assert target is not None
        exchange_id = self._new_exchange_id()
        timeout = self._timeout(target) * self.health.factor
        period = max(self._config.probe_interval * self.health.factor, 3 * timeout)
        self._pending[exchange_id] = PendingProbe(target, now + timeout, now + period)
        step.messages.append(self._probe(target, member.address, exchange_id))

    def _advance_pending(self, now: float, step: ProbeStep) -> None:
        for exchange_id, pending in list(self._pending.items()):
            if now >= pending.final_deadline:
                del self._pending[exchange_id]
                self._fail(pending, step)
            elif now >= pending.direct_deadline and pending.helpers == 0:
                self._ask_helpers(exchange_id, pending, step)

    def _fail(self, pending: PendingProbe, step: ProbeStep) -> None:
        """Report a failed probe; if no helper answered either, raise the health penalty."""
        if pending.helpers > 0 and pending.helper_answers == 0:
            self.health.increase_penalty()
        step.failed.append(pending.target)

    def _ask_helpers(self, exchange_id: int, pending: PendingProbe, step: ProbeStep) -> None:
        helpers = self._choose_helpers(pending.target)
        pending.helpers = max(1, len(helpers))
        for helper in helpers:
            step.messages.append(
                self._writer.datagram(
                    helper.address,
                    MembershipKind.MEMBERSHIP_KIND_INDIRECT_PROBE,
                    helper.name,
                    exchange_id,
                    pending.target,
                )
            )

    def _choose_helpers(self, target: MemberFact) -> list[Member]:
        others = [
            member
            for name, member in self._table.present().items()
            if member.state is MemberState.ALIVE and name not in (self._identity.name, target.name)
        ]
        return self._generator.sample(others, min(self._config.indirect_probes, len(others)))

    def _expire_relayed(self, now: float, step: ProbeStep) -> None:
        for exchange_id, relayed in list(self._relayed.items()):
            if now < relayed.deadline:
                continue
            del self._relayed[exchange_id]
            step.messages.append(
                self._writer.datagram(
                    relayed.requester_address,
                    MembershipKind.MEMBERSHIP_KIND_NO_ANSWER,
                    relayed.requester,
                    relayed.exchange_id,
                )
            )

    def _probe(self, target: MemberFact, address: Address, exchange_id: int) -> SendPeerMessage:
        kind = MembershipKind.MEMBERSHIP_KIND_PROBE
        return self._writer.datagram(address, kind, target.name, exchange_id, target)

    def _timeout(self, target: MemberFact) -> float:
        own = self._identity.placement
        if target.placement is None or target.placement.region != own.region:
            return self._config.remote_timeout
        if target.placement.zone != own.zone:
            return self._config.region_timeout
        return self._config.zone_timeout

    def _new_exchange_id(self) -> int:
        self._last_exchange_id += 1
        return self._last_exchange_id
