"""Typed parameters of templates and tenants, validated by `msgspec` on decoding.

This is also the stored form of a tenant, which other nodes and releases read.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stagewalk.common.identities import ModelName, TenantName, WeightVersion

MAXIMUM_JSON_INTEGER = 2**53 - 1
"""Largest integer that every JSON reader represents exactly."""

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
"""Pattern of the names of tenants, partners, operators, templates, models and classes."""

Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_JSON_INTEGER)]
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
TenantNameField = Annotated[TenantName, msgspec.Meta(pattern=NAME_PATTERN)]
ModelNameField = Annotated[ModelName, msgspec.Meta(pattern=NAME_PATTERN)]
VersionField = Annotated[WeightVersion, msgspec.Meta(ge=0, le=MAXIMUM_JSON_INTEGER)]


class TenantParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Parameters that operators set for a tenant.

    Attributes
    ----------
    models
        Models the tenant may use; each is served by one pool of engines.
    minimum_version, maximum_version
        Pins of the weight versions that may serve the tenant; `None` leaves that side open.
    staleness_bound_versions
        Maximum number of versions by which a delivered sample may lag behind the version that
        its trainer's pull names.
    staleness_bound_seconds
        Maximum time since the version of a delivered sample was superseded; `None` for no bound.
    non_repeatable_classes
        Request classes that are executed at most once, regardless of the request.
    capacity_share
        Guaranteed share of the pool's capacity; unused share is lent to others.
    idle_weight
        Weight of trainer idle time against staleness: 1 is only idle time, 0 only staleness.
    allow_mixed_versions
        Whether one answer may be produced by several versions (each span is named).
    retention_seconds
        How long claims and retained answers are kept.
    """

    models: Annotated[tuple[ModelNameField, ...], msgspec.Meta(min_length=1, max_length=8)]
    minimum_version: VersionField | None = None
    maximum_version: VersionField | None = None
    staleness_bound_versions: NonNegativeInteger = 1
    staleness_bound_seconds: Seconds | None = None
    non_repeatable_classes: Annotated[tuple[Name, ...], msgspec.Meta(max_length=16)] = ()
    capacity_share: Share = 0.5
    idle_weight: Fraction = 0.5
    allow_mixed_versions: bool = True
    retention_seconds: Seconds = 3600.0


class ParameterFault(msgspec.Struct, frozen=True):
    """A value that is valid by itself but contradicts another one."""

    field: str
    detail: str


def parameters_fault(parameters: TenantParameters) -> ParameterFault | None:
    """Return the first contradiction within a tenant's parameters, or None."""
    if len(set(parameters.models)) != len(parameters.models):
        return ParameterFault("models", "a model is listed twice")
    minimum = parameters.minimum_version
    maximum = parameters.maximum_version
    if minimum is not None and maximum is not None and minimum > maximum:
        return ParameterFault("maximum_version", "it is smaller than minimum_version")
    return None


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant in force, with its owning partner and its revision (1 at its creation)."""

    name: TenantName
    partner: str
    template: str
    revision: int
    parameters: TenantParameters
