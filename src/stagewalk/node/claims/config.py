"""Limits and delays of claims, with units.

What they cost is in docs/design/0040-claims.md and
docs/CAPACITY.md.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimConfig:
    """Limits and delays of claims; the same at every node.

    Attributes
    ----------
    proposal_timeout_seconds
        After this a proposal or read is given up as undecided.
    resend_seconds
        An unanswered request is sent again after this, then after twice as long, and so on.
    backoff_seconds
        Mean of the first random pause after a ballot conflict; doubled with each further one.
    backoff_limit_seconds
        Longest mean pause.
    retention_seconds
        How long a claim is held after it was last written.
    maximum_entries
        Most claims this node holds as a replica, over all partitions.
    maximum_bytes
        Most octets of keys and values (with a flat overhead each) it holds.
    maximum_value_bytes
        Longest value of a claim.
    maximum_proposals
        Most proposals and reads this node has under way at once.
    transfer_retry_seconds
        A replica that lacks a partition's state asks again after this.
    transfer_piece_bytes
        About the size of one piece of a partition's state.
    abandon_seconds
        A restarted replica gives up after it found too many others recovering for this long.
    takeover_abandon_seconds
        The same for a replica of a new group, which may be waiting for one of the group before.
    handover_seconds
        How long a replica that left a group keeps the state for its successors.
    """

    proposal_timeout_seconds: float = 3.0
    resend_seconds: float = 0.2
    backoff_seconds: float = 0.02
    backoff_limit_seconds: float = 0.5
    retention_seconds: float = 3600.0
    maximum_entries: int = 40_000
    maximum_bytes: int = 12 * 1024 * 1024
    maximum_value_bytes: int = 4096
    maximum_proposals: int = 4096
    transfer_retry_seconds: float = 1.0
    transfer_piece_bytes: int = 32 * 1024
    abandon_seconds: float = 10.0
    takeover_abandon_seconds: float = 60.0
    handover_seconds: float = 600.0

    def __post_init__(self) -> None:
        if not 0 < self.resend_seconds < self.proposal_timeout_seconds < self.retention_seconds:
            raise ValueError("resend < proposal timeout < retention must hold, all above 0")
        if not 0 < self.backoff_seconds <= self.backoff_limit_seconds:
            raise ValueError("0 < backoff_seconds <= backoff_limit_seconds must hold")
        if min(self.maximum_entries, self.maximum_bytes, self.maximum_proposals) < 1:
            raise ValueError("limits must be at least 1")

    @property
    def entry_retention_seconds(self) -> float:
        """Return how long a replica holds a promise or value after it last gave one, in seconds.

        The retention counts from the decision, which comes later than the votes. Bare promises
        are held as long: forgotten earlier, a smaller ballot might decide while a vote for the
        larger one lies unread at a paused replica.
        """
        return self.retention_seconds + 2 * self.proposal_timeout_seconds
