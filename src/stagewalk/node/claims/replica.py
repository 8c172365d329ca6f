"""The replica's side of claims: joining groups, voting and handing over state.

Owns this process's partitions. The placement gives its groups, and transfers provide the state of
those it joins.
"""

from __future__ import annotations

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims import messages
from stagewalk.node.claims.codec import write_entry, write_incarnations
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.messages import Purpose, Reason
from stagewalk.node.claims.partition import PartitionReplica
from stagewalk.node.claims.placement import (
    GroupHistory,
    GroupMember,
    GroupPlacement,
    ReplicaGroup,
)
from stagewalk.node.claims.register import Register, Usage, key_hash
from stagewalk.node.claims.relay import write_chain
from stagewalk.node.claims.transfers import TransferCore
from stagewalk.node.wire.claims_pb2 import ClaimMessage, ClaimState, ClaimStateRequest

SWEEP_INTERVAL_SECONDS = 1.0
"""Interval between sweeps for expired entries, of one partition each."""


class ReplicaCore:
    """All partitions of which this process is or was a replica, or is becoming one.

    Parameters
    ----------
    member
        This process.
    """

    def __init__(self, member: GroupMember, config: ClaimConfig) -> None:
        self.member = member
        self.usage = Usage()
        self._config = config
        self._partitions: dict[int, PartitionReplica] = {}
        self.transfers = TransferCore(member, config, self._partitions)
        """Transfers of the state this replica lacks."""
        self._left_at: dict[int, float] = {}
        self._order: list[int] = []
        """Partitions in sweep order."""
        self._sweep_position = 0
        self._sweep_at = float("-inf")

    @property
    def group_count(self) -> int:
        """Return how many current groups this process is a member of."""
        return len(self._partitions) - len(self._left_at)

    # Placement

    def adopt(self, placement: GroupPlacement, now: float) -> None:
        """Apply a placement: stop voting in old epochs, and join new ones."""
        for partition, chain in enumerate(placement.partitions):
            known = self._partitions.get(partition)
            if known is not None and known.chain == chain:
                continue
            if known is not None or self._is_member_of_any(chain):
                self._adopt_chain(partition, chain, now)

    def _is_member_of_any(self, chain: GroupHistory) -> bool:
        return any(self.member.name in group.names for group in chain.groups)

    def _adopt_chain(self, partition: int, chain: GroupHistory, now: float) -> None:
        replica = self._partitions.get(partition)
        if replica is None:
            replica = PartitionReplica(self._config, Register(self.usage), self.usage)
            self._partitions[partition] = replica
            self._order.append(partition)
        replica.chain = chain
        replica.seal_below(chain.epoch)
        current = chain.current
        if current is not None and self.member.name in current.names:
            self._left_at.pop(partition, None)
        else:
            self._left_at.setdefault(partition, now)
        for group in chain.groups:
            self._join_group(partition, replica, group, now)
        self.transfers.drop_obsolete(partition)

    def _join_group(
        self, partition: int, replica: PartitionReplica, group: ReplicaGroup, now: float
    ) -> None:
        joined_as = group.incarnation_of(self.member.name)
        if joined_as is None or group.epoch <= replica.held_epoch:
            return
        if joined_as > self.member.incarnation:
            return  # The group names a later incarnation, so this process must never vote here.
        if joined_as == self.member.incarnation and group.forgets:
            # Undecided votes and promises are useless now: larger ones may have been lost.
            replica.register.keep_decided()
            replica.lost_until = max(
                replica.lost_until, now + self._unknown_key_refusal_seconds(group)
            )
            replica.begin_epoch(group, {})
            self.transfers.log("claims_forgotten", partition, group, level="warning")
        elif joined_as == self.member.incarnation and group.epoch == 1:
            replica.begin_epoch(group, {})
        else:
            self.transfers.begin(partition, group, now)

    def _unknown_key_refusal_seconds(self, group: ReplicaGroup) -> float:
        seconds = self._config.entry_retention_seconds
        return seconds if group.certified else 2 * seconds

    # Requests

    def handle_request(
        self,
        sender: GroupMember,
        message: ClaimMessage,
        now: float,
    ) -> ClaimMessage | None:
        """Return the answer to a request, or None if it needs none."""
        replica = self._partitions.get(message.partition)
        body = message.WhichOneof("body")
        if body == "decision":
            if replica is not None:
                replica.record_decision(message.decision, now)
            return None
        if replica is None:
            answer = messages.reject(Reason.EPOCH)
            return self._complete_answer(message, answer, 0, {})
        if body == "state_request":
            answer = self._hand_over(replica, sender, message, now)
        else:
            answer = self._vote(replica, message, now)
        if answer.HasField("reject") and replica.chain.epoch > message.epoch:
            write_chain(answer, message.partition, replica.chain, message.epoch + 1)
        return self._complete_answer(message, answer, replica.known_epoch, replica.incarnations)

    @staticmethod
    def _vote(replica: PartitionReplica, message: ClaimMessage, now: float) -> ClaimMessage:
        refusal = replica.refuse_epoch(message.epoch)
        if refusal is not None:
            return refusal
        if message.WhichOneof("body") == "prepare":
            return replica.prepare(message.prepare, now)
        return replica.accept(message.accept, now)

    @staticmethod
    def _complete_answer(
        request: ClaimMessage,
        answer: ClaimMessage,
        known_epoch: int,
        incarnations: dict[NodeName, Incarnation],
    ) -> ClaimMessage:
        answer.exchange_id = request.exchange_id
        answer.requester_incarnation = request.requester_incarnation
        answer.partition = request.partition
        answer.epoch = known_epoch
        write_incarnations(answer, incarnations)
        return answer

    def _hand_over(
        self,
        replica: PartitionReplica,
        sender: GroupMember,
        message: ClaimMessage,
        now: float,
    ) -> ClaimMessage:
        request = message.state_request
        epoch = message.epoch
        if request.purpose == Purpose.TAKEOVER:
            replica.seal_below(epoch)
            allowed = replica.complete and replica.held_epoch >= epoch - 1
        else:
            allowed = replica.complete and replica.held_epoch == epoch
        if not allowed:
            superseded = replica.known_epoch > epoch and replica.held_epoch != epoch
            return messages.reject(Reason.EPOCH if superseded else Reason.RECOVERING)
        if request.purpose == Purpose.RECOVERY:
            # Recorded before any state is sent: from now on, answers of the sender's earlier
            # incarnation can't form a quorum with answers of this replica.
            known = replica.incarnations.get(sender.name, sender.incarnation)
            replica.incarnations[sender.name] = max(known, sender.incarnation)
        return self._state_piece(replica, epoch, request, now)

    def _state_piece(
        self, replica: PartitionReplica, epoch: int, request: ClaimStateRequest, now: float
    ) -> ClaimMessage:
        state = ClaimState(
            sealed=replica.known_epoch > epoch,
            lost_seconds=max(0.0, replica.lost_until - now),
            held_epoch=replica.held_epoch,
            last=True,
        )
        size = 0
        held = frozenset(request.held_keys)
        for key in sorted(key for key in replica.register.entries if key > request.after_key):
            if held and replica.register.entries[key].decided and key_hash(key) in held:
                continue
            if size >= self._config.transfer_piece_bytes:
                state.last = False
                break
            entry = write_entry(key, replica.register.entries[key], now)
            size += entry.ByteSize()
            state.entries.append(entry)
        return ClaimMessage(state=state)

    def sweep(self, now: float) -> None:
        """Expire one partition's entries if due; votes check the expiry of their key anyway."""
        if now < self._sweep_at or not self._order:
            return
        self._sweep_at = now + SWEEP_INTERVAL_SECONDS
        partition = self._order[self._sweep_position % len(self._order)]
        self._sweep_position += 1
        replica = self._partitions[partition]
        replica.register.expire(now)
        left_at = self._left_at.get(partition)
        if left_at is not None and now >= left_at + self._config.handover_seconds:
            replica.register.clear()
            replica.complete = False
