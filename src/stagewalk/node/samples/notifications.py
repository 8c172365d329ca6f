"""What the sample ledger asks of the other subsystems."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import RequestId, TenantName
from stagewalk.node.core.completions import CompletionRequest


@dataclass(frozen=True, slots=True)
class RequestWanted:
    """Run this rollout; the outcome comes back by its request id."""

    request: CompletionRequest


@dataclass(frozen=True, slots=True)
class RequestUnwanted:
    """Cancel this rollout: its slot is filled or acknowledged. No outcome is expected."""

    tenant: TenantName
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ClaimWanted:
    """Propose a value for a write-once key; the decision comes back by the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class ClaimReadWanted:
    """Read a write-once key. Only a decided value need be told; absence changes nothing."""

    key: str


LotNotification = RequestWanted | RequestUnwanted | ClaimWanted | ClaimReadWanted
