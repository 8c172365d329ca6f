"""Placement of claims on nodes: a deterministic fold over the log stream `placement`.

Keys hash onto a fixed number of partitions. Each partition has a sequence of groups, numbered by
epochs. Every change names the epoch it is based on, so every node rejects the later of two
concurrent changes. A group names its members with their incarnations: only that incarnation may
take over from the previous group; a later start of the same node must first recover from the other
members.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
import xxhash

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.core.platform import LogRecord

PLACEMENT_STREAM = "placement"
"""Log stream with the changes of replica groups."""

DEFAULT_PARTITION_COUNT = 64
"""Part of the log's format: all nodes must agree on it."""

REPLICATION_FACTOR = 3
"""Replicas of a partition: the minimum that tolerates the loss of one."""

GROUP_HISTORY_LENGTH = 8
"""Groups kept per partition; a replica that is further behind can't take over."""


def partition_of(key: str, partition_count: int) -> int:
    """Return the partition that holds a key."""
    return xxhash.xxh64_intdigest(key.encode()) % partition_count


def quorum_size(group_size: int) -> int:
    """Return the size of a majority: any two quorums of a group share a member."""
    return group_size // 2 + 1


def recovery_size(group_size: int) -> int:
    """Return how many replicas' states together include every quorum's votes."""
    return group_size - quorum_size(group_size) + 1


@dataclass(frozen=True, slots=True)
class GroupMember:
    """A replica of a group, with its incarnation when the group was formed."""

    name: NodeName
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ReplicaGroup:
    """The replicas of a partition during one epoch.

    Attributes
    ----------
    forgets
        The previous group's state was lost. This group starts empty and rejects unknown keys
        until none of them can have been decided before the loss.
    certified
        Only for a group that forgets: the previous group is proven unable to vote again.
    """

    epoch: int
    members: tuple[GroupMember, ...]
    forgets: bool = False
    certified: bool = False

    @property
    def names(self) -> tuple[NodeName, ...]:
        """Return the members' names in record order."""
        return tuple(member.name for member in self.members)

    @property
    def quorum(self) -> int:
        """Return how many votes decide a value."""
        return quorum_size(len(self.members))

    @property
    def recovery(self) -> int:
        """Return how many members' states are needed to recover or take over."""
        return recovery_size(len(self.members))

    def incarnation_of(self, name: NodeName) -> Incarnation | None:
        """Return the incarnation a member joined with; None for a node that is no member."""
        for member in self.members:
            if member.name == name:
                return member.incarnation
        return None


@dataclass(frozen=True, slots=True)
class Abandonment:
    """A restarted member's commitment never to vote in an epoch.

    `recovering` are the other members it found recovering as well.
    """

    member: GroupMember
    recovering: tuple[GroupMember, ...]


@dataclass(frozen=True, slots=True)
class GroupHistory:
    """The last groups of one partition, oldest first; empty before the first.

    `abandonments` has the latest abandonment of each member of the current group, if any.
    """

    groups: tuple[ReplicaGroup, ...] = ()
    abandonments: tuple[Abandonment, ...] = ()

    @property
    def current(self) -> ReplicaGroup | None:
        """Return the current group."""
        return self.groups[-1] if self.groups else None

    @property
    def epoch(self) -> int:
        """Return the current epoch, 0 before the first."""
        return self.groups[-1].epoch if self.groups else 0

    @property
    def lost(self) -> bool:
        """Whether too many members abandoned recovery for the rest to restore the state.

        A member seen recovering in a later incarnation than the one that abandoned may have
        recovered since; the group is not considered lost then.
        """
        group = self.current
        if group is None:
            return False
        if len(group.members) - len(self.abandonments) >= group.recovery:
            return False
        given_up = {item.member.name: item.member.incarnation for item in self.abandonments}
        return all(
            seen.incarnation <= given_up.get(seen.name, seen.incarnation)
            for item in self.abandonments
            for seen in item.recovering
        )

    def group_at(self, epoch: int) -> ReplicaGroup | None:
        """Return the group of an epoch, if it is still in the history."""
        for group in reversed(self.groups):
            if group.epoch == epoch:
                return group
        return None


@dataclass(frozen=True, slots=True)
class GroupPlacement:
    """All partitions' groups at an offset of the log."""

    partitions: tuple[GroupHistory, ...]

    @classmethod
    def empty(cls, partition_count: int = DEFAULT_PARTITION_COUNT) -> GroupPlacement:
        """Return the placement before the first record."""
        return cls(partitions=(GroupHistory(),) * partition_count)

    def partition_of(self, key: str) -> int:
        """Return the partition that holds a key."""
        return partition_of(key, len(self.partitions))


class MemberRecord(msgspec.Struct, frozen=True):
    """A group member in a record."""

    name: str
    incarnation: int


class GroupChange(msgspec.Struct, frozen=True):
    """A partition's next group, based on the epoch it replaces (0 for none)."""

    partition: int
    base_epoch: int
    members: tuple[MemberRecord, ...]
    forgets: bool = False


class PlacementChange(msgspec.Struct, frozen=True, tag="change"):
    """Record: the holder of the placement lease changes groups; `fence` is its lease's epoch."""

    fence: int
    changes: tuple[GroupChange, ...]


