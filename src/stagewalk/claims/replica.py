"""The replica's side of claims: votes, and how a replica gets the state to vote from."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.claims import messages
from stagewalk.claims.codec import read_entry, read_incarnations, write_entry, write_incarnations
from stagewalk.claims.config import ClaimConfig
from stagewalk.claims.messages import Purpose, Reason
from stagewalk.claims.partition import PartitionReplica
from stagewalk.claims.placement import (
    AbandonedGroup,
    Group,
    GroupMember,
    GroupPlacement,
    MemberRecord,
    PartitionChain,
)
from stagewalk.claims.quorum import Answer
from stagewalk.claims.register import Register, Usage
from stagewalk.claims.transfer import HeldState, Source, StateTransfer
from stagewalk.core.identities import Incarnation, NodeName
from stagewalk.wire.claims_pb2 import ClaimMessage, ClaimState

MAXIMUM_PATIENCE = 8
"""Unanswered requests for state are repeated ever more slowly, up to this many retry delays."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to another replica, by name."""

    to: NodeName
    message: ClaimMessage


class ReplicaCore:
    """All partitions of which this process is, was or becomes a replica.

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
        self._transfers: dict[tuple[int, int], StateTransfer] = {}
        self._transfer_of_exchange: dict[int, tuple[tuple[int, int], NodeName]] = {}
        self._abandoned: dict[tuple[int, int], AbandonedGroup] = {}
        self._left_at: dict[int, float] = {}
        self._order: list[int] = []
        """Partitions in the order of their first appearance, in which they are swept."""
        self._sweep_position = 0
        self._exchange_count = 0

    @property
    def ready(self) -> bool:
        """Whether this replica votes in every group in force that it is a member of."""
        waiting = (*self._transfers, *self._abandoned)
        return not any(
            epoch == self._partitions[partition].chain.epoch for partition, epoch in waiting
        )

    @property
    def transfers(self) -> tuple[tuple[int, int], ...]:
        """Return partition and epoch of each state being waited for."""
        return tuple(sorted(self._transfers))

    # Placement

    def adopt(self, placement: GroupPlacement, now: float) -> None:
        """Take up a new placement: stop voting in old epochs, start or await new ones."""
        for partition, chain in enumerate(placement.partitions):
            known = self._partitions.get(partition)
            if known is not None and known.chain == chain:
                continue
            if known is not None or self._is_member_of_any(chain):
                self._adopt_chain(partition, chain, now)

    def _is_member_of_any(self, chain: PartitionChain) -> bool:
        return any(self.member.name in group.names for group in chain.groups)

    def _adopt_chain(self, partition: int, chain: PartitionChain, now: float) -> None:
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
            self._enter_group(partition, replica, group, now)
        self._drop_obsolete_transfers(partition, replica)

    def _enter_group(
        self, partition: int, replica: PartitionReplica, group: Group, now: float
    ) -> None:
        joined_as = group.incarnation_of(self.member.name)
        if joined_as is None or group.epoch <= replica.held_epoch:
            return
        if joined_as > self.member.incarnation:
            return  # A later start of this node exists: this process must never vote here.
        identity = (partition, group.epoch)
        if identity in self._transfers or identity in self._abandoned:
            return
        if joined_as == self.member.incarnation and group.forgets:
            # A vote or promise alone says nothing any more: a larger one may have been lost.
            replica.register.keep_decided()
            replica.lost_until = max(replica.lost_until, now + self._quarantine(group))
            replica.begin_epoch(group, {})
        elif joined_as == self.member.incarnation and group.epoch == 1:
            replica.begin_epoch(group, {})
        else:
            previous = replica.chain.group_at(group.epoch - 1)
            transfer = StateTransfer.begin(partition, group, previous, self.member, now)
            self._transfers[identity] = transfer

    def _quarantine(self, group: Group) -> float:
        seconds = self._config.entry_retention_seconds
        return seconds if group.certified else 2 * seconds

    def _drop_obsolete_transfers(self, partition: int, replica: PartitionReplica) -> None:
        current = replica.chain.epoch
        for identity in [key for key in self._transfers if key[0] == partition]:
            if identity[1] <= replica.held_epoch:
                self._remove_transfer(identity)
        for identity in [key for key in self._abandoned if key[0] == partition]:
            if identity[1] < current:
                del self._abandoned[identity]

    def _remove_transfer(self, identity: tuple[int, int]) -> StateTransfer:
        transfer = self._transfers.pop(identity)
        for source in transfer.sources.values():
            self._transfer_of_exchange.pop(source.exchange_id, None)
        return transfer

    # Requests of others

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
                replica.learn(message.decision, now)
            return None
        if replica is None:
            answer = messages.reject(Reason.EPOCH)
            return self._answered(message, answer, 0, {})
        if body == "state_request":
            answer = self._hand_over(replica, sender, message, now)
        else:
            answer = self._vote(replica, message, now)
        return self._answered(message, answer, replica.known_epoch, replica.heard)

    @staticmethod
    def _vote(replica: PartitionReplica, message: ClaimMessage, now: float) -> ClaimMessage:
        refusal = replica.refuse_epoch(message.epoch)
        if refusal is not None:
            return refusal
        if message.WhichOneof("body") == "prepare":
            return replica.prepare(message.prepare, now)
        return replica.accept(message.accept, now)

    @staticmethod
    def _answered(
        request: ClaimMessage,
        answer: ClaimMessage,
        known_epoch: int,
        heard: dict[NodeName, Incarnation],
    ) -> ClaimMessage:
        answer.exchange_id = request.exchange_id
        answer.requester_incarnation = request.requester_incarnation
        answer.partition = request.partition
        answer.epoch = known_epoch
        write_incarnations(answer, heard)
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
            overtaken = replica.known_epoch > epoch and replica.held_epoch != epoch
            return messages.reject(Reason.EPOCH if overtaken else Reason.RECOVERING)
        if request.purpose == Purpose.RECOVERY:
            # Noted before any of the state is read: from here on, answers of the sender's
            # earlier start can't be counted together with answers of this replica.
            known = replica.heard.get(sender.name, sender.incarnation)
            replica.heard[sender.name] = max(known, sender.incarnation)
        return self._piece(replica, epoch, request.after_key, now)

    def _piece(
        self, replica: PartitionReplica, epoch: int, after_key: str, now: float
    ) -> ClaimMessage:
        state = ClaimState(
            sealed=replica.known_epoch > epoch,
            lost_seconds=max(0.0, replica.lost_until - now),
            held_epoch=replica.held_epoch,
            last=True,
        )
        size = 0
        for key in sorted(key for key in replica.register.entries if key > after_key):
            if size >= self._config.transfer_piece_bytes:
                state.last = False
                break
            entry = write_entry(key, replica.register.entries[key], now)
            size += entry.ByteSize()
            state.entries.append(entry)
        return ClaimMessage(state=state)

    # This replica's own transfers

    def tick(self, now: float) -> list[Outgoing]:
        """Ask again for missing state, forget what has expired."""
        self._sweep(now)
        outgoing: list[Outgoing] = []
        for identity in sorted(self._transfers):
            transfer = self._transfers[identity]
            if self._finish_if_complete(transfer, now) or self._give_up(transfer, now):
                continue
            for name, source in sorted(transfer.sources.items()):
                if now >= source.next_request_at and name not in transfer.answers:
                    outgoing.append(self._request_piece(transfer, name, source, now))
        return outgoing

    def _request_piece(
        self, transfer: StateTransfer, name: NodeName, source: Source, now: float
    ) -> Outgoing:
        self._transfer_of_exchange.pop(source.exchange_id, None)
        self._exchange_count += 1
        # Odd, so that exchanges of transfers and of proposals never share an id.
        source.exchange_id = 2 * self._exchange_count + 1
        source.next_request_at = now + self._config.transfer_retry_seconds * source.patience
        source.patience = min(2 * source.patience, MAXIMUM_PATIENCE)
        identity = (transfer.partition, transfer.group.epoch)
        self._transfer_of_exchange[source.exchange_id] = (identity, name)
        message = messages.state_request(transfer.purpose, source.after_key)
        message.exchange_id = source.exchange_id
        message.partition = transfer.partition
        message.epoch = transfer.group.epoch
        return Outgoing(name, message)

    def handle_answer(
        self, sender: GroupMember, message: ClaimMessage, now: float
    ) -> list[Outgoing]:
        """Take a piece of state, or the refusal of one."""
        identity, name = self._transfer_of_exchange.get(message.exchange_id, (None, sender.name))
        transfer = self._transfers.get(identity) if identity is not None else None
        if transfer is None or name != sender.name:
            return []
        source = transfer.sources[name]
        if message.WhichOneof("body") == "reject":
            recovering = message.reject.reason == Reason.RECOVERING
            source.recovering = sender.incarnation if recovering else None
            source.restart()
            return []
        source.recovering = None
        source.patience = 1
        if source.incarnation is not None and source.incarnation != sender.incarnation:
            source.restart()
            return [self._request_piece(transfer, name, source, now)]
        source.incarnation = sender.incarnation
        return self._take_piece(transfer, source, sender, message, now)

    def _take_piece(
        self,
        transfer: StateTransfer,
        source: Source,
        sender: GroupMember,
        message: ClaimMessage,
        now: float,
    ) -> list[Outgoing]:
        replica = self._partitions[transfer.partition]
        state = message.state
        for item in state.entries:
            replica.register.merge(item.key, read_entry(item, now))
            source.after_key = item.key
        if not state.last:
            return [self._request_piece(transfer, sender.name, source, now)]
        held = HeldState(state.held_epoch, state.sealed, state.lost_seconds)
        answer = Answer(sender.incarnation, read_incarnations(message), held)
        transfer.note_state(sender.name, answer)
        self._finish_if_complete(transfer, now)
        return []

    def _finish_if_complete(self, transfer: StateTransfer, now: float) -> bool:
        replica = self._partitions[transfer.partition]
        if not transfer.finished(self.member, self._own_answer(replica)):
            return False
        replica.lost_until = max(replica.lost_until, now + transfer.lost_seconds)
        heard = transfer.heard()
        if transfer.purpose == Purpose.RECOVERY:
            heard[self.member.name] = self.member.incarnation
        replica.begin_epoch(transfer.group, heard, transfer.sealed)
        self._drop_obsolete_transfers(transfer.partition, replica)
        return True

    def _own_answer(self, replica: PartitionReplica) -> Answer[HeldState] | None:
        if not replica.complete:
            return None
        held = HeldState(replica.held_epoch, False, 0.0)
        return Answer(self.member.incarnation, replica.heard, held)

    def _give_up(self, transfer: StateTransfer, now: float) -> bool:
        identity = (transfer.partition, transfer.group.epoch)
        if transfer.group.epoch != self._partitions[transfer.partition].chain.epoch:
            # Kept for a while: a later group may need this epoch's state from here.
            if now < transfer.began_at + self._config.handover_seconds:
                return False
            self._remove_transfer(identity)
            return True
        if not self._is_stuck(transfer, now):
            return False
        self._remove_transfer(identity)
        self._abandoned[identity] = AbandonedGroup(
            partition=transfer.partition,
            epoch=transfer.group.epoch,
            recovering=tuple(
                MemberRecord(member.name, member.incarnation)
                for member in transfer.recovering_members()
            ),
        )
        return True

    def _is_stuck(self, transfer: StateTransfer, now: float) -> bool:
        if not transfer.is_hopeless():
            transfer.stuck_since = None
            return False
        if transfer.stuck_since is None:
            transfer.stuck_since = now
        patience = self._config.abandon_seconds
        if transfer.purpose == Purpose.TAKEOVER:
            patience = self._config.takeover_abandon_seconds
        return now >= transfer.stuck_since + patience

    def unreported_abandonments(self) -> tuple[AbandonedGroup, ...]:
        """Return the groups given up that the log does not show yet."""
        return tuple(
            item
            for (partition, _), item in sorted(self._abandoned.items())
            if not any(
                known.member == self.member
                for known in self._partitions[partition].chain.abandonments
            )
        )

    def _sweep(self, now: float) -> None:
        """Expire one partition's entries a call: the whole takes some seconds."""
        if not self._order:
            return
        partition = self._order[self._sweep_position % len(self._order)]
        self._sweep_position += 1
        replica = self._partitions[partition]
        replica.register.expire(now)
        left_at = self._left_at.get(partition)
        if left_at is not None and now >= left_at + self._config.handover_seconds:
            replica.register.clear()
            replica.complete = False
