"""Validates the items of a submission and their score calls before any of it is accepted.

The caller passes in the routes in force.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.http_syntax import field_name_fault, field_value_fault, target_fault
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.routes.route import RouteKind
from stagewalk.gateway.scoring.core import RouteLookup

CONNECTION_HEADERS = frozenset(
    {"connection", "expect", "host", "te", "trailer", "transfer-encoding", "upgrade"}
)
"""Headers that concern one connection or are set for each request, so no item can have them."""


def find_unsendable(items: Sequence[BatchItem]) -> StagewalkError | None:
    """Return the error of the first item that can't be sent to a worker, None if all can."""
    for number, item in enumerate(items):
        for field, fault in _faults(item):
            if fault is not None:
                return _invalid(f"item {item.item!r}: {field} {fault}", f"items[{number}].{field}")
    return None


def _faults(item: BatchItem) -> Iterator[tuple[str, str | None]]:
    """Yield each field of an item that is sent in a request's head, and what is wrong with it."""
    yield "id", field_value_fault(item.item) if item.item else "is empty"
    yield "path", target_fault(item.path)
    for name, value in item.headers:
        field = f"headers[{name!r}]"
        yield field, field_name_fault(name) or field_value_fault(value)
        if name.lower() in CONNECTION_HEADERS:
            yield field, "concerns the connection to the worker, not the item"
    call = item.score_call
    if call is not None:
        yield "score_call.id", field_value_fault(call.call) if call.call else "is empty"
        yield "score_call.host", field_value_fault(call.host)
        yield "score_call.path", target_fault(call.path)


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
            detail = f"no route in force takes {call.host}{call.path}"
            return _invalid(detail, f"items[{number}].score_call.path")
    return None


def _invalid(detail: str, field: str) -> StagewalkError:
    return StagewalkError(
        ErrorKind.INVALID_REQUEST, ErrorStep.VALIDATION, "caller", detail, field=field
    )
