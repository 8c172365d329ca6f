"""Applies a tenant's parameters to a request: version bounds and non-repeatable classes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from stagewalk.common.identities import WeightVersion
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.core.completions import CompletionRequest


def apply_parameters(request: CompletionRequest, parameters: TenantParameters) -> CompletionRequest:
    """Return the request with its tenant's version bounds and non-repeatable classes applied."""
    repeatable = request.repeatable and (
        request.request_class not in parameters.non_repeatable_classes
    )
    return replace(
        request,
        repeatable=repeatable,
        minimum_version=_stricter_bound(max, request.minimum_version, parameters.minimum_version),
        maximum_version=_stricter_bound(min, request.maximum_version, parameters.maximum_version),
    )


def _stricter_bound(
    choose: Callable[[WeightVersion, WeightVersion], WeightVersion],
    one: WeightVersion | None,
    other: WeightVersion | None,
) -> WeightVersion | None:
    if one is None or other is None:
        return other if one is None else one
    return choose(one, other)
