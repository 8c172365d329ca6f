"""Builders of configuration records for tests."""

from __future__ import annotations

import msgspec

from stagewalk.common.identities import ModelName, RecordId
from stagewalk.node.configuration.outcomes import ChangeOutcome
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import AnyChange, encode_change
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.platform import LogRecord


def parameters(share: float = 0.5, model: str = "qari-2", bound: int = 1) -> TenantParameters:
    models = (ModelName(model),)
    return TenantParameters(models=models, capacity_share=share, staleness_bound_versions=bound)


def build(kind: str, tenant: str, partner: str, base: int, **fields: object) -> AnyChange:
    who = {"operator": "layla", "partner": partner, "tenant": tenant, "base_revision": base}
    values = msgspec.to_builtins({"kind": kind, **who, **fields})
    return msgspec.convert(values, AnyChange)  # type: ignore[no-any-return, call-overload]


def create(
    tenant: str = "catalogue",
    partner: str = "amman",
    base: int = 0,
    values: TenantParameters | None = None,
) -> AnyChange:
    fields = {"template": "catalogue", "parameters": values or parameters()}
    return build("create_tenant", tenant, partner, base, **fields)


def change(
    base: int,
    values: TenantParameters | None = None,
    tenant: str = "catalogue",
    partner: str = "amman",
) -> AnyChange:
    return build("change_parameters", tenant, partner, base, parameters=values or parameters())


def roll_back(base: int, to_revision: int) -> AnyChange:
    return build("roll_back", "catalogue", "amman", base, to_revision=to_revision)


def delete(base: int, tenant: str = "catalogue", partner: str = "amman") -> AnyChange:
    return build("delete_tenant", tenant, partner, base)


def log_record(offset: int, payload: bytes, record_id: str | None = None) -> LogRecord:
    return LogRecord(offset, RecordId(f"r{offset}" if record_id is None else record_id), payload)


def publish(
    fold: ConfigurationStateMachine, published: AnyChange, record_id: str | None = None
) -> ChangeOutcome:
    return fold.apply(log_record(fold.offset, encode_change(published), record_id))
