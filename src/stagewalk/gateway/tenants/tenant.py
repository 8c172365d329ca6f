"""A tenant as operators publish it."""

from __future__ import annotations

from dataclasses import dataclass, field

ANONYMOUS = ""
"""Tenant name of a call without a known key on a public route."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant with its keys, priority and regions.

    Attributes
    ----------
    keys
        Left out of `repr`, so that no key appears in logs or errors.
    priority
        0 is the most urgent; None: the priority of the route.
    allowed_regions
        Regions in which its requests may be served, stored and cached; empty: all.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()
