"""All transfers of partition state to this replica: requests, completion and abandonment.

Owns the exchanges of running transfers. The replica starts transfers for the groups it joins, and
a finished transfer completes its partition.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import NodeName
from stagewalk.node.claims import messages
from stagewalk.node.claims.codec import read_entry, read_incarnations
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.messages import Purpose, Reason
from stagewalk.node.claims.partition import PartitionReplica
from stagewalk.node.claims.placement import AbandonedGroup, GroupMember, MemberRecord, ReplicaGroup
from stagewalk.node.claims.quorum import ReplicaAnswer
from stagewalk.node.claims.relay import write_chain
from stagewalk.node.claims.transfer import HeldState, Source, StateTransfer
from stagewalk.node.core.instructions import LogLineFields, WriteLogLine
from stagewalk.node.wire.claims_pb2 import ClaimMessage

MAXIMUM_RETRY_FACTOR = 8
"""Maximum delay between retries of a state request, in units of
`ClaimConfig.transfer_retry_seconds`; the delay doubles with each retry."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to another replica, by name."""

    to: NodeName
    message: ClaimMessage


class TransferCore:
    """Obtains the state of partitions that this process needs in order to vote.

    Parameters
    ----------
    member
        This process.
    partitions
        The partitions of the replica, shared with it and updated by finished transfers.
    """

    def __init__(
        self, member: GroupMember, config: ClaimConfig, partitions: dict[int, PartitionReplica]
    ) -> None:
        self._member = member
        self._config = config
        self._partitions = partitions
        self._transfers: dict[tuple[int, int], StateTransfer] = {}
        self._transfer_of_exchange: dict[int, tuple[tuple[int, int], NodeName]] = {}
        self._abandoned: dict[tuple[int, int], AbandonedGroup] = {}
        self._exchange_count = 0
        self._events: list[WriteLogLine] = []

    @property
    def idle(self) -> bool:
        """Whether no transfer for a current group is running or abandoned."""
        waiting = (*self._transfers, *self._abandoned)
        return not any(
            epoch == self._partitions[partition].chain.epoch for partition, epoch in waiting
        )

    def take_events(self) -> list[WriteLogLine]:
        """Return the log lines added since the last call."""
        events = self._events
        self._events = []
        return events

    def begin(self, partition: int, group: ReplicaGroup, now: float) -> None:
        """Start a transfer for a group, unless it is running or was abandoned."""
        identity = (partition, group.epoch)
        if identity in self._transfers or identity in self._abandoned:
            return
        previous = self._partitions[partition].chain.group_at(group.epoch - 1)
        transfer = StateTransfer.begin(partition, group, previous, self._member, now)
        replica = self._partitions[partition]
        transfer.schedule_first_requests(
            needed=self._sources_needed(transfer, replica),
            now=now,
            delay=self._config.transfer_retry_seconds,
            superseded=group.epoch < replica.chain.epoch,
        )
        self._transfers[identity] = transfer
        self.log("claims_state_wanted", partition, group, purpose=transfer.purpose_name)

    def _sources_needed(self, transfer: StateTransfer, replica: PartitionReplica) -> int:
        if transfer.purpose == Purpose.RECOVERY or transfer.previous is None:
            return transfer.group.recovery
        own = replica.complete and replica.held_epoch == transfer.previous.epoch
        return transfer.previous.recovery - own

    def drop_obsolete(self, partition: int) -> None:
        """Drop transfers no longer needed, and abandonments of earlier epochs."""
        replica = self._partitions[partition]
        for identity in [key for key in self._transfers if key[0] == partition]:
            if identity[1] <= replica.held_epoch:
                self._remove(identity)
        for identity in [key for key in self._abandoned if key[0] == partition]:
            if identity[1] < replica.chain.epoch:
                del self._abandoned[identity]

    def log(
        self, name: str, partition: int, group: ReplicaGroup, **fields: str | int | float
    ) -> None:
        """Write a log line about a group."""
        place: LogLineFields = {
            "partition": partition,
            "epoch": group.epoch,
            "members": ",".join(group.names),
        }
        self._events.append(WriteLogLine(name, {**place, **fields}))

    def _remove(self, identity: tuple[int, int]) -> None:
        transfer = self._transfers.pop(identity)
        for source in transfer.sources.values():
            self._transfer_of_exchange.pop(source.exchange_id, None)

    def tick(self, now: float) -> list[Outgoing]:
        """Return the state requests due; abandon transfers that can't complete."""
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
        # Odd; the exchange ids of proposals are even.
        source.exchange_id = 2 * self._exchange_count + 1
        source.next_request_at = now + self._config.transfer_retry_seconds * source.retry_factor
        source.retry_factor = min(2 * source.retry_factor, MAXIMUM_RETRY_FACTOR)
        identity = (transfer.partition, transfer.group.epoch)
        self._transfer_of_exchange[source.exchange_id] = (identity, name)
        replica = self._partitions[transfer.partition]
        held_keys = replica.register.decided_key_hashes(source.after_key)
        message = messages.state_request(transfer.purpose, source.after_key, held_keys)
        message.exchange_id = source.exchange_id
        message.partition = transfer.partition
        message.epoch = transfer.group.epoch
        write_chain(message, transfer.partition, replica.chain, transfer.group.epoch - 1)
        return Outgoing(name, message)

    def handle_answer(
        self, sender: GroupMember, message: ClaimMessage, now: float
    ) -> list[Outgoing]:
        """Handle a piece of state, or a rejection."""
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
        source.retry_factor = 1
        if source.incarnation is not None and source.incarnation != sender.incarnation:
            source.restart()
            return [self._request_piece(transfer, name, source, now)]
        source.incarnation = sender.incarnation
        return self._handle_piece(transfer, source, sender, message, now)

    def _handle_piece(
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
        answer = ReplicaAnswer(sender.incarnation, read_incarnations(message), held)
        transfer.record_state(sender.name, answer)
        self._finish_if_complete(transfer, now)
        return []

    def _finish_if_complete(self, transfer: StateTransfer, now: float) -> bool:
        replica = self._partitions[transfer.partition]
        if not transfer.finished(self._member, self._own_answer(replica)):
            return False
        replica.lost_until = max(replica.lost_until, now + transfer.lost_seconds)
        incarnations = transfer.incarnations()
        if transfer.purpose == Purpose.RECOVERY:
            incarnations[self._member.name] = self._member.incarnation
        replica.begin_epoch(transfer.group, incarnations, transfer.sealed)
        self.log(
            "claims_state_held",
            transfer.partition,
            transfer.group,
            purpose=transfer.purpose_name,
            seconds=round(now - transfer.started_at, 3),
            entries=len(replica.register.entries),
        )
        self.drop_obsolete(transfer.partition)
        return True

    def _own_answer(self, replica: PartitionReplica) -> ReplicaAnswer[HeldState] | None:
        if not replica.complete:
            return None
        held = HeldState(replica.held_epoch, False, 0.0)
        return ReplicaAnswer(self._member.incarnation, replica.incarnations, held)

    def _give_up(self, transfer: StateTransfer, now: float) -> bool:
        identity = (transfer.partition, transfer.group.epoch)
        if transfer.group.epoch != self._partitions[transfer.partition].chain.epoch:
            # Kept until the hand-over time is up: a later group may need this epoch's state.
            if now < transfer.started_at + self._config.handover_seconds:
                return False
            self._remove(identity)
            return True
        if not self._is_stuck(transfer, now):
            return False
        self._remove(identity)
        self._abandoned[identity] = AbandonedGroup(
            partition=transfer.partition,
            epoch=transfer.group.epoch,
            recovering=tuple(
                MemberRecord(member.name, member.incarnation)
                for member in transfer.recovering_members()
            ),
        )
        self.log("claims_abandoned", transfer.partition, transfer.group, level="warning")
        return True

    def _is_stuck(self, transfer: StateTransfer, now: float) -> bool:
        if not transfer.cannot_complete():
            transfer.stuck_since = None
            return False
        if transfer.stuck_since is None:
            transfer.stuck_since = now
        limit = self._config.abandon_seconds
        if transfer.purpose == Purpose.TAKEOVER:
            limit = self._config.takeover_abandon_seconds
        return now >= transfer.stuck_since + limit

    def unreported_abandonments(self) -> tuple[AbandonedGroup, ...]:
        """Return the abandoned groups that are not in the log yet."""
        return tuple(
            item
            for (partition, _), item in sorted(self._abandoned.items())
            if not any(
                known.member == self._member
                for known in self._partitions[partition].chain.abandonments
            )
        )
