"""Decides which weight versions may make an item's text. Pure.

Owns no state. Relies on the batch's `minimum_version` and on the route's `single_version`.
A version counts only once an event was made under it: weights may change, or the attempt may
break off, before the first one.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from stagewalk.gateway.routes.route import Route


class VersionConflict(StrEnum):
    """Why an engine's weights don't fit an item; logged as the reason of a stop."""

    TOO_OLD = "weights too old"
    CHANGED = "weights changed"
    """The text so far was made under other weights, and the route wants one version a text."""


def find_conflict(
    version: int, made_by: Collection[int], minimum_version: int, route: Route | None
) -> VersionConflict | None:
    """Return why events of a version must not follow those held, None if they may.

    Parameters
    ----------
    made_by
        Versions that made the events held.
    """
    if version < minimum_version:
        return VersionConflict.TOO_OLD
    mixed = len({version, *made_by}) > 1
    if mixed and _needs_single(route):
        return VersionConflict.CHANGED
    return None


def may_reuse(made_by: Collection[int], minimum_version: int, route: Route | None) -> bool:
    """Whether text that was made before, by some versions, may be used in a batch."""
    if any(version < minimum_version for version in made_by):
        return False
    return len(made_by) <= 1 or not _needs_single(route)


def _needs_single(route: Route | None) -> bool:
    return route is not None and route.single_version
