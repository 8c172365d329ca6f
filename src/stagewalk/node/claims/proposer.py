"""All proposals and reads of one node: sending, resending, backoff and timeouts.

Owns the exchanges in progress. The placement gives a key's replicas, and `proposal` evaluates their
answers. The parameters are fields of `ClaimConfig`.
"""

from __future__ import annotations

import random

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import NodeName
from stagewalk.node.claims import messages
from stagewalk.node.claims.codec import read_ballot, read_incarnations
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.messages import Reason
from stagewalk.node.claims.notifications import ClaimAbsent, ClaimDecided, ClaimUndecided
from stagewalk.node.claims.placement import GroupMember, GroupPlacement, ReplicaGroup
from stagewalk.node.claims.proposal import AcceptedValue, Phase, PhaseOutcome, Proposal
from stagewalk.node.claims.quorum import ReplicaAnswer
from stagewalk.node.claims.relay import write_chain
from stagewalk.node.claims.transfers import Outgoing
from stagewalk.node.claims.types import Ballot
from stagewalk.node.wire.claims_pb2 import ClaimMessage, ClaimPlacement

RETRY_AFTER_SECONDS = 5.0
"""Retry-After unless a replica gives one: about the time to replace a replica
(`PlacementPlannerConfig.replace_after_seconds`)."""

Notification = ClaimDecided | ClaimAbsent | ClaimUndecided


