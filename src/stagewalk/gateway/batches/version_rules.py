"""Decides which weight versions may generate an item's text. Pure.

The limits are the batch's `minimum_version` and the route's `single_version`. A version counts only
once it has generated an event: before that, weights may change or the attempt may break off.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from stagewalk.gateway.routes.route import Route


class VersionConflict(StrEnum):
    """Why an engine's weights can't be used for an item; logged as the reason of a stop."""

    TOO_OLD = "weights too old"
    CHANGED = "weights changed"
    """The text so far has another version, and the route requires a single one."""


def find_conflict(
    version: int, text_versions: Collection[int], minimum_version: int, route: Route | None
) -> VersionConflict | None:
    """Return why events of a version must not extend a text, None if they may.

    Parameters
    ----------
    made_by
        Versions that generated the text so far.
    """
    if version < minimum_version:
        return VersionConflict.TOO_OLD
    mixed = len({version, *text_versions}) > 1
    if mixed and _needs_single(route):
        return VersionConflict.CHANGED
    return None


def may_reuse(text_versions: Collection[int], minimum_version: int, route: Route | None) -> bool:
    """Whether text generated earlier, by some versions, may be reused in a batch."""
    if any(version < minimum_version for version in text_versions):
        return False
    return len(text_versions) <= 1 or not _needs_single(route)


def _needs_single(route: Route | None) -> bool:
    return route is not None and route.single_version
