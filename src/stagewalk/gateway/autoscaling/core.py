"""Decides which workers to order, and when to repeat an order. Pure.

Workers that were there when the service was first seen are restored if they are lost. Beyond them,
enough are ordered that each item of the open batches has a place at once: an item that waits for
one makes its step late, and a late step makes its trainer wait. These are of the cheaper kind if
the settings say so, and spread over the zones, since the platform takes a whole zone's away at a
time.

Owns what was found and ordered in each group, and when workers were taken away; relies on
`autoscaling.demand` for the peak of open items, on `worker_counts` for the counts, and on its
caller for storing and sending orders.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.autoscaling.demand import PEAK_RETENTION_SECONDS, Demand
from stagewalk.gateway.autoscaling.worker_counts import ExtraWorkers, GroupState
from stagewalk.gateway.ports.duties import DutyOutcome, WorkerGroup, WorkerOrder
from stagewalk.gateway.routes.route import Scaling, Service
from stagewalk.gateway.workers.worker import Worker

SETTLE_SECONDS = 4.0
"""How long a group's count must stay the same to be what was found: workers that start together are
listed within 2 s of each other, doubled."""

REPEAT_MARGIN_SECONDS = 3.0
"""An order whose workers are not listed this long after their time to boot is sent again: its
answer may have been lost, or an older order carried out after it."""

NONE_LEFT_SECONDS = 3.0
"""A zone that has none to give is asked again after this time; meanwhile others are asked."""

SPOT_AVOIDANCE_SECONDS = 600.0
"""After workers were taken away, ordinary ones are ordered in their place for this long: where that
happens it happens again, a whole zone at a time, and for some seconds there are none to be had."""

RETRY_SECONDS = 1.0
"""A zone is asked again this long after any other failure."""


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Settings of what is ordered.

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
class Autoscaler:
    """Workers of each group, orders sent, and the demand of each service."""

    policy: ScalingPolicy
    _groups: dict[WorkerGroup, GroupState] = field(default_factory=dict)
    _demands: dict[str, Demand] = field(default_factory=dict)
    _watched_since: dict[str, float] = field(default_factory=dict)
    """By service, since when this process has watched its demand."""
    _reclaimed_at: dict[str, float] = field(default_factory=dict)
    """By service, when workers of the cheaper kind were last being taken away."""

    def apply_planned_order(self, order: WorkerOrder) -> None:
        """Apply an order that a holder of the lease stored, this one or one before it."""
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
        evacuated: Container[str] = (),
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
        evacuated
            Zones whose workers get nothing: they count for no place, and none are ordered or given
            back there.
        """
        if not self.policy.enabled:
            return []
        orders: list[WorkerOrder] = []
        for service in services:
            if service.scaling is None:
                continue
            own = [w for w in workers if w.announcement.service == service.name]
            self._watched_since.setdefault(service.name, now)
            demand = self._demands.setdefault(service.name, Demand())
            demand.record(open_items.get(service.name, 0), now)
            self._count(service.name, service.scaling, own, now)
            targets = self._targets(
                service.name, service.scaling, own, demand.peak, now=now, evacuated=evacuated
            )
            staying = {g: count for g, count in targets.items() if g.zone not in evacuated}
            orders += self._orders(service.scaling, staying, now)
        return orders

    def sent(self, order: WorkerOrder, outcome: DutyOutcome, now: float) -> None:
        """Record the outcome of an order."""
        group = self._group(order.group)
        group.ordered_at = now
        if outcome is DutyOutcome.CONFLICT:
            group.not_before = now + NONE_LEFT_SECONDS
            group.ordered = group.present
        elif outcome is not DutyOutcome.DONE:
            group.not_before = now + RETRY_SECONDS
            group.ordered_at = -math.inf

    def _group(self, group: WorkerGroup) -> GroupState:
        return self._groups.setdefault(group, GroupState())

    def _count(self, service: str, scaling: Scaling, workers: Sequence[Worker], now: float) -> None:
        """Record how many workers of each group serve."""
        announcements = [worker.announcement for worker in workers]
        counts = Counter((a.zone, a.spot) for a in announcements if not a.draining)
        for zone in scaling.zone_prices:
            for spot in (False, True):
                group = self._group(WorkerGroup(service, zone, spot))
                group.update(counts[(zone, spot)], now)
                settled = group.present > 0 and now - group.since >= SETTLE_SECONDS
                if not spot and settled and group.present > (group.ordered or 0):
                    group.found = group.present
        if any(a.spot and a.draining for a in announcements):
            self._reclaimed_at[service] = now

    def _orders(
        self, scaling: Scaling, targets: Mapping[WorkerGroup, int], now: float
    ) -> list[WorkerOrder]:
        """Return orders for the groups whose count differs from the target."""
        orders = [WorkerOrder(group, count) for group, count in sorted(targets.items())]
        return [order for order in orders if self._due(order, scaling, now)]

    def _targets(
        self,
        service: str,
        scaling: Scaling,
        workers: Sequence[Worker],
        peak: int,
        *,
        now: float,
        evacuated: Container[str],
    ) -> dict[WorkerGroup, int]:
        found = {
            zone: self._group(WorkerGroup(service, zone, False)).found
            for zone in scaling.zone_prices
        }
        if all(count is None for count in found.values()):
            return {}
        base = {zone: count or 0 for zone, count in found.items()}
        slots = max((w.announcement.slots for w in workers), default=1)
        needed = math.ceil(peak * self.policy.places_per_item / max(1, slots))
        serving = sum(count for zone, count in base.items() if zone not in evacuated)
        missing = max(0, needed - serving)
        extra = ExtraWorkers(
            service=service,
            scaling=scaling,
            found=base,
            state=self._group,
            spot=self._uses_spot(service, scaling, now),
            evacuated=evacuated,
            now=now,
        ).counts(missing)
        return {
            group: count + (0 if group.spot else base[group.zone])
            for group, count in extra.items()
            if group.spot or found[group.zone] is not None
        }

    def _uses_spot(self, service: str, scaling: Scaling, now: float) -> bool:
        """Return whether missing workers are of the cheaper kind: none was taken away lately."""
        calm = now - self._reclaimed_at.get(service, -math.inf) > SPOT_AVOIDANCE_SECONDS
        return self.policy.spot and scaling.spot_price is not None and calm

    def _knows_demand(self, group: WorkerGroup, now: float) -> bool:
        """Return whether the demand was watched long enough to give workers back.

        A new holder of the lease has seen no peak yet.
        """
        return now - self._watched_since[group.service] >= PEAK_RETENTION_SECONDS

    def _due(self, order: WorkerOrder, scaling: Scaling, now: float) -> bool:
        """Return whether an order is to be sent: it is new, or its workers did not appear."""
        group = self._group(order.group)
        gives_back = order.count < (group.ordered or 0)
        if now < group.not_before or (gives_back and not self._knows_demand(order.group, now)):
            return False
        if order.count != group.ordered and (order.count > 0 or group.ordered):
            return True
        repeat_at = group.ordered_at + scaling.boot_seconds + REPEAT_MARGIN_SECONDS
        lost = group.present < order.count and now - group.since >= REPEAT_MARGIN_SECONDS
        return lost and now >= repeat_at
