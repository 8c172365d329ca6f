"""One transfer of a partition's state from other replicas, after a restart or a change of group.

Owns how far each source was read, and the rule for when enough of them were.
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
    """What a replica said of the state it handed over.

    `held_epoch` is the epoch up to which it is complete; `sealed` says that the answerer knows
    of an epoch after the one asked for; `lost_seconds` as in `PartitionReplica.lost_until`.
    """

    held_epoch: int
    sealed: bool
    lost_seconds: float


@dataclass(slots=True)
class Source:
    """How far the state of one replica has been read.

    `incarnation` is that of the replica being read: its successor is read from the start.
    `recovering` is the incarnation in which it last said that it lacks the state itself.
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
    """One replica's way into one epoch of a partition.

    Attributes
    ----------
    purpose
        `RECOVERY`: this is a later start of a member, which may have voted in the epoch; it
        needs the states of `group.recovery` other members that vote in this epoch.
        `TAKEOVER`: this process has not voted in the epoch; it needs the states of
        `previous.recovery` members of the group before, all of which have stopped voting, or
        the state of one member of its own group that has taken over.
    stuck_since
        Node's clock, seconds, since when too many other members have been found recovering.
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

    def stagger(self, needed: int, now: float, delay: float, overtaken: bool) -> None:
        """Delay all sources but those needed, since a state may be large.

        Members of the group before come first, as those of the new one lack the state too. An
        epoch that is in force no more is asked for later: its state is rarely needed.
        """
        previous = self.previous.names if self.previous is not None else ()
        order = sorted(self.sources, key=lambda name: (name not in previous, name))
        rounds = 2 if overtaken else 0
        for position, name in enumerate(order):
            late = rounds + (position >= needed)
            self.sources[name].next_request_at = now + late * delay

    @property
    def purpose_name(self) -> str:
        """Return the purpose as log lines show it."""
        return Purpose.Name(self.purpose).lower()

    def record_state(self, name: NodeName, answer: ReplicaAnswer[HeldState]) -> None:
        """Record that a replica's state was read to its end."""
        add_answer(self.answers, name, answer)
        for void in sorted(set(self.answers) - set(consistent_answers(self.answers))):
            del self.answers[void]
            self.sources[void].restart()

    def finished(self, own: GroupMember, own_answer: ReplicaAnswer[HeldState] | None) -> bool:
        """Return whether the states read so far are sure to hold all that may not be lost."""
        if self.purpose == Purpose.RECOVERY:
            return self._count(self.answers, self.group, self.group.epoch) >= self.group.recovery
        taken_over = any(
            answer.payload.held_epoch >= self.group.epoch for answer in self.answers.values()
        )
        if taken_over or self.previous is None:
            return taken_over
        answers = dict(self.answers)
        if own_answer is not None and self.previous.incarnation_of(own.name) is not None:
            answers[own.name] = own_answer
        consistent = consistent_answers(answers)
        return self._count(consistent, self.previous, self.group.epoch - 1) >= (
            self.previous.recovery
        )

    @staticmethod
    def _count(
        answers: dict[NodeName, ReplicaAnswer[HeldState]], group: ReplicaGroup, held_epoch: int
    ) -> int:
        return sum(
            name in group.names and answer.payload.held_epoch == held_epoch
            for name, answer in answers.items()
        )

    def incarnations(self) -> dict[NodeName, Incarnation]:
        """Return the incarnations known to those whose state belongs to this epoch."""
        incarnations: dict[NodeName, Incarnation] = {}
        for name in sorted(self.answers):
            answer = self.answers[name]
            if answer.payload.held_epoch == self.group.epoch:
                merge_incarnations(incarnations, answer.incarnations)
        return incarnations

    @property
    def sealed(self) -> bool:
        """Whether any answerer knows of a later epoch."""
        return any(answer.payload.sealed for answer in self.answers.values())

    @property
    def lost_seconds(self) -> float:
        """Return how long unknown keys must still be refused, in seconds."""
        return max((answer.payload.lost_seconds for answer in self.answers.values()), default=0.0)

    def recovering_members(self) -> tuple[GroupMember, ...]:
        """Return the other members of the group found recovering, with their incarnations."""
        return tuple(
            GroupMember(name, source.recovering)
            for name, source in sorted(self.sources.items())
            if source.recovering is not None and name in self.group.names
        )

    def is_hopeless(self) -> bool:
        """Return whether too few members are left that might hold the state."""
        others = len(self.group.members) - 1
        return others - len(self.recovering_members()) < self.group.recovery
