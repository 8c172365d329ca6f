"""Validates the score calls of a submission before any of it is accepted.

The caller passes in the routes in force.
"""

from __future__ import annotations

from collections.abc import Sequence

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.routes.route import RouteKind
from stagewalk.gateway.scoring.core import RouteLookup


def find_unroutable_score(
    items: Sequence[BatchItem], route_of: RouteLookup
) -> StagewalkError | None:
    """Return the error of the first score call without a route in force, None if all have one.

    A call may be sent more than once, so only routes whose requests may be repeated count.
    """
    checked: set[tuple[str, str]] = set()
    for number, item in enumerate(items):
        call = item.score_call
        if call is None or (call.host, call.path) in checked:
            continue
        checked.add((call.host, call.path))
        route = route_of(call.host, call.path)
        if route is None or route.kind is not RouteKind.REPEATABLE:
            return StagewalkError(
                ErrorKind.INVALID_REQUEST,
                ErrorStep.VALIDATION,
                "caller",
                f"no route in force takes {call.host}{call.path}",
                field=f"items[{number}].score_call.path",
            )
    return None
