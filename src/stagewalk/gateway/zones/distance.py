"""How far a zone is from this node. Pure.

Owns the map of zones to regions. What a distance costs a choice is in `workers.placement_costs`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from stagewalk.common.identities import Placement


class Distance(IntEnum):
    """Places of increasing latency."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2
    """In another region."""


class Proximity:
    """Where this node is among the zones.

    Parameters
    ----------
    own
        Where this node is.
    regions
        By zone, its region, from the settings.
    """

    def __init__(self, own: Placement, regions: Mapping[str, str]) -> None:
        self._own = own
        self._regions = {**regions, own.zone: own.region}

    @property
    def own(self) -> Placement:
        """Return where this node is."""
        return self._own

    def region_of(self, zone: str) -> str | None:
        """Return a zone's region, None for a zone that the settings don't name."""
        return self._regions.get(zone)

    def distance(self, zone: str) -> Distance:
        """Return how far a zone is; one of an unknown region counts as near."""
        if zone == self._own.zone:
            return Distance.SAME_ZONE
        known = self._regions.get(zone, self._own.region)
        return Distance.SAME_REGION if known == self._own.region else Distance.OTHER_REGION
