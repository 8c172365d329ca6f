"""The proposer's side of one claim: single-decree Paxos in two phases.

A proposal always begins with phase 1 (prepare): there is no fixed first proposer, and with
diskless replicas a reserved first ballot would require proof that its owner never restarted. A
read first queries without a ballot, which doesn't conflict with proposals. If a value is accepted
but not known to be decided, the read continues as a proposal without a value of its own.
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
    """Phase of an attempt."""

    WAITING = "waiting"
    """Between attempts, or no group is known."""
    QUERY = "query"
    PREPARE = "prepare"
    ACCEPT = "accept"


@dataclass(frozen=True, slots=True)
class AcceptedValue:
    """The ballot and value a replica had accepted when it promised."""

    ballot: Ballot | None
    value: bytes


class PhaseOutcome(Enum):
    """Outcome of a phase, given the answers so far."""

    PENDING = "pending"
    QUORUM = "quorum"
    CONFLICT = "conflict"
    """This attempt can't reach a quorum; a later one may."""
    LOST = "lost"
    """Too many replicas lost the key's state for a quorum."""
    OVER_LIMIT = "over_limit"


@dataclass(slots=True)
class Proposal:
    """One key's proposal or read in progress at this node.

    Attributes
    ----------
    renewable
        The key may be decided again after a loss of state.
    proposed
        The values proposed here for the key, of which the first is sent; empty for reads.
    has_reader
        Whether this node reads the key.
    deadline
        Node's clock, seconds: no answer is counted and no value sent after it.
    offered
        Values proposed here that some replica may have accepted.
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
    """Number of resends in this phase."""
    offered: set[bytes] = field(default_factory=set)
    wake_at: float = float("-inf")
    """When to resend, or to begin the next attempt while waiting."""
    retry_after_seconds: float = 0.0
    """Longest Retry-After of the rejections received."""

    def begin_phase(self, phase: Phase, exchange_id: int) -> None:
        """Begin a phase with a new exchange and no answers."""
        self.phase = phase
        self.resends = 0
        self.exchange_id = exchange_id
        self.answers = {}
        self.refusals = {}

    def record_refusal(self, name: NodeName, message: ClaimMessage) -> None:
        """Record a replica's rejection."""
        self.refusals[name] = message.reject.reason
        self.retry_after_seconds = max(self.retry_after_seconds, message.reject.retry_after_seconds)
        if message.reject.HasField("promised"):
            promised = read_ballot(message.reject.promised)
            self.largest_round = max(self.largest_round, promised.round)

    def record_answer(self, name: NodeName, answer: ReplicaAnswer[AcceptedValue]) -> None:
        """Record a replica's vote."""
        self.refusals.pop(name, None)
        add_answer(self.answers, name, answer)

    def phase_outcome(self) -> PhaseOutcome:
        """Return the outcome of this phase, given its answers so far."""
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
        """Return the value the quorum accepted with the largest ballot, if any."""
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