class ProposerCore:
    """Runs this node's proposals and reads until they are decided or time out.

    Parameters
    ----------
    member
        This process.
    """

    def __init__(self, member: GroupMember, config: ClaimConfig, generator: random.Random) -> None:
        self._member = member
        self._config = config
        self._generator = generator
        self._placement = GroupPlacement.empty()
        self._proposals: dict[str, Proposal] = {}
        self._key_of_exchange: dict[int, str] = {}
        self._exchange_count = 0
        self._attempt_count = 0
        self._outgoing: list[Outgoing] = []
        self._notifications: list[Notification] = []

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send that were added since the last call."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_notifications(self) -> list[Notification]:
        """Return the results of proposals and reads since the last call."""
        notifications = self._notifications
        self._notifications = []
        return notifications

    def adopt(self, placement: GroupPlacement, now: float) -> None:
        """Apply a placement; restart proposals whose group has changed."""
        self._placement = placement
        for proposal in list(self._proposals.values()):
            if now >= proposal.deadline:
                continue
            proposal.partition = placement.partition_of(proposal.key)
            if proposal.group != placement.partitions[proposal.partition].current:
                self._begin_attempt(proposal, now)

    def propose(self, key: str, value: bytes, renewable: bool, now: float) -> None:
        """Begin a proposal, or join the one in progress for this key."""
        if len(value) > self._config.maximum_value_bytes:
            limit = self._config.maximum_value_bytes
            detail = f"the claim's value has {len(value)} bytes, the limit is {limit}"
            self._refuse(key, value, ErrorKind.INVALID_REQUEST, detail)
            return
        proposal = self._open(key, value, renewable, now)
        if proposal is None:
            return
        if value not in proposal.proposed:
            proposal.proposed.append(value)
        if proposal.phase == Phase.WAITING and proposal.group is None:
            self._begin_attempt(proposal, now)

    def read(self, key: str, renewable: bool, now: float) -> None:
        """Begin a read, or join the proposal or read in progress for this key."""
        proposal = self._open(key, None, renewable, now)
        if proposal is None:
            return
        proposal.has_reader = True
        if proposal.phase == Phase.WAITING and proposal.group is None:
            self._begin_attempt(proposal, now)

    def _open(self, key: str, value: bytes | None, renewable: bool, now: float) -> Proposal | None:
        proposal = self._proposals.get(key)
        if proposal is not None and now >= proposal.deadline:
            self._give_up(proposal)
            proposal = None
        if proposal is not None:
            return proposal
        if len(self._proposals) >= self._config.maximum_proposals:
            detail = f"{len(self._proposals)} claims are already in progress at this node"
            self._refuse(key, value, ErrorKind.OVER_LIMIT, detail)
            return None
        proposal = Proposal(
            key=key,
            partition=self._placement.partition_of(key),
            deadline=now + self._config.proposal_timeout_seconds,
            renewable=renewable,
        )
        self._proposals[key] = proposal
        return proposal

    # Attempts

    def _begin_attempt(self, proposal: Proposal, now: float) -> None:
        proposal.group = self._placement.partitions[proposal.partition].current
        if proposal.group is None:
            proposal.phase = Phase.WAITING
            proposal.wake_at = proposal.deadline
            return
        if not proposal.proposed and proposal.ballot is None:
            self._begin_phase(proposal, Phase.QUERY, now)
            return
        self._begin_prepare(proposal, now)

    def _begin_prepare(self, proposal: Proposal, now: float) -> None:
        self._attempt_count += 1
        proposal.largest_round += 1
        proposal.ballot = Ballot(
            proposal.largest_round,
            self._member.name,
            self._member.incarnation,
            self._attempt_count,
        )
        self._begin_phase(proposal, Phase.PREPARE, now)

    def _begin_phase(self, proposal: Proposal, phase: Phase, now: float) -> None:
        self._key_of_exchange.pop(proposal.exchange_id, None)
        self._exchange_count += 1
        proposal.begin_phase(phase, 2 * self._exchange_count)
        self._key_of_exchange[proposal.exchange_id] = proposal.key
        self._send_phase(proposal, now)

    def _send_phase(self, proposal: Proposal, now: float) -> None:
        assert proposal.group is not None
        proposal.wake_at = now + self._config.resend_seconds * 2.0**proposal.resends
        for name in proposal.unanswered():
            message = self._request(proposal)
            message.exchange_id = proposal.exchange_id
            message.partition = proposal.partition
            message.epoch = proposal.group.epoch
            self._outgoing.append(Outgoing(name, message))

    @staticmethod
    def _request(proposal: Proposal) -> ClaimMessage:
        if proposal.phase == Phase.QUERY:
            return messages.prepare(proposal.key, None, proposal.renewable)
        assert proposal.ballot is not None
        if proposal.phase == Phase.PREPARE:
            return messages.prepare(proposal.key, proposal.ballot, proposal.renewable)
        return messages.accept(proposal.key, proposal.ballot, proposal.value, proposal.renewable)

    # Answers

    def handle_answer(self, sender: GroupMember, message: ClaimMessage, now: float) -> None:
        """Handle a replica's answer to one of this node's requests."""
        key = self._key_of_exchange.get(message.exchange_id)
        proposal = self._proposals.get(key) if key is not None else None
        if proposal is None or proposal.group is None:
            return
        if now >= proposal.deadline:
            # This process may have been paused for longer than replicas keep promises.
            self._give_up(proposal)
        elif sender.name in proposal.group.names:
            self._handle_body(proposal, proposal.group, sender, message, now)

    def _handle_body(
        self,
        proposal: Proposal,
        group: ReplicaGroup,
        sender: GroupMember,
        message: ClaimMessage,
        now: float,
    ) -> None:
        body = message.WhichOneof("body")
        if body == "decision":
            self._decide(proposal, message.decision.value)
        elif body == "reject":
            proposal.record_refusal(sender.name, message)
            if message.reject.reason == Reason.EPOCH and message.epoch < group.epoch:
                self._send_groups(proposal, sender.name)
            self._apply_outcome(proposal, now)
        elif body == "promise" and proposal.phase in (Phase.QUERY, Phase.PREPARE):
            promise = message.promise
            accepted = promise.HasField("accepted_ballot")
            ballot = read_ballot(promise.accepted_ballot) if accepted else None
            self._record_vote(proposal, sender, message, AcceptedValue(ballot, promise.value), now)
        elif body == "accepted" and proposal.phase == Phase.ACCEPT:
            self._record_vote(proposal, sender, message, AcceptedValue(None, b""), now)

    def _send_groups(self, proposal: Proposal, name: NodeName) -> None:
        """Send the groups to a replica that does not know them yet."""
        message = ClaimMessage(placement=ClaimPlacement())
        chain = self._placement.partitions[proposal.partition]
        write_chain(message, proposal.partition, chain, 0)
        self._outgoing.append(Outgoing(name, message))

    def _record_vote(
        self,
        proposal: Proposal,
        sender: GroupMember,
        message: ClaimMessage,
        accepted: AcceptedValue,
        now: float,
    ) -> None:
        incarnations = read_incarnations(message)
        proposal.record_answer(
            sender.name, ReplicaAnswer(sender.incarnation, incarnations, accepted)
        )
        self._apply_outcome(proposal, now)

    def _apply_outcome(self, proposal: Proposal, now: float) -> None:
        phase_outcome = proposal.phase_outcome()
        if phase_outcome == PhaseOutcome.QUORUM:
            self._advance(proposal, now)
        elif phase_outcome == PhaseOutcome.LOST:
            detail = (
                "the claim's replicas lost their state and cannot tell whether the key was decided"
            )
            self._fail(proposal, ErrorKind.OUTCOME_UNKNOWN, detail)
        elif phase_outcome == PhaseOutcome.OVER_LIMIT:
            detail = "the claim's replicas have reached their limit of claims"
            self._fail(proposal, ErrorKind.OVER_LIMIT, detail)
        elif phase_outcome == PhaseOutcome.CONFLICT:
            self._back_off(proposal, now)

    def _advance(self, proposal: Proposal, now: float) -> None:
        if proposal.phase == Phase.ACCEPT:
            self._announce(proposal)
            self._decide(proposal, proposal.value)
            return
        accepted = proposal.largest_accepted()
        if accepted.ballot is None and not proposal.proposed:
            self._end(proposal)
            self._notifications.append(ClaimAbsent(proposal.key))
            return
        if proposal.phase == Phase.QUERY:
            round_seen = 0 if accepted.ballot is None else accepted.ballot.round
            proposal.largest_round = max(proposal.largest_round, round_seen)
            self._begin_prepare(proposal, now)
            return
        if accepted.ballot is not None:
            proposal.value = accepted.value
        else:
            proposal.value = proposal.proposed[0]
            proposal.offered.add(proposal.value)
        self._begin_phase(proposal, Phase.ACCEPT, now)

    def _announce(self, proposal: Proposal) -> None:
        assert proposal.group is not None and proposal.ballot is not None
        for name in proposal.group.names:
            message = messages.decision_of_ballot(proposal.key, proposal.ballot)
            message.partition = proposal.partition
            message.epoch = proposal.group.epoch
            self._outgoing.append(Outgoing(name, message))

    def _back_off(self, proposal: Proposal, now: float) -> None:
        """Pause for a random time, so that one of several competing proposers succeeds.

        The pause is longer if the conflict isn't due to a larger ballot, but to replicas that
        don't vote yet.
        """
        proposal.phase = Phase.WAITING
        has_rival = Reason.BALLOT in proposal.refusals.values()
        first = self._config.backoff_seconds if has_rival else self._config.resend_seconds
        longest = self._config.backoff_limit_seconds * (1 if has_rival else 2)
        mean = min(longest, first * 2.0**proposal.conflicts)
        proposal.conflicts = min(proposal.conflicts + 1, 16)
        proposal.wake_at = now + mean * (0.5 + self._generator.random())

    # Results

    def _decide(self, proposal: Proposal, value: bytes) -> None:
        self._end(proposal)
        for own_value in proposal.proposed:
            self._notifications.append(
                ClaimDecided(proposal.key, value, won=value == own_value, proposed=own_value)
            )
        if proposal.has_reader or not proposal.proposed:
            self._notifications.append(ClaimDecided(proposal.key, value, won=False))

    def _give_up(self, proposal: Proposal) -> None:
        if proposal.group is None:
            kind, detail = ErrorKind.UNREACHABLE, "no replica group is known for the claim"
        elif proposal.offered:
            kind = ErrorKind.OUTCOME_UNKNOWN
            detail = "no majority of the claim's replicas confirmed it in time"
        else:
            kind, detail = ErrorKind.TIMEOUT, "no majority of the claim's replicas answered in time"
        self._fail(proposal, kind, detail)

    def _fail(self, proposal: Proposal, kind: ErrorKind, detail: str) -> None:
        self._end(proposal)
        peer = ",".join(proposal.group.names) if proposal.group is not None else self._member.name
        error = _error(kind, peer, detail, proposal.retry_after_seconds or RETRY_AFTER_SECONDS)
        for own_value in proposal.proposed:
            offered = own_value in proposal.offered
            self._notifications.append(ClaimUndecided(proposal.key, error, offered, own_value))
        if proposal.has_reader or not proposal.proposed:
            self._notifications.append(ClaimUndecided(proposal.key, error))

    def _refuse(self, key: str, value: bytes | None, kind: ErrorKind, detail: str) -> None:
        retry = RETRY_AFTER_SECONDS if kind == ErrorKind.OVER_LIMIT else None
        error = _error(kind, self._member.name, detail, retry)
        self._notifications.append(ClaimUndecided(key, error, proposed=value))

    def _end(self, proposal: Proposal) -> None:
        del self._proposals[proposal.key]
        self._key_of_exchange.pop(proposal.exchange_id, None)

    def tick(self, now: float) -> None:
        """Resend requests, begin due attempts and fail what has timed out."""
        for proposal in list(self._proposals.values()):
            if now >= proposal.deadline:
                self._give_up(proposal)
            elif now < proposal.wake_at:
                continue
            elif proposal.phase == Phase.WAITING:
                self._begin_attempt(proposal, now)
            else:
                proposal.resends += 1
                self._send_phase(proposal, now)


def _error(
    kind: ErrorKind, peer: str, detail: str, retry_after_seconds: float | None
) -> StagewalkError:
    """Return an error of a claim.

    `ran` is unknown, because another node may have won the claim and run the request.
    """
    return StagewalkError(
        kind=kind,
        step=ErrorStep.CLAIM,
        peer=peer,
        detail=detail,
        ran=ExecutionStatus.UNKNOWN,
        retry_after_seconds=retry_after_seconds,
    )
