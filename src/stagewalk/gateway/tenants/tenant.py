"""A tenant as operators publish it.

Owns the type; `tenants.key_table` holds the tenants in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ANONYMOUS = ""
"""Tenant of a call without a known key, on a route that requires none."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """Who may call, and with which keys.

    Attributes
    ----------
    keys
        Left out of the representation: a key must come into no log and no error.
    priority
        0 is the most urgent; None: that of the route.
    allowed_regions
        Where its requests may be served, stored and cached; empty: anywhere.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()
