"""The proposer's side of one claim: single-decree Paxos in two phases.

A proposal begins with phase 1 (prepare) always: the register has no fixed first proposer, and
with diskless replicas a reserved first ballot would need a proof that its owner has never
restarted. A read first asks without a ballot, which disturbs nobody; only when something has
been accepted without being known as decided does it go on as a proposal without a value.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from stagewalk.common.identities import NodeName
from stagewalk.node.claims.codec import read_ballot
from stagewalk.node.claims.messages import Reason
from stagewalk.node.claims.placement import ReplicaGroup
from stagewalk.node.claims.quorum import ReplicaAnswer, add_answer, consistent_answers
from stagewalk.node.claims.types import Ballot
from stagewalk.node.wire.claims_pb2 import ClaimMessage


class Phase(Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    """Between attempts, or no group is known."""
    QUERY = "query"
    PREPARE = "prepare"
    ACCEPT = "accept"


@dataclass(frozen=True, slots=True)
class AcceptedValue:
    """What a replica had accepted when it promised."""

    ballot: Ballot | None
    value: bytes


class PhaseOutcome(Enum):
    """What the answers so far amount to."""

    PENDING = "pending"
    QUORUM = "quorum"
    CONFLICT = "conflict"
    """No quorum can come of this attempt; a later one may succeed."""
    LOST = "lost"
    """So many replicas can't vouch for the key that no quorum can."""
    OVER_LIMIT = "over_limit"


@dataclass(slots=True)
class Proposal:
    """One key's proposal or read under way at this node.

    Attributes
    ----------
    renewable
        The key may be decided anew after a loss of state.
    proposed
        The values proposed here for the key, the first of them offered; empty for reads alone.
    has_reader
        Whether this node reads the key.
    deadline
        Node's clock, seconds: nothing is counted or offered after it.
    offered
        Values of ours that some replica may have accepted.
    """

    key: str
    partition: int
    deadline: float
    renewable: bool = False
    proposed: list[bytes] = field(default_factory=list)
    has_reader: bool = False
    phase: Phase = Phase.WAITING
    exchange_id: int = 0
    group: ReplicaGroup | None = None
    ballot: Ballot | None = None
    value: bytes = b""
    answers: dict[NodeName, ReplicaAnswer[AcceptedValue]] = field(default_factory=dict)
    refusals: dict[NodeName, Reason.ValueType] = field(default_factory=dict)
    largest_round: int = 0
    conflicts: int = 0
    resends: int = 0
    """How often the requests of this phase were resent."""
    offered: set[bytes] = field(default_factory=set)
    wake_at: float = float("-inf")
    """When to resend, or to begin the next attempt while waiting."""
    retry_after_seconds: float = 0.0
    """Longest time that a refusing replica has named until it may vouch for the key."""

    def begin_phase(self, phase: Phase, exchange_id: int) -> None:
        """Drop the answers of the phase before and expect those to a new exchange."""
        self.phase = phase
        self.resends = 0
        self.exchange_id = exchange_id
        self.answers = {}
        self.refusals = {}

    def record_refusal(self, name: NodeName, message: ClaimMessage) -> None:
        """Record that a replica did not vote, and why."""
        self.refusals[name] = message.reject.reason
        self.retry_after_seconds = max(self.retry_after_seconds, message.reject.retry_after_seconds)
        if message.reject.HasField("promised"):
            promised = read_ballot(message.reject.promised)
            self.largest_round = max(self.largest_round, promised.round)

    def record_answer(self, name: NodeName, answer: ReplicaAnswer[AcceptedValue]) -> None:
        """Record a replica's vote."""
        self.refusals.pop(name, None)
        add_answer(self.answers, name, answer)

    def verdict(self) -> PhaseOutcome:
        """Return what the answers of this phase amount to."""
        assert self.group is not None
        quorum = self.group.quorum
        if len(consistent_answers(self.answers)) >= quorum:
            return PhaseOutcome.QUORUM
        if len(self.group.members) - len(self.refusals) >= quorum:
            return PhaseOutcome.PENDING
        reasons = list(self.refusals.values())
        blocking = len(self.group.members) - quorum + 1
        if reasons.count(Reason.LOST) >= blocking:
            return PhaseOutcome.LOST
        if reasons.count(Reason.OVER_LIMIT) >= blocking:
            return PhaseOutcome.OVER_LIMIT
        return PhaseOutcome.CONFLICT

    def largest_accepted(self) -> AcceptedValue:
        """Return what the quorum has accepted with the largest ballot, if anything."""
        largest = AcceptedValue(None, b"")
        for answer in consistent_answers(self.answers).values():
            ballot = answer.payload.ballot
            if ballot is not None and (largest.ballot is None or ballot > largest.ballot):
                largest = answer.payload
        return largest

    def unanswered(self) -> tuple[NodeName, ...]:
        """Return the members that have not voted in this phase."""
        assert self.group is not None
        consistent = consistent_answers(self.answers)
        return tuple(name for name in self.group.names if name not in consistent)
