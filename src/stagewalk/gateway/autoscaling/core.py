"""Decides which workers to order. Pure.

Inputs: listed workers, open items by service, evacuated zones, earlier orders, and the time in
seconds of the steady clock. Rule: workers that were there when the service was first seen are
restored if they are lost. Beyond them, enough are ordered that each item of the open batches has a
place at once: an item that waits for one makes its step late, and a step late makes its trainer
wait. These are of the cheaper kind (spot) if the settings say so, and spread over the zones, since
the platform reclaims a whole zone's at a time.
"""

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
answer may have been lost, or an older order carried out after it. Chosen, not measured."""

NONE_LEFT_SECONDS = 3.0
"""A zone that has no workers to give is asked again after this time; until then others are asked.
Chosen, not measured."""

RECLAIM_MEMORY_SECONDS = 600.0
"""After spot workers were reclaimed, ordinary ones are ordered in their place for so long: where
that happens it happens again, a whole zone at a time, and for some seconds there are none to be
had. Chosen, not measured."""

RETRY_SECONDS = 1.0
"""A zone is asked again so long after any other failure. Chosen, not measured."""


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
        Whether workers beyond those found may be of the kind that the platform may reclaim.
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


@dataclass(frozen=True, slots=True)
class _Situation:
    """One service as it is decided on.

    Attributes
    ----------
    now
        Seconds of the steady clock.
    evacuated
        Zones in which nothing is ordered or given back.
    """

    service: str
    scaling: Scaling
    now: float
    evacuated: Container[str]

    def group(self, zone: str, *, spot: bool) -> WorkerGroup:
        """Return the group of a zone and kind."""
        return WorkerGroup(self.service, zone, spot)

    def groups(self, spot: bool | None = None) -> list[WorkerGroup]:
        """Return the groups of a kind, cheap zones first; of both, ordinary ones first."""
        prices = self.scaling.zone_prices
        zones = sorted(prices, key=lambda zone: prices[zone])
        kinds = (False, True) if spot is None else (spot,)
        return [self.group(zone, spot=kind) for kind in kinds for zone in zones]


@dataclass(slots=True)
class Autoscaler:
    """State of each group of workers, and the orders that follow from it."""

    policy: ScalingPolicy
    _groups: dict[WorkerGroup, _Group] = field(default_factory=dict)
    _demands: dict[str, Demand] = field(default_factory=dict)
    _watched_since: dict[str, float] = field(default_factory=dict)
    """By service, since when this process has watched its demand."""
    _reclaimed_at: dict[str, float] = field(default_factory=dict)
    """By service, when spot workers were last being reclaimed."""

    def planned(self, order: WorkerOrder) -> None:
        """Apply an order that a holder of the lease wrote down, this one or one before it."""
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
            demand.add(open_items.get(service.name, 0), now)
            self._count(service.name, service.scaling, own, now)
            situation = _Situation(service.name, service.scaling, now, evacuated)
            targets = self._targets(situation, own, demand.peak)
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

    def _group(self, group: WorkerGroup) -> _Group:
        return self._groups.setdefault(group, _Group())

    def _count(self, service: str, scaling: Scaling, workers: Sequence[Worker], now: float) -> None:
        """Count the workers of each group that serve."""
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
        self, scaling: Scaling, targets: Mapping[WorkerGroup, int], now: float
    ) -> list[WorkerOrder]:
        """Return the orders that are due to bring groups to their targets."""
        orders = [WorkerOrder(group, count) for group, count in sorted(targets.items())]
        return [order for order in orders if self._due(order, scaling, now)]

    def _targets(
        self, situation: _Situation, workers: Sequence[Worker], peak: int
    ) -> dict[WorkerGroup, int]:
        """Return how many workers each group should have; empty while none were found."""
        found = {
            zone: self._group(situation.group(zone, spot=False)).found
            for zone in situation.scaling.zone_prices
        }
        if all(count is None for count in found.values()):
            return {}
        base = {zone: count or 0 for zone, count in found.items()}
        slots = max((w.announcement.slots for w in workers), default=1)
        needed = math.ceil(peak * self.policy.places_per_item / max(1, slots))
        serving = sum(count for zone, count in base.items() if zone not in situation.evacuated)
        extra = self._extra(situation, base, max(0, needed - serving))
        return {
            group: count + (0 if group.spot else base[group.zone])
            for group, count in extra.items()
            if group.spot or found[group.zone] is not None
        }

    def _extra(
        self, situation: _Situation, base: Mapping[str, int], missing: int
    ) -> dict[WorkerGroup, int]:
        """Return how many workers beyond those found each group should have.

        What was ordered is kept while it is needed, whichever kind it is; what is missing besides
        is of one kind, spread evenly, cheap zones first.

        Parameters
        ----------
        base
            By zone, workers that were found.
        missing
            Workers needed beyond those found outside of evacuated zones.
        """
        extra: dict[WorkerGroup, int] = {}
        spot = self._uses_spot(situation)
        for group in situation.groups():
            beyond = self._ordered_beyond(group, base, keeps_spot=spot)
            if group.zone in situation.evacuated:
                extra[group] = beyond
            else:
                extra[group] = min(beyond, missing)
                missing -= extra[group]
        for _ in range(missing):
            groups = [
                g for g in situation.groups(spot) if self._may_grow(g, situation, base, extra)
            ]
            if not groups:
                break
            extra[min(groups, key=lambda group: extra[group])] += 1
        return extra

    def _ordered_beyond(
        self, group: WorkerGroup, base: Mapping[str, int], *, keeps_spot: bool
    ) -> int:
        """Return how many workers were ordered of a group beyond those found."""
        known = self._group(group)
        ordered = known.ordered or 0
        if not group.spot:
            return max(0, ordered - base[group.zone])
        # Spot workers that the platform reclaimed don't return.
        return max(0, ordered if keeps_spot else min(ordered, known.present))

    def _may_grow(
        self,
        group: WorkerGroup,
        situation: _Situation,
        base: Mapping[str, int],
        extra: Mapping[WorkerGroup, int],
    ) -> bool:
        """Whether one more worker of a group may be ordered now."""
        if group.zone in situation.evacuated or situation.now < self._group(group).not_before:
            return False
        both = (situation.group(group.zone, spot=spot) for spot in (False, True))
        return base[group.zone] + sum(extra[kind] for kind in both) < situation.scaling.most

    def _uses_spot(self, situation: _Situation) -> bool:
        """Whether further workers are of the cheaper kind: none was reclaimed lately."""
        reclaimed_at = self._reclaimed_at.get(situation.service, -math.inf)
        calm = situation.now - reclaimed_at > RECLAIM_MEMORY_SECONDS
        return self.policy.spot and situation.scaling.spot_price is not None and calm

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
