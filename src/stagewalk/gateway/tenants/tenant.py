"""A tenant as operators publish it."""

from __future__ import annotations

from dataclasses import dataclass, field

ANONYMOUS = ""
"""Stands for the tenant of a call that came without a known key, on a route that asks for none."""


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
