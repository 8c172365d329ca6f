"""Combines the regions in which routes and tenants allow requests to be served and stored. Pure."""

from __future__ import annotations

from collections.abc import Collection

AllowedRegions = frozenset[str] | None
"""None allows any region, including those that the settings don't name."""


def allowed_regions(*stated: Collection[str]) -> AllowedRegions:
    """Return the regions that all parties allow, None if none of them restricts regions.

    Parameters
    ----------
    stated
        The regions allowed by each party, such as a route or a tenant; empty: any region.
    """
    binding = [frozenset(regions) for regions in stated if regions]
    return frozenset.intersection(*binding) if binding else None


def allows(allowed: AllowedRegions, region: str | None) -> bool:
    """Whether a region is allowed; an unknown region is allowed only if any region is."""
    return allowed is None or (region is not None and region in allowed)
