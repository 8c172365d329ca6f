"""Decides which workers to order, and when to repeat an order. Pure.

The workers present when a service was first seen are its baseline, and are restored if lost.
More are ordered so that each item of the open batches has a slot at once, since an item that waits
for a slot delays its step and its trainer. These are spot workers if the settings allow
it, spread over the zones, since the platform reclaims all spot workers of a zone at a time.

`autoscaling.demand` tracks the peak of open items and `worker_counts` distributes the workers; the
caller stores and sends the orders.
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
"""A group's count becomes its baseline once it is unchanged for this long: workers that start
together are listed within 2 s of each other."""

REPEAT_MARGIN_SECONDS = 3.0
"""An order is repeated if its workers are not listed this long after their boot time: the call may
have been lost, or an older order executed after it."""

NONE_LEFT_SECONDS = 3.0
"""Pause after a zone had no workers available; meanwhile they are ordered in other zones."""

SPOT_AVOIDANCE_SECONDS = 600.0
"""Regular workers are ordered instead of spot workers for this long after a reclaim: more reclaims
are likely, each of a whole zone, and spot workers are then unavailable for some seconds."""

RETRY_SECONDS = 1.0
"""Pause after any other failed order."""


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Settings of the autoscaler.

    Attributes
    ----------
    enabled
        Whether workers are ordered at all.
    places_per_item
        Slots wanted for each open item; 0.0: only the baseline is restored.
    spot
        Whether workers beyond the baseline are spot workers, which the platform may reclaim.
    """

    enabled: bool
    places_per_item: float
    spot: bool


@dataclass(slots=True)
class Autoscaler:
    """Tracks the workers and orders of each group and the demand of each service."""

    policy: ScalingPolicy
    _groups: dict[WorkerGroup, GroupState] = field(default_factory=dict)
    _demands: dict[str, Demand] = field(default_factory=dict)
    _watched_since: dict[str, float] = field(default_factory=dict)
    """By service, since when this process has watched its demand."""
    _reclaimed_at: dict[str, float] = field(default_factory=dict)
    """By service, when spot workers were last seen draining."""

    def apply_planned_order(self, order: WorkerOrder) -> None:
        """Apply an order stored by the lease holder, this process or an earlier one."""
        group = self._group(order.group)
        group.ordered = order.count
        if not order.group.spot and group.baseline is None:
            group.baseline = order.count

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
            Services whose workers may be ordered.
        workers
            All listed workers.
        open_items
            By service, the items that run or wait.
        evacuated
            Evacuated zones: their workers' slots don't count, and no orders are sent for them.
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
            self._count_workers(service.name, service.scaling, own, now)
            targets = self._targets(
                service.name, service.scaling, own, demand.peak, now=now, evacuated=evacuated
            )
            serving_targets = {g: count for g, count in targets.items() if g.zone not in evacuated}
            orders += self._orders(service.scaling, serving_targets, now)
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

    def _count_workers(
        self, service: str, scaling: Scaling, workers: Sequence[Worker], now: float
    ) -> None:
        """Record how many workers of each group are listed and not draining."""
        announcements = [worker.announcement for worker in workers]
        counts = Counter((a.zone, a.spot) for a in announcements if not a.draining)
        for zone in scaling.zone_prices:
            for spot in (False, True):
                group = self._group(WorkerGroup(service, zone, spot))
                group.update(counts[(zone, spot)], now)
                settled = group.present > 0 and now - group.since >= SETTLE_SECONDS
                if not spot and settled and group.present > (group.ordered or 0):
                    group.baseline = group.present
        if any(a.spot and a.draining for a in announcements):
            self._reclaimed_at[service] = now

    def _orders(
        self, scaling: Scaling, targets: Mapping[WorkerGroup, int], now: float
    ) -> list[WorkerOrder]:
        """Return the orders for the targets that are due."""
        orders = [WorkerOrder(group, count) for group, count in sorted(targets.items())]
        return [order for order in orders if self._is_due(order, scaling, now)]

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
        baseline = {
            zone: self._group(WorkerGroup(service, zone, False)).baseline
            for zone in scaling.zone_prices
        }
        if all(count is None for count in baseline.values()):
            return {}
        baseline_counts = {zone: count or 0 for zone, count in baseline.items()}
        slots = max((w.announcement.slots for w in workers), default=1)
        needed = math.ceil(peak * self.policy.places_per_item / max(1, slots))
        serving = sum(count for zone, count in baseline_counts.items() if zone not in evacuated)
        missing = max(0, needed - serving)
        extra = ExtraWorkers(
            service=service,
            scaling=scaling,
            baseline=baseline_counts,
            state=self._group,
            spot=self._uses_spot(service, scaling, now),
            evacuated=evacuated,
            now=now,
        ).counts(missing)
        return {
            group: count + (0 if group.spot else baseline_counts[group.zone])
            for group, count in extra.items()
            if group.spot or baseline[group.zone] is not None
        }

    def _uses_spot(self, service: str, scaling: Scaling, now: float) -> bool:
        """Return whether to order spot workers: allowed, offered, and none reclaimed lately."""
        no_recent_reclaim = (
            now - self._reclaimed_at.get(service, -math.inf) > SPOT_AVOIDANCE_SECONDS
        )
        return self.policy.spot and scaling.spot_price is not None and no_recent_reclaim

    def _demand_is_known(self, group: WorkerGroup, now: float) -> bool:
        """Return whether the demand was watched long enough to release workers.

        A new lease holder has not seen earlier peaks.
        """
        return now - self._watched_since[group.service] >= PEAK_RETENTION_SECONDS

    def _is_due(self, order: WorkerOrder, scaling: Scaling, now: float) -> bool:
        """Return whether to send an order: it is new, or its workers did not appear in time."""
        group = self._group(order.group)
        releases_workers = order.count < (group.ordered or 0)
        if now < group.not_before or (
            releases_workers and not self._demand_is_known(order.group, now)
        ):
            return False
        if order.count != group.ordered and (order.count > 0 or group.ordered):
            return True
        repeat_at = group.ordered_at + scaling.boot_seconds + REPEAT_MARGIN_SECONDS
        workers_missing = group.present < order.count and now - group.since >= REPEAT_MARGIN_SECONDS
        return workers_missing and now >= repeat_at
