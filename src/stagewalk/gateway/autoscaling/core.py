"""Decides which workers to order. Pure.

Workers that were there when the service was first seen are restored if they are lost. Beyond
them, enough are ordered that each item of the open batches has a place at once: an item that
waits for one makes its step late, and a step late makes its trainer wait. These are of the
cheaper kind if the settings say so, and spread over the zones, since the platform takes a whole
zone's away at a time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.autoscaling.demand import HOLD_SECONDS, Demand
from stagewalk.gateway.ports.duties import DutyOutcome, WorkerGroup, WorkerOrder
from stagewalk.gateway.routes.route import Scaling, Service
from stagewalk.gateway.workers.worker import Worker

SETTLE_SECONDS = 4.0
"""A group's count must have stayed the same for so long to be what was found: workers that start
together are listed within 2 s of each other."""

REPEAT_MARGIN_SECONDS = 3.0
"""An order whose workers are not listed so long after their time to boot is sent again: its
answer may have been lost, or an older order carried out after it."""

NONE_LEFT_SECONDS = 3.0
"""A zone that has none to give is asked again after this time; meanwhile others are asked."""

RECLAIM_MEMORY_SECONDS = 600.0
"""After workers were taken away, ordinary ones are ordered in their place for so long: where that
happens it happens again, a whole zone at a time, and for some seconds there are none to be had."""

RETRY_SECONDS = 1.0
"""A zone is asked again so long after any other failure."""


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
    _watched_since: dict[str, float] = field(default_factory=dict)
    """By service, since when this process has watched its demand."""
    _reclaimed_at: dict[str, float] = field(default_factory=dict)
    """By service, when workers of the cheaper kind were last being taken away."""

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
            demand.note(open_items.get(service.name, 0), now)
            self._count(service.name, service.scaling, own, now)
            wanted = self._wanted(
                service.name, service.scaling, own, demand.peak, now=now, evacuated=evacuated
            )
            staying = {g: count for g, count in wanted.items() if g.zone not in evacuated}
            orders += self._orders(service.scaling, staying, now)
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
                settled = group.present > 0 and now - group.since >= SETTLE_SECONDS
                if not spot and settled and group.present > (group.ordered or 0):
                    group.found = group.present
        if any(w.announcement.spot and w.announcement.draining for w in workers):
            self._reclaimed_at[service] = now

    def _orders(
        self, scaling: Scaling, wanted: Mapping[WorkerGroup, int], now: float
    ) -> list[WorkerOrder]:
        """Return orders for the groups whose count is not what is wanted."""
        orders = [WorkerOrder(group, count) for group, count in sorted(wanted.items())]
        return [order for order in orders if self._due(order, scaling, now)]

    def _wanted(
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
        extra = self._extra(service, scaling, base, missing, now=now, evacuated=evacuated)
        return {
            group: count + (0 if group.spot else base[group.zone])
            for group, count in extra.items()
            if group.spot or found[group.zone] is not None
        }

    def _extra(
        self,
        service: str,
        scaling: Scaling,
        base: Mapping[str, int],
        missing: int,
        *,
        now: float,
        evacuated: Container[str],
    ) -> dict[WorkerGroup, int]:
        """Return how many workers beyond those found each group should have.

        What was ordered is kept while it is needed, whichever kind it is; what is missing besides
        is of one kind, spread evenly, cheap zones first."""
        zones = sorted(scaling.zone_prices, key=lambda zone: scaling.zone_prices[zone])
        spot = self._uses_spot(service, scaling, now)
        extra: dict[WorkerGroup, int] = {}
        for group in (WorkerGroup(service, zone, kind) for kind in (False, True) for zone in zones):
            known = self._group(group)
            kept = known.ordered or 0
            if group.spot and not spot:
                # Those that were taken away don't come back.
                kept = min(kept, known.present)
            beyond = kept if group.spot else kept - base[group.zone]
            if group.zone in evacuated:
                extra[group] = max(0, beyond)
                continue
            extra[group] = max(0, min(beyond, missing))
            missing -= extra[group]
        while missing > 0:
            open_groups = [
                group
                for group in (WorkerGroup(service, zone, spot) for zone in zones)
                if group.zone not in evacuated
                and self._has_room(group, scaling, base, extra)
                and now >= self._group(group).not_before
            ]
            if not open_groups:
                break
            extra[min(open_groups, key=lambda group: extra[group])] += 1
            missing -= 1
        return extra

    @staticmethod
    def _has_room(
        group: WorkerGroup,
        scaling: Scaling,
        base: Mapping[str, int],
        extra: Mapping[WorkerGroup, int],
    ) -> bool:
        """Whether a group's zone may hold one more worker of any kind."""
        both = (WorkerGroup(group.service, group.zone, spot) for spot in (False, True))
        return base[group.zone] + sum(extra[kind] for kind in both) < scaling.most

    def _uses_spot(self, service: str, scaling: Scaling, now: float) -> bool:
        """Whether more workers are of the cheaper kind: none was taken away lately."""
        calm = now - self._reclaimed_at.get(service, -math.inf) > RECLAIM_MEMORY_SECONDS
        return self.policy.spot and scaling.spot_price is not None and calm

    def _knows_demand(self, group: WorkerGroup, now: float) -> bool:
        """Whether the demand was watched long enough to give workers back.

        A new holder of the lease has seen no peak yet.
        """
        return now - self._watched_since[group.service] >= HOLD_SECONDS

    def _due(self, order: WorkerOrder, scaling: Scaling, now: float) -> bool:
        """Whether an order is to be sent: it is new, or what it asked for did not come."""
        group = self._group(order.group)
        gives_back = order.count < (group.ordered or 0)
        if now < group.not_before or (gives_back and not self._knows_demand(order.group, now)):
            return False
        if order.count != group.ordered and (order.count > 0 or group.ordered):
            return True
        repeat_at = group.ordered_at + scaling.boot_seconds + REPEAT_MARGIN_SECONDS
        lost = group.present < order.count and now - group.since >= REPEAT_MARGIN_SECONDS
        return lost and now >= repeat_at
