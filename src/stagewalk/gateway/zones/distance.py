"""Distances of zones from this node. Pure.

The costs of distances in the choice of a worker are in `workers.placement_costs`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from stagewalk.common.identities import Placement


class Distance(IntEnum):
    """Distance classes in order of increasing latency."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Proximity:
    """Distances of zones, as seen from this node.

    Parameters
    ----------
    own
        Zone and region of this node.
    regions
        Region of each zone, from the settings.
    """

    def __init__(self, own: Placement, regions: Mapping[str, str]) -> None:
        self._own = own
        self._regions = {**regions, own.zone: own.region}

    @property
    def own(self) -> Placement:
        """Return the zone and region of this node."""
        return self._own

    def region_of(self, zone: str) -> str | None:
        """Return a zone's region, None for a zone that the settings don't name."""
        return self._regions.get(zone)

    def distance(self, zone: str) -> Distance:
        """Return the distance of a zone; a zone of unknown region counts as in the same region."""
        if zone == self._own.zone:
            return Distance.SAME_ZONE
        known = self._regions.get(zone, self._own.region)
        return Distance.SAME_REGION if known == self._own.region else Distance.OTHER_REGION
