"""Builders of configuration records for tests."""

from __future__ import annotations

from stagewalk.configuration.fold import ConfigurationFold
from stagewalk.configuration.outcomes import FoldOutcome
from stagewalk.configuration.parameters import TenantParameters
from stagewalk.configuration.records import (
    AnyChange,
    ChangeParameters,
    CreateTenant,
    DeleteTenant,
    RollBack,
    encode_change,
)
from stagewalk.core.identities import ModelName, RecordId, TenantName
from stagewalk.core.platform import LogRecord


def parameters(share: float = 0.5, model: str = "qari-2", bound: int = 1) -> TenantParameters:
    return TenantParameters(
        models=(ModelName(model),), capacity_share=share, staleness_bound_versions=bound
    )


def create(
    tenant: str = "catalogue",
    partner: str = "amman",
    base: int = 0,
    values: TenantParameters | None = None,
) -> CreateTenant:
    return CreateTenant(
        operator="layla",
        partner=partner,
        tenant=TenantName(tenant),
        base_revision=base,
        template="catalogue",
        parameters=values or parameters(),
    )


def change(
    base: int,
    values: TenantParameters | None = None,
    tenant: str = "catalogue",
    partner: str = "amman",
) -> ChangeParameters:
    return ChangeParameters(
        operator="layla",
        partner=partner,
        tenant=TenantName(tenant),
        base_revision=base,
        parameters=values or parameters(),
    )


def roll_back(base: int, to_revision: int) -> RollBack:
    return RollBack(
        operator="layla",
        partner="amman",
        tenant=TenantName("catalogue"),
        base_revision=base,
        to_revision=to_revision,
    )


def delete(base: int, tenant: str = "catalogue", partner: str = "amman") -> DeleteTenant:
    return DeleteTenant(
        operator="layla", partner=partner, tenant=TenantName(tenant), base_revision=base
    )


def log_record(offset: int, payload: bytes, record_id: str | None = None) -> LogRecord:
    return LogRecord(offset, RecordId(f"r{offset}" if record_id is None else record_id), payload)


def publish(
    fold: ConfigurationFold, published: AnyChange, record_id: str | None = None
) -> FoldOutcome:
    return fold.apply(log_record(fold.offset, encode_change(published), record_id))
