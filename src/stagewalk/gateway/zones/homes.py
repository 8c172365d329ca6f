"""In which regions a request may be served, stored and cached. Pure."""

from __future__ import annotations

from collections.abc import Collection

AllowedRegions = frozenset[str] | None
"""None: any region, also one that the settings don't name."""


def allowed_regions(*stated: Collection[str]) -> AllowedRegions:
    """Return the regions that all parties allow.

    Parameters
    ----------
    stated
        What each of them states (a route, a tenant); an empty one allows any region.
    """
    binding = [frozenset(regions) for regions in stated if regions]
    return frozenset.intersection(*binding) if binding else None


def allows(allowed: AllowedRegions, region: str | None) -> bool:
    """Whether a request may be in a region; an unknown one only if any region will do."""
    return allowed is None or (region is not None and region in allowed)
