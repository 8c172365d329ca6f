"""One replica's state of one partition: the epoch it votes in, and its votes.

A replica doesn't vote in an epoch that is over, or in which an earlier start of this process may
have voted until the state is recovered. Transfers provide the state; the register has the entries.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims import messages
from stagewalk.node.claims.codec import read_ballot
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.messages import Reason
from stagewalk.node.claims.placement import GroupHistory, ReplicaGroup
from stagewalk.node.claims.register import ClaimEntry, Register, Usage
from stagewalk.node.wire.claims_pb2 import ClaimAccept, ClaimDecision, ClaimMessage, ClaimPrepare


@dataclass(slots=True)
class PartitionReplica:
    """A replica's state of one partition.

    Attributes
    ----------
    held_epoch
        The epoch up to which the state is complete: it includes the votes of every quorum of
        earlier epochs and all own votes of this epoch. Never decreases.
    complete
        False before the first state is held, and after a replica that left has dropped it.
    known_epoch
        The largest epoch known, from the log or a successor; no vote is given in smaller ones.
    incarnations
        Latest known incarnations of the members of the group of `held_epoch`.
    lost_until
        Node's clock, seconds: until then, keys without an entry may have been decided before a loss
        of state.
    """

    config: ClaimConfig
    register: Register
    usage: Usage
    chain: GroupHistory = field(default_factory=GroupHistory)
    held_epoch: int = 0
    complete: bool = False
    known_epoch: int = 0
    incarnations: dict[NodeName, Incarnation] = field(default_factory=dict)
    lost_until: float = float("-inf")

    def begin_epoch(
        self, group: ReplicaGroup, incarnations: dict[NodeName, Incarnation], sealed: bool = False
    ) -> None:
        """Mark the state of an epoch as complete; vote in it unless a later one is known."""
        self.held_epoch = group.epoch
        self.complete = True
        self.incarnations = {member.name: member.incarnation for member in group.members}
        for name in sorted(incarnations):
            if name in self.incarnations:
                self.incarnations[name] = max(self.incarnations[name], incarnations[name])
        self.seal_below(group.epoch + 1 if sealed else group.epoch)

    def seal_below(self, epoch: int) -> None:
        """Stop voting in epochs before this one."""
        self.known_epoch = max(self.known_epoch, epoch)

    def refuse_epoch(self, epoch: int) -> ClaimMessage | None:
        """Return the rejection if this replica doesn't vote in an epoch, otherwise None."""
        if epoch != self.known_epoch:
            return messages.reject(Reason.EPOCH)
        if not self.complete or self.held_epoch != epoch:
            return messages.reject(Reason.RECOVERING)
        return None

    def prepare(self, request: ClaimPrepare, now: float) -> ClaimMessage:
        """Answer a prepare request with a promise, the decision or a rejection."""
        entry = self._entry(request.key, now)
        if entry is not None and entry.decided:
            return messages.decision_of_value(request.key, entry.value)
        if entry is None and now < self.lost_until and not request.renewable:
            return messages.reject(Reason.LOST, retry_after_seconds=self.lost_until - now)
        if not request.HasField("ballot"):
            held = entry or ClaimEntry(expires_at=now)
            return messages.promise(held.accepted, held.value)
        ballot = read_ballot(request.ballot)
        if entry is None:
            entry = self._new_entry(request.key, now)
            if entry is None:
                return messages.reject(Reason.OVER_LIMIT)
        if entry.promised is not None and ballot < entry.promised:
            return messages.reject(Reason.BALLOT, entry.promised)
        entry.promised = ballot
        self._extend_expiry(entry, now)
        return messages.promise(entry.accepted, entry.value)

    def accept(self, request: ClaimAccept, now: float) -> ClaimMessage:
        """Answer an accept request with a vote, the decision or a rejection."""
        ballot = read_ballot(request.ballot)
        entry = self._entry(request.key, now)
        if entry is not None and entry.decided:
            return messages.decision_of_value(request.key, entry.value)
        if entry is None and now < self.lost_until and not request.renewable:
            return messages.reject(Reason.LOST, retry_after_seconds=self.lost_until - now)
        if entry is None:
            entry = self._new_entry(request.key, now)
            if entry is None:
                return messages.reject(Reason.OVER_LIMIT)
        if entry.promised is not None and ballot < entry.promised:
            return messages.reject(Reason.BALLOT, entry.promised)
        if entry.accepted is None and not self._fits(len(request.value)):
            return messages.reject(Reason.OVER_LIMIT)
        entry.promised = ballot
        entry.accepted = ballot
        self.register.set_value(entry, request.value)
        self._extend_expiry(entry, now)
        return messages.accepted(ballot)

    def record_decision(self, decision: ClaimDecision, now: float) -> None:
        """Mark the value this replica accepted as decided."""
        entry = self._entry(decision.key, now)
        if entry is None or entry.accepted is None or not decision.HasField("ballot"):
            return
        if entry.accepted == read_ballot(decision.ballot):
            entry.mark_decided()
            self._extend_expiry(entry, now)

    def _entry(self, key: str, now: float) -> ClaimEntry | None:
        entry = self.register.entries.get(key)
        if entry is not None and entry.expires_at <= now:
            self.register.remove(key)
            return None
        return entry

    def _new_entry(self, key: str, now: float) -> ClaimEntry | None:
        if self.usage.entries >= self.config.maximum_entries or not self._fits(0):
            return None
        entry = ClaimEntry(expires_at=now + self.config.entry_retention_seconds)
        self.register.add(key, entry)
        return entry

    def _fits(self, value_bytes: int) -> bool:
        return self.usage.size_bytes + value_bytes < self.config.maximum_bytes

    def _extend_expiry(self, entry: ClaimEntry, now: float) -> None:
        entry.expires_at = max(entry.expires_at, now + self.config.entry_retention_seconds)
