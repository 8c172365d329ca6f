"""Typed parameters of templates and tenants, checked by `msgspec` on decoding."""

from __future__ import annotations

from typing import Annotated

import msgspec

from stagewalk.core.identities import ModelName, TenantName, WeightVersion

Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0)]


class TenantParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What operators set for a tenant.

    Attributes
    ----------
    models
        Models the tenant may use; each is served by one pool of engines.
    minimum_version, maximum_version
        Pins of the weight versions that may serve the tenant; `None` leaves that side open.
    staleness_bound_versions
        Most versions a delivered sample may lag behind the version its trainer's pull names.
    staleness_bound_seconds
        Oldest age of a delivered sample since its version was superseded; `None` for no bound.
    non_repeatable_classes
        Request classes that are executed at most once, whatever the request itself says.
    capacity_share
        Guaranteed share of the pool's capacity; unused share is lent to others.
    idle_weight
        Objective: 1 weighs only trainer idle time, 0 only staleness.
    allow_mixed_versions
        Whether one answer may be produced by several versions (each span is named).
    retention_seconds
        How long claims and retained answers are kept.
    """

    models: tuple[ModelName, ...]
    minimum_version: WeightVersion | None = None
    maximum_version: WeightVersion | None = None
    staleness_bound_versions: NonNegativeInteger = 1
    staleness_bound_seconds: Seconds | None = None
    non_repeatable_classes: tuple[str, ...] = ()
    capacity_share: Share = 0.5
    idle_weight: Fraction = 0.5
    allow_mixed_versions: bool = True
    retention_seconds: Seconds = 3600.0


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant in force: owned by one partner, at one revision (1 at its creation)."""

    name: TenantName
    partner: str
    template: str
    revision: int
    parameters: TenantParameters
