"""Write-once registers: of all values proposed for a key, at most one is ever decided.

`ClaimCore` combines a proposer for its node with a replica of the partitions placed on it. The
placement, from the log or from peers, gives the groups, and membership gives the addresses.
`docs/design/0040-claims.md` contains the safety argument.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

from stagewalk.common.identities import Address, Incarnation, NodeName
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.messages import ANSWERS
from stagewalk.node.claims.notifications import ClaimOutput
from stagewalk.node.claims.placement import (
    PLACEMENT_STREAM,
    GroupMember,
    GroupPlacement,
    MemberRecord,
    RecoveryAbandoned,
    encode_record,
)
from stagewalk.node.claims.proposer import ProposerCore
from stagewalk.node.claims.relay import PlacementView
from stagewalk.node.claims.replica import ReplicaCore
from stagewalk.node.claims.transfers import Outgoing
from stagewalk.node.claims.types import Peer
from stagewalk.node.core.identity import AddressedIdentity
from stagewalk.node.core.instructions import (
    MAXIMUM_DATAGRAM_BYTES,
    SendPeerMessage,
    Transport,
)
from stagewalk.node.log_client.notifications import AppendToStream
from stagewalk.node.wire.claims_pb2 import ClaimMessage, ClaimPlacementRequest
from stagewalk.node.wire.envelope_pb2 import Envelope

ABANDONMENT_REPORT_INTERVAL_SECONDS = 30.0
"""Interval at which an abandoned recovery is reported until the log shows it."""

PLACEMENT_REQUEST_INTERVAL_SECONDS = 2.0
"""Interval at which a node that knows no groups requests them from a random peer."""


class ClaimCore:
    """Proposer and replica of one node.

    Parameters
    ----------
    identity
        This process. Its incarnation must exceed those of its earlier starts.
    generator
        Source of random pauses and random peers.
    """

    def __init__(
        self, identity: AddressedIdentity, config: ClaimConfig, generator: random.Random
    ) -> None:
        self._identity = identity
        self._member = GroupMember(identity.name, identity.incarnation)
        self._replica = ReplicaCore(self._member, config)
        self._proposer = ProposerCore(self._member, config, generator)
        self._members: dict[NodeName, Peer] = {}
        self._view = PlacementView()
        self._generator = generator
        self._placement_request_at = float("-inf")
        self._placement_changed = False
        self._local: deque[ClaimMessage] = deque()
        self._outputs: list[ClaimOutput] = []
        self._abandonment_report_at = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether this node votes in every current group that it is a member of."""
        return not self._placement_changed and self._replica.transfers.idle

    @property
    def group_count(self) -> int:
        """Return how many current groups this process is a member of.

        A planned stop should wait, with a short timeout, until this is 0, since the planner
        replaces a leaving replica, and then one more second for the successors to take over.
        It should not wait if the log is down.
        """
        return self._replica.group_count

    @property
    def entry_count(self) -> int:
        """Return how many claims this node holds as a replica."""
        return self._replica.usage.entries

    @property
    def size_bytes(self) -> int:
        """Return the estimated memory of these claims."""
        return self._replica.usage.size_bytes

    def set_placement(self, placement: GroupPlacement) -> None:
        """Set the groups read from the log; they take effect at the next call."""
        self._view.apply_log(placement)
        self._placement_changed = True

    def set_members(self, members: Mapping[NodeName, Peer]) -> None:
        """Replace the addresses and incarnations of the other nodes."""
        self._members = dict(members)

    def propose(
        self, key: str, value: bytes, now: float, renewable: bool = False
    ) -> list[ClaimOutput]:
        """Try to make `value` the value of a key.

        Ends with `ClaimDecided` or `ClaimUndecided`. Proposers must use distinct values;
        otherwise several of them get `won`.

        Parameters
        ----------
        renewable
            Whether the key may be decided again after a majority of its replicas lost their
            state. Otherwise such keys are answered `OUTCOME_UNKNOWN` until the retention has
            passed.
        """
        self._adopt_placement(now)
        self._proposer.propose(key, value, renewable, now)
        return self._finish(now)

    def read(self, key: str, now: float, renewable: bool = False) -> list[ClaimOutput]:
        """Read the decided value of a key.

        Ends with `ClaimDecided`, `ClaimAbsent` or `ClaimUndecided`. `renewable` is as in
        `propose`.
        """
        self._adopt_placement(now)
        self._proposer.read(key, renewable, now)
        return self._finish(now)

    def handle_message(
        self,
        source: Address,
        sender: NodeName,
        sender_incarnation: Incarnation,
        message: ClaimMessage,
        now: float,
    ) -> list[ClaimOutput]:
        """Handle a message of another node, received from address `source`."""
        self._adopt_placement(now)
        self._dispatch(source, GroupMember(sender, sender_incarnation), message, now)
        return self._finish(now)

    def tick(self, now: float) -> list[ClaimOutput]:
        """Handle due resends, retries, timeouts and expirations."""
        self._adopt_placement(now)
        self._proposer.tick(now)
        self._replica.sweep(now)
        for outgoing in self._replica.transfers.tick(now):
            self._send(outgoing)
        self._report_abandonments(now)
        self._request_placement(now)
        return self._finish(now)

    def _adopt_placement(self, now: float) -> None:
        if not self._placement_changed:
            return
        self._placement_changed = False
        self._replica.adopt(self._view.placement, now)
        self._proposer.adopt(self._view.placement, now)

    def _report_abandonments(self, now: float) -> None:
        if now < self._abandonment_report_at:
            return
        groups = self._replica.transfers.unreported_abandonments()
        if not groups:
            return
        self._abandonment_report_at = now + ABANDONMENT_REPORT_INTERVAL_SECONDS
        member = MemberRecord(self._member.name, self._member.incarnation)
        payload = encode_record(RecoveryAbandoned(member=member, groups=groups))
        self._outputs.append(AppendToStream(PLACEMENT_STREAM, payload))

    def _request_placement(self, now: float) -> None:
        """Request the groups from a peer if none are known, since the log may be down."""
        if not self._view.is_empty or now < self._placement_request_at:
            return
        self._placement_request_at = now + PLACEMENT_REQUEST_INTERVAL_SECONDS
        others = sorted(set(self._members) - {self._member.name})
        if others:
            message = ClaimMessage(placement_request=ClaimPlacementRequest())
            self._send(Outgoing(self._generator.choice(others), message))

    # Messages

    def _finish(self, now: float) -> list[ClaimOutput]:
        """Deliver all messages to this node itself and return the other outputs."""
        self._outputs.extend(self._replica.transfers.take_events())
        self._collect_from_proposer()
        while self._local:
            self._dispatch(self._identity.address, self._member, self._local.popleft(), now)
            self._collect_from_proposer()
            self._outputs.extend(self._replica.transfers.take_events())
        outputs = self._outputs
        self._outputs = []
        return outputs

    def _collect_from_proposer(self) -> None:
        for outgoing in self._proposer.take_outgoing():
            self._send(outgoing)
        self._outputs.extend(self._proposer.take_notifications())

    def _dispatch(
        self, source: Address, sender: GroupMember, message: ClaimMessage, now: float
    ) -> None:
        if self._view.apply_peer(message):
            self._placement_changed = True
            self._adopt_placement(now)
        body = message.WhichOneof("body")
        if body in ANSWERS or (body == "decision" and message.exchange_id):
            self._dispatch_answer(sender, message, now)
            return
        if body is None or body == "placement":
            return
        if body == "placement_request":
            placement = ClaimMessage()
            self._view.write_all(placement)
            self._answer(source, sender, placement)
            return
        answer = self._replica.handle_request(sender, message, now)
        if answer is not None:
            self._answer(source, sender, answer)

    def _dispatch_answer(self, sender: GroupMember, message: ClaimMessage, now: float) -> None:
        if message.requester_incarnation != self._member.incarnation:
            return
        if message.exchange_id % 2:
            for outgoing in self._replica.transfers.handle_answer(sender, message, now):
                self._send(outgoing)
        else:
            self._proposer.handle_answer(sender, message, now)

    def _send(self, outgoing: Outgoing) -> None:
        outgoing.message.requester_incarnation = self._member.incarnation
        if outgoing.to == self._member.name:
            self._local.append(outgoing.message)
            return
        peer = self._members.get(outgoing.to)
        if peer is not None:
            self._transmit(peer.address, outgoing.message)

    def _answer(self, source: Address, sender: GroupMember, message: ClaimMessage) -> None:
        if sender == self._member:
            self._local.append(message)
            return
        peer = self._members.get(sender.name)
        known = peer is not None and peer.incarnation == sender.incarnation
        self._transmit(peer.address if peer is not None and known else source, message)

    def _transmit(self, address: Address, message: ClaimMessage) -> None:
        envelope = Envelope(
            sender=self._member.name,
            sender_incarnation=self._member.incarnation,
            claims=message,
        )
        small = envelope.ByteSize() <= MAXIMUM_DATAGRAM_BYTES
        transport = Transport.DATAGRAM if small else Transport.STREAM
        self._outputs.append(SendPeerMessage(address, envelope, transport))