class AbandonedGroup(msgspec.Struct, frozen=True):
    """A group's epoch, and its other members found recovering too."""

    partition: int
    epoch: int
    recovering: tuple[MemberRecord, ...]


class RecoveryAbandoned(msgspec.Struct, frozen=True, tag="abandoned"):
    """Record: a restarted replica abandoned recovery in these groups and will never vote there."""

    member: MemberRecord
    groups: tuple[AbandonedGroup, ...]


PlacementRecord = PlacementChange | RecoveryAbandoned

_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[PlacementRecord] = msgspec.json.Decoder(PlacementRecord)


def encode_record(record: PlacementRecord) -> bytes:
    """Return a record as the payload of the placement stream."""
    return _ENCODER.encode(record)


@dataclass(frozen=True, slots=True)
class PlacementOutcome:
    """Result of applying a record; `rejections` are messages for operators."""

    changed: bool
    rejections: tuple[str, ...] = ()


class PlacementStateMachine:
    """State machine over the records of the placement stream: same prefix, same placement."""

    def __init__(self, partition_count: int = DEFAULT_PARTITION_COUNT) -> None:
        self.placement = GroupPlacement.empty(partition_count)
        self.fence = 0
        """Largest lease epoch seen; changes with a smaller one are rejected."""

    def apply(self, record: LogRecord) -> PlacementOutcome:
        """Apply one record; a malformed or outdated record changes nothing."""
        try:
            parsed = _DECODER.decode(record.payload)
        except msgspec.DecodeError as error:
            return PlacementOutcome(False, (f"malformed record: {error}",))
        if isinstance(parsed, RecoveryAbandoned):
            return self._apply_abandoned(parsed)
        return self._apply_change(parsed)

    def _apply_change(self, record: PlacementChange) -> PlacementOutcome:
        if record.fence < self.fence:
            return PlacementOutcome(
                False, (f"lease epoch {record.fence} is older than {self.fence}",)
            )
        self.fence = record.fence
        chains = list(self.placement.partitions)
        rejections: list[str] = []
        changed = False
        for change in record.changes:
            fault = self._fault(change, chains)
            if fault is not None:
                rejections.append(fault)
                continue
            chains[change.partition] = _with_next_group(chains[change.partition], change)
            changed = True
        self.placement = GroupPlacement(tuple(chains))
        return PlacementOutcome(changed, tuple(rejections))

    @staticmethod
    def _fault(change: GroupChange, chains: list[GroupHistory]) -> str | None:
        if not 0 <= change.partition < len(chains):
            return f"partition {change.partition} does not exist"
        chain = chains[change.partition]
        where = f"partition {change.partition}"
        if change.base_epoch != chain.epoch:
            return f"{where}: based on epoch {change.base_epoch}, in force is {chain.epoch}"
        names = {member.name for member in change.members}
        if not 1 <= len(change.members) <= REPLICATION_FACTOR or len(names) != len(change.members):
            return f"{where}: a group has 1 to {REPLICATION_FACTOR} distinct members"
        if change.forgets and not chain.groups:
            return f"{where}: the first group has no earlier state to forget"
        if chain.lost and not change.forgets:
            return f"{where}: its state is lost, so the next group must forget it"
        return None

    def _apply_abandoned(self, record: RecoveryAbandoned) -> PlacementOutcome:
        chains = list(self.placement.partitions)
        member = _member(record.member)
        rejections: list[str] = []
        changed = False
        for item in record.groups:
            chain = chains[item.partition] if 0 <= item.partition < len(chains) else None
            group = chain.current if chain is not None else None
            if chain is None or group is None or group.epoch != item.epoch:
                rejections.append(f"partition {item.partition}: epoch {item.epoch} is not in force")
                continue
            if member.name not in group.names:
                rejections.append(f"partition {item.partition}: {member.name} is not a member")
                continue
            chains[item.partition] = _with_abandonment(
                chain, Abandonment(member, tuple(_member(seen) for seen in item.recovering))
            )
            changed = True
        self.placement = GroupPlacement(tuple(chains))
        return PlacementOutcome(changed, tuple(rejections))


def _member(record: MemberRecord) -> GroupMember:
    return GroupMember(NodeName(record.name), Incarnation(record.incarnation))


def _with_abandonment(chain: GroupHistory, abandonment: Abandonment) -> GroupHistory:
    others = [item for item in chain.abandonments if item.member.name != abandonment.member.name]
    older = [item for item in chain.abandonments if item.member.name == abandonment.member.name]
    if any(item.member.incarnation > abandonment.member.incarnation for item in older):
        return chain
    return replace(chain, abandonments=(*others, abandonment))


def _with_next_group(chain: GroupHistory, change: GroupChange) -> GroupHistory:
    group = ReplicaGroup(
        epoch=chain.epoch + 1,
        members=tuple(_member(member) for member in change.members),
        forgets=change.forgets,
        certified=change.forgets and chain.lost,
    )
    return GroupHistory(groups=(*chain.groups, group)[-GROUP_HISTORY_LENGTH:])
