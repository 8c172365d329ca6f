"""How many workers beyond those found each group should have. Pure.

Inputs are the workers found in each zone, what was ordered before, and how many are missing for the
demand. Owns the rule that spreads the missing ones; relies on `autoscaling.core` for the demand and
for the outcome of earlier orders.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterator, Mapping
from dataclasses import dataclass

from stagewalk.gateway.ports.duties import WorkerGroup
from stagewalk.gateway.routes.route import Scaling


@dataclass(slots=True)
class GroupState:
    """Workers of a service and zone, of one kind. Times are of the steady clock.

    Attributes
    ----------
    present
        Workers listed and not draining, and since when there are so many.
    found
        Workers that were there when the service was first seen, None until their count has settled.
    ordered, ordered_at
        The newest order, and when it was sent.
    not_before
        Until then none is ordered: the zone had none to give, or a call failed.
    """

    present: int = 0
    since: float = -math.inf
    found: int | None = None
    ordered: int | None = None
    ordered_at: float = -math.inf
    not_before: float = -math.inf

    def update(self, present: int, now: float) -> None:
        """Set how many are listed now."""
        if present != self.present:
            self.present, self.since = present, now


@dataclass(frozen=True, slots=True)
class ExtraWorkers:
    """Inputs of one decision for a service.

    Parameters
    ----------
    found
        By zone, workers found at first.
    state
        Returns what is known of a group.
    spot
        Whether missing workers are of the cheaper kind.
    evacuated
        Zones that keep what was ordered there and get nothing more.
    now
        Steady time, in seconds.
    """

    service: str
    scaling: Scaling
    found: Mapping[str, int]
    state: Callable[[WorkerGroup], GroupState]
    spot: bool
    evacuated: Container[str]
    now: float

    def counts(self, missing: int) -> dict[WorkerGroup, int]:
        """Return how many workers beyond those found each group should have.

        What was ordered is kept while it is needed, of either kind; what is missing besides is of
        one kind, spread evenly, cheap zones first.
        """
        counts: dict[WorkerGroup, int] = {}
        for group in self._groups():
            ordered = self._ordered_beyond_found(group)
            if group.zone in self.evacuated:
                counts[group] = max(0, ordered)
                continue
            counts[group] = max(0, min(ordered, missing))
            missing -= counts[group]
        self._spread(counts, missing)
        return counts

    def _groups(self) -> Iterator[WorkerGroup]:
        """Yield ordinary groups before the cheaper kind, and cheap zones before others."""
        for spot in (False, True):
            for zone in self._zones():
                yield WorkerGroup(self.service, zone, spot)

    def _zones(self) -> list[str]:
        prices = self.scaling.zone_prices
        return sorted(prices, key=lambda zone: prices[zone])

    def _ordered_beyond_found(self, group: WorkerGroup) -> int:
        state = self.state(group)
        ordered = state.ordered or 0
        if not group.spot:
            return ordered - self.found[group.zone]
        # Workers of the cheaper kind that were taken away are not replaced by their like.
        return ordered if self.spot else min(ordered, state.present)

    def _spread(self, counts: dict[WorkerGroup, int], missing: int) -> None:
        """Add missing workers one by one, each to the open group with the fewest."""
        candidates = [WorkerGroup(self.service, zone, self.spot) for zone in self._zones()]
        for _ in range(missing):
            open_groups = [group for group in candidates if self._is_open(group, counts)]
            if not open_groups:
                return
            counts[min(open_groups, key=lambda group: counts[group])] += 1

    def _is_open(self, group: WorkerGroup, counts: Mapping[WorkerGroup, int]) -> bool:
        """Return whether a group's zone may be asked for one more worker."""
        if group.zone in self.evacuated or self.now < self.state(group).not_before:
            return False
        both = (WorkerGroup(self.service, group.zone, spot) for spot in (False, True))
        in_zone = self.found[group.zone] + sum(counts[kind] for kind in both)
        return in_zone < self.scaling.most
