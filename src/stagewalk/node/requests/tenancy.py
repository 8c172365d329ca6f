"""Applies a tenant's parameters to a request: versions pinned, classes not repeatable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from stagewalk.common.identities import WeightVersion
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.core.completions import CompletionRequest


def apply_parameters(request: CompletionRequest, parameters: TenantParameters) -> CompletionRequest:
    """Return the request as its tenant's parameters make it: versions pinned, class obeyed."""
    repeatable = request.repeatable and (
        request.request_class not in parameters.non_repeatable_classes
    )
    return replace(
        request,
        repeatable=repeatable,
        minimum_version=_tighter(max, request.minimum_version, parameters.minimum_version),
        maximum_version=_tighter(min, request.maximum_version, parameters.maximum_version),
    )


def _tighter(
    choose: Callable[[WeightVersion, WeightVersion], WeightVersion],
    one: WeightVersion | None,
    other: WeightVersion | None,
) -> WeightVersion | None:
    if one is None or other is None:
        return other if one is None else one
    return choose(one, other)
