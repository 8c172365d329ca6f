"""Notifications from the sample ledger to the request core and the claim register."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import RequestId, TenantName
from stagewalk.node.claims.notifications import ProposeClaim, ReadClaim
from stagewalk.node.core.completions import CompletionRequest


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Run a rollout; its outcome is reported by its request id."""

    request: CompletionRequest


@dataclass(frozen=True, slots=True)
class CancelRollout:
    """Cancel a rollout that is no longer needed; no outcome is reported."""

    tenant: TenantName
    request_id: RequestId


LotNotification = StartRollout | CancelRollout | ProposeClaim | ReadClaim
