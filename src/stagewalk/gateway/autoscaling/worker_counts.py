"""Distributes workers beyond the baseline over zones, as regular or spot workers. Pure.

Inputs are the baseline of each zone, earlier orders and their outcomes, and how many workers are
missing for the demand.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterator, Mapping
from dataclasses import dataclass

from stagewalk.gateway.ports.duties import WorkerGroup
from stagewalk.gateway.routes.route import Scaling


@dataclass(slots=True)
class GroupState:
    """Regular or spot workers of one service and zone. Times are of the steady clock.

    Attributes
    ----------
    present, since
        Workers listed and not draining, and since when this count is unchanged.
    baseline
        Workers present when the service was first seen, None until their count has settled.
    ordered, ordered_at
        Count of the latest order, and when it was sent.
    not_before
        No order is sent before this time: the zone had no workers available, or a call failed.
    """

    present: int = 0
    since: float = -math.inf
    baseline: int | None = None
    ordered: int | None = None
    ordered_at: float = -math.inf
    not_before: float = -math.inf

    def update(self, present: int, now: float) -> None:
        """Set how many are present now."""
        if present != self.present:
            self.present, self.since = present, now


@dataclass(frozen=True, slots=True)
class ExtraWorkers:
    """Inputs of one scaling decision for a service.

    Parameters
    ----------
    baseline
        Baseline workers by zone.
    state
        Returns the state of a group.
    spot
        Whether missing workers are ordered as spot workers.
    evacuated
        Evacuated zones: what was ordered there is kept, and nothing is added.
    now
        Steady time, in seconds.
    """

    service: str
    scaling: Scaling
    baseline: Mapping[str, int]
    state: Callable[[WorkerGroup], GroupState]
    spot: bool
    evacuated: Container[str]
    now: float

    def counts(self, missing: int) -> dict[WorkerGroup, int]:
        """Return how many workers beyond the baseline each group should have.

        Workers that were ordered are kept while they are needed, regular and spot. Further missing
        ones are of one kind and spread evenly, cheap zones first.
        """
        counts: dict[WorkerGroup, int] = {}
        for group in self._groups():
            ordered = self._ordered_beyond_baseline(group)
            if group.zone in self.evacuated:
                counts[group] = max(0, ordered)
                continue
            counts[group] = max(0, min(ordered, missing))
            missing -= counts[group]
        self._spread(counts, missing)
        return counts

    def _groups(self) -> Iterator[WorkerGroup]:
        """Yield regular groups before spot groups, each by ascending zone price."""
        for spot in (False, True):
            for zone in self._zones():
                yield WorkerGroup(self.service, zone, spot)

    def _zones(self) -> list[str]:
        prices = self.scaling.zone_prices
        return sorted(prices, key=lambda zone: prices[zone])

    def _ordered_beyond_baseline(self, group: WorkerGroup) -> int:
        state = self.state(group)
        ordered = state.ordered or 0
        if not group.spot:
            return ordered - self.baseline[group.zone]
        # Reclaimed spot workers are not replaced by spot workers.
        return ordered if self.spot else min(ordered, state.present)

    def _spread(self, counts: dict[WorkerGroup, int], missing: int) -> None:
        """Add missing workers one by one, each to the available group with the lowest count."""
        candidates = [WorkerGroup(self.service, zone, self.spot) for zone in self._zones()]
        for _ in range(missing):
            available_groups = [group for group in candidates if self._is_available(group, counts)]
            if not available_groups:
                return
            counts[min(available_groups, key=lambda group: counts[group])] += 1

    def _is_available(self, group: WorkerGroup, counts: Mapping[WorkerGroup, int]) -> bool:
        """Return whether one more worker of a group may be ordered."""
        if group.zone in self.evacuated or self.now < self.state(group).not_before:
            return False
        both = (WorkerGroup(self.service, group.zone, spot) for spot in (False, True))
        in_zone = self.baseline[group.zone] + sum(counts[kind] for kind in both)
        return in_zone < self.scaling.most
