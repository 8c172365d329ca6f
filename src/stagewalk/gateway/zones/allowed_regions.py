"""In which regions a request may be served, stored and cached. Pure.

Owns the rule by which the regions that routes and tenants allow are combined.
"""

from __future__ import annotations

from collections.abc import Collection

AllowedRegions = frozenset[str] | None
"""None: any region, also one that the settings don't name."""


def allowed_regions(*stated: Collection[str]) -> AllowedRegions:
    """Return the regions that all parties allow.

    Parameters
    ----------
    stated
        The regions that each party (a route, a tenant) states; none: it allows any region.
    """
    binding = [frozenset(regions) for regions in stated if regions]
    return frozenset.intersection(*binding) if binding else None


def allows(allowed: AllowedRegions, region: str | None) -> bool:
    """Whether a region is allowed; an unknown one only if any region is."""
    return allowed is None or (region is not None and region in allowed)
