"""One transfer of a partition's state from other replicas, after a restart or a group change.

Owns the progress of each source and the rule for when enough sources are read.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims.messages import Purpose
from stagewalk.node.claims.placement import GroupMember, ReplicaGroup
from stagewalk.node.claims.quorum import (
    ReplicaAnswer,
    add_answer,
    consistent_answers,
    merge_incarnations,
)


@dataclass(frozen=True, slots=True)
class HeldState:
    """Properties of the state that a replica handed over.

    `held_epoch` is the epoch up to which it is complete, `sealed` says that the replica knows an
    epoch after the requested one, and `lost_seconds` is the time left until
    `PartitionReplica.lost_until`.
    """

    held_epoch: int
    sealed: bool
    lost_seconds: float


@dataclass(slots=True)
class Source:
    """Progress of reading the state of one replica.

    `incarnation` is that of the replica being read; after its restart, reading starts over.
    `recovering` is its incarnation if its last answer said that it is recovering itself.
    """

    exchange_id: int = 0
    incarnation: Incarnation | None = None
    after_key: str = ""
    next_request_at: float = float("-inf")
    retry_factor: int = 1
    recovering: Incarnation | None = None

    def restart(self) -> None:
        """Read from the first key again."""
        self.incarnation = None
        self.after_key = ""


@dataclass(slots=True)
class StateTransfer:
    """The transfer by which a replica joins one epoch of a partition.

    Attributes
    ----------
    purpose
        `RECOVERY`: an earlier incarnation of this process may have voted in the epoch, so it
        needs the states of `group.recovery` other members that vote in this epoch.
        `TAKEOVER`: this process has not voted in the epoch, so it needs the states of
        `previous.recovery` members of the previous group, which have stopped voting, or the
        state of one member of its own group that has taken over.
    stuck_since
        Node's clock, seconds: since when too many other members have been recovering.
    """

    partition: int
    group: ReplicaGroup
    previous: ReplicaGroup | None
    purpose: Purpose.ValueType
    started_at: float
    sources: dict[NodeName, Source] = field(default_factory=dict)
    answers: dict[NodeName, ReplicaAnswer[HeldState]] = field(default_factory=dict)
    stuck_since: float | None = None

    @classmethod
    def begin(
        cls,
        partition: int,
        group: ReplicaGroup,
        previous: ReplicaGroup | None,
        own: GroupMember,
        now: float,
    ) -> StateTransfer:
        """Start a transfer into `group` for this process, one of its members."""
        first_start = group.incarnation_of(own.name) == own.incarnation
        purpose = Purpose.TAKEOVER if first_start else Purpose.RECOVERY
        transfer = cls(partition, group, previous, purpose, now)
        names = set(group.names)
        if first_start and previous is not None:
            names.update(previous.names)
        for name in sorted(names - {own.name}):
            transfer.sources[name] = Source()
        return transfer

    def schedule_first_requests(
        self, needed: int, now: float, delay: float, superseded: bool
    ) -> None:
        """Schedule the first requests: now to the sources needed, later to the others.

        A state may be large, so others are asked only if needed. Members of the previous group
        come first, as new members lack the state too. Requests for a superseded epoch are
        delayed further, since its state is rarely needed.
        """
        previous = self.previous.names if self.previous is not None else ()
        order = sorted(self.sources, key=lambda name: (name not in previous, name))
        base_delay_count = 2 if superseded else 0
        for position, name in enumerate(order):
            delay_count = base_delay_count + (position >= needed)
            self.sources[name].next_request_at = now + delay_count * delay

    @property
    def purpose_name(self) -> str:
        """Return the purpose as shown in log lines."""
        return Purpose.Name(self.purpose).lower()

    def record_state(self, name: NodeName, answer: ReplicaAnswer[HeldState]) -> None:
        """Record that a replica's state was read completely."""
        add_answer(self.answers, name, answer)
        for stale in sorted(set(self.answers) - set(consistent_answers(self.answers))):
            del self.answers[stale]
            self.sources[stale].restart()

    def finished(self, own: GroupMember, own_answer: ReplicaAnswer[HeldState] | None) -> bool:
        """Return whether the states read so far include every vote that may have decided."""
        if self.purpose == Purpose.RECOVERY:
            return (
                self._count_holders(self.answers, self.group, self.group.epoch)
                >= self.group.recovery
            )
        taken_over = any(
            answer.payload.held_epoch >= self.group.epoch for answer in self.answers.values()
        )
        if taken_over or self.previous is None:
            return taken_over
        answers = dict(self.answers)
        if own_answer is not None and self.previous.incarnation_of(own.name) is not None:
            answers[own.name] = own_answer
        consistent = consistent_answers(answers)
        return self._count_holders(consistent, self.previous, self.group.epoch - 1) >= (
            self.previous.recovery
        )

    @staticmethod
    def _count_holders(
        answers: dict[NodeName, ReplicaAnswer[HeldState]], group: ReplicaGroup, held_epoch: int
    ) -> int:
        return sum(
            name in group.names and answer.payload.held_epoch == held_epoch
            for name, answer in answers.items()
        )

    def incarnations(self) -> dict[NodeName, Incarnation]:
        """Return the incarnations known to the replicas whose state is of this epoch."""
        incarnations: dict[NodeName, Incarnation] = {}
        for name in sorted(self.answers):
            answer = self.answers[name]
            if answer.payload.held_epoch == self.group.epoch:
                merge_incarnations(incarnations, answer.incarnations)
        return incarnations

    @property
    def sealed(self) -> bool:
        """Whether any source knows a later epoch."""
        return any(answer.payload.sealed for answer in self.answers.values())

    @property
    def lost_seconds(self) -> float:
        """Return how long unknown keys must still be rejected, in seconds."""
        return max((answer.payload.lost_seconds for answer in self.answers.values()), default=0.0)

    def recovering_members(self) -> tuple[GroupMember, ...]:
        """Return the other members of the group that are recovering, with their incarnations."""
        return tuple(
            GroupMember(name, source.recovering)
            for name, source in sorted(self.sources.items())
            if source.recovering is not None and name in self.group.names
        )

    def cannot_complete(self) -> bool:
        """Return whether too few other members may still hold the state."""
        others = len(self.group.members) - 1
        return others - len(self.recovering_members()) < self.group.recovery
