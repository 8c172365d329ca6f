"""Outcomes of applying configuration records, and the history of them for operators."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from stagewalk.common.identities import RecordId


class RejectionReason(StrEnum):
    """Why a record was rejected; the same on every node."""

    MALFORMED = "malformed"
    """Not a record of this stream, or a value is outside its range."""
    NOT_OWNER = "not_owner"
    """The tenant, or its name, belongs to the other partner."""
    UNKNOWN_TENANT = "unknown_tenant"
    TENANT_EXISTS = "tenant_exists"
    STALE_REVISION = "stale_revision"
    """`base_revision` is not the tenant's revision, since another change came first."""
    UNKNOWN_REVISION = "unknown_revision"
    """The revision to roll back to does not exist or is no longer kept."""
    POOL_OVERCOMMITTED = "pool_overcommitted"
    """The shares of a pool's tenants would add up to more than 1."""
    TOO_MANY_TENANTS = "too_many_tenants"


class ChangeAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The record is in force: the tenant is at this revision."""

    revision: int


class ChangeRejected(msgspec.Struct, frozen=True, tag="rejected"):
    """The record has no effect; `field` is the path of the invalid value, if there is one."""

    reason: RejectionReason
    detail: str
    field: str | None = None


class ChangeRepeated(msgspec.Struct, frozen=True, tag="repeated"):
    """The record was already applied at `first_offset`, so it has no effect."""

    first_offset: int


ChangeOutcome = ChangeAccepted | ChangeRejected | ChangeRepeated


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An applied record and its outcome; a malformed one has no operator, partner or tenant."""

    offset: int
    record_id: RecordId
    kind: str
    operator: str
    partner: str
    tenant: str
    outcome: ChangeAccepted | ChangeRejected
