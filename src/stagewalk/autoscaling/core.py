"""Decides which workers to order. Pure.

Workers that were there when the service was first seen are restored if they are lost. Beyond
them, enough are ordered that each item of the open batches has a place at once: an item that
waits for one makes its step late, and a step late makes its trainer wait. These are of the
cheaper kind if the settings say so, and spread over the zones, since the platform takes a whole
zone's away at a time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from stagewalk.autoscaling.demand import Demand
from stagewalk.ports.duties import DutyOutcome, WorkerGroup, WorkerOrder
from stagewalk.routes.route import Scaling, Service
from stagewalk.workers.worker import Worker

SETTLE_SECONDS = 4.0
"""A group's count must have stayed the same for so long to be what was found: workers that start
together are listed within 2 s of each other."""

REPEAT_MARGIN_SECONDS = 3.0
"""An order whose workers are not listed so long after their time to boot is sent again: its
answer may have been lost, or an older order carried out after it."""

NONE_LEFT_SECONDS = 3.0
"""A zone that has none to give is asked again after this time; meanwhile others are asked."""

RETRY_SECONDS = 1.0
"""The same after any other failure."""


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """What is ordered.

    Attributes
    ----------
    enabled
        Whether anything is ordered at all.
    places_per_item
        Places for each open item beyond those of workers that were found; 0.0: none.
    spot
        Whether workers beyond those found may be taken away by the platform.
    """

    enabled: bool
    places_per_item: float
    spot: bool


@dataclass(slots=True)
class _Group:
    """Workers of a service and zone, of one kind. Times are of the steady clock."""

    present: int = 0
    since: float = -math.inf
    """Since when so many are listed."""
    found: int | None = None
    ordered: int | None = None
    ordered_at: float = -math.inf
    not_before: float = -math.inf


@dataclass(slots=True)
class Autoscaler:
    """What is known of the groups, and what is wanted of each."""

    policy: ScalingPolicy
    _groups: dict[WorkerGroup, _Group] = field(default_factory=dict)
    _demands: dict[str, Demand] = field(default_factory=dict)

    def planned(self, order: WorkerOrder) -> None:
        """Take an order that a holder of the lease wrote down, this one or one before it."""
        group = self._group(order.group)
        group.ordered = order.count
        if not order.group.spot and group.found is None:
            group.found = order.count

    def decide(
        self,
        services: Sequence[Service],
        workers: Sequence[Worker],
        open_items: Mapping[str, int],
        now: float,
    ) -> list[WorkerOrder]:
        """Return the orders to send now.

        Parameters
        ----------
        services
            Those whose workers may be ordered.
        workers
            All that are listed.
        open_items
            By service, items that run or wait to.
        """
        if not self.policy.enabled:
            return []
        orders: list[WorkerOrder] = []
        for service in services:
            if service.scaling is None:
                continue
            own = [w for w in workers if w.announcement.service == service.name]
            demand = self._demands.setdefault(service.name, Demand())
            demand.note(open_items.get(service.name, 0), now)
            self._count(service.name, service.scaling, own, now)
            orders += self._orders(service.name, service.scaling, own, demand.peak, now)
        return orders

    def sent(self, order: WorkerOrder, outcome: DutyOutcome, now: float) -> None:
        """Take what became of an order."""
        group = self._group(order.group)
        group.ordered_at = now
        if outcome is DutyOutcome.CONFLICT:
            group.not_before = now + NONE_LEFT_SECONDS
            group.ordered = group.present
        elif outcome is not DutyOutcome.DONE:
            group.not_before = now + RETRY_SECONDS
            group.ordered_at = -math.inf

    def _group(self, group: WorkerGroup) -> _Group:
        return self._groups.setdefault(group, _Group())

    def _count(self, service: str, scaling: Scaling, workers: Sequence[Worker], now: float) -> None:
        """Take how many workers of each group serve."""
        counts = Counter(
            (w.announcement.zone, w.announcement.spot)
            for w in workers
            if not w.announcement.draining
        )
        for zone in scaling.zone_prices:
            for spot in (False, True):
                group = self._group(WorkerGroup(service, zone, spot))
                if counts[(zone, spot)] != group.present:
                    group.present, group.since = counts[(zone, spot)], now
                if not spot and group.present > 0 and now - group.since >= SETTLE_SECONDS:
                    group.found = max(group.found or 0, group.present)

    def _orders(
        self, service: str, scaling: Scaling, workers: Sequence[Worker], peak: int, now: float
    ) -> list[WorkerOrder]:
        """Return orders for the groups whose count is not what is wanted."""
        wanted = self._wanted(service, scaling, workers, peak, now)
        orders = [WorkerOrder(group, count) for group, count in sorted(wanted.items())]
        return [order for order in orders if self._due(order, scaling, now)]

    def _wanted(
        self, service: str, scaling: Scaling, workers: Sequence[Worker], peak: int, now: float
    ) -> dict[WorkerGroup, int]:
        found = {
            zone: self._group(WorkerGroup(service, zone, False)).found
            for zone in scaling.zone_prices
        }
        if all(count is None for count in found.values()):
            return {}
        wanted = {
            WorkerGroup(service, zone, False): count
            for zone, count in found.items()
            if count is not None
        }
        slots = max((w.announcement.slots for w in workers), default=1)
        needed = math.ceil(peak * self.policy.places_per_item / max(1, slots))
        missing = max(0, needed - sum(wanted.values()))
        spot = self.policy.spot and scaling.spot_price is not None
        may_grow = {WorkerGroup(service, zone, spot): count or 0 for zone, count in found.items()}
        for group, count in self._spread(may_grow, scaling, missing, now).items():
            wanted[group] = wanted.get(group, 0) + count
        return wanted

    def _spread(
        self, groups: Mapping[WorkerGroup, int], scaling: Scaling, missing: int, now: float
    ) -> dict[WorkerGroup, int]:
        """Return how many more workers each group should have: evenly, cheap zones first.

        Parameters
        ----------
        groups
            By group that may be ordered from, workers that its zone has anyway.
        """
        extra: dict[WorkerGroup, int] = {}
        for group, has in groups.items():
            # What was ordered is kept while the peak holds: no worker is given back to be
            # ordered again elsewhere.
            ordered = (self._group(group).ordered or 0) - (0 if group.spot else has)
            extra[group] = max(0, min(ordered, missing))
            missing -= extra[group]
        by_price = sorted(groups, key=lambda group: scaling.zone_prices[group.zone])
        while missing > 0:
            can_have_more = [
                group
                for group in by_price
                if groups[group] + extra[group] < scaling.most
                and now >= self._group(group).not_before
            ]
            if not can_have_more:
                break
            extra[min(can_have_more, key=lambda group: extra[group])] += 1
            missing -= 1
        return extra

    def _due(self, order: WorkerOrder, scaling: Scaling, now: float) -> bool:
        """Whether an order is to be sent: it is new, or what it asked for did not come."""
        group = self._group(order.group)
        if now < group.not_before:
            return False
        if order.count != group.ordered and (order.count > 0 or group.ordered):
            return True
        repeat_at = group.ordered_at + scaling.boot_seconds + REPEAT_MARGIN_SECONDS
        lost = group.present < order.count and now - group.since >= REPEAT_MARGIN_SECONDS
        return lost and now >= repeat_at
