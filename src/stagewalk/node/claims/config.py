"""Limits and delays of claims, with units.

docs/design/0040-claims.md and docs/CAPACITY.md give their costs.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimConfig:
    """Limits and delays of claims; the same at every node.

    Attributes
    ----------
    proposal_timeout_seconds
        A proposal or read fails as undecided after this time.
    resend_seconds
        Delay before an unanswered request is first resent; doubled with each resend.
    backoff_seconds
        Mean of the random pause after the first ballot conflict; doubled with each further one.
    backoff_limit_seconds
        Maximum of the mean pause.
    retention_seconds
        How long a claim is retained after its decision.
    maximum_entries
        Maximum number of claims this node holds as a replica, over all partitions.
    maximum_bytes
        Maximum size of their keys and values, with a fixed overhead per entry.
    maximum_value_bytes
        Maximum size of a claim's value.
    maximum_proposals
        Maximum number of concurrent proposals and reads of this node.
    transfer_retry_seconds
        Delay before a replica that lacks a partition's state requests it again.
    transfer_piece_bytes
        Approximate size of one message of a state transfer.
    abandon_seconds
        A restarted replica abandons recovery after too many others were recovering for this time.
    takeover_abandon_seconds
        The same for a replica of a new group, which may be waiting for the previous group.
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
        """Return how long a replica keeps an entry after its last promise or vote, in seconds.

        Longer than the retention, which counts from the decision. Promises without a vote are
        kept as long: if they expired earlier, a smaller ballot might decide while a paused
        replica has yet to process an accept request of the larger one.
        """
        return self.retention_seconds + 2 * self.proposal_timeout_seconds
