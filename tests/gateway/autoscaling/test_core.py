"""How many workers are ordered in which zones, and how orders without effect are repeated."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.gateway.autoscaling.core import (
    NONE_LEFT_SECONDS,
    REPEAT_MARGIN_SECONDS,
    SETTLE_SECONDS,
    Autoscaler,
    ScalingPolicy,
)
from stagewalk.gateway.autoscaling.demand import PEAK_RETENTION_SECONDS, Demand
from stagewalk.gateway.ports.duties import DutyOutcome, WorkerGroup, WorkerOrder
from stagewalk.gateway.routes.route import Scaling, Service
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

BOOT = 4.0
SERVICE = Service("s", Scaling(1, 6, BOOT, 0.2, {"z1": 1.0, "z2": 0.8, "z3": 1.25}))
REGULAR = {zone: WorkerGroup("s", zone, False) for zone in ("z1", "z2", "z3")}
SPOT = {zone: WorkerGroup("s", zone, True) for zone in ("z1", "z2", "z3")}


def workers(**by_zone: int) -> list[Worker]:
    return [
        Worker(announcement(f"{zone}-{n}", zone=zone, slots=8), 0.0)
        for zone, count in by_zone.items()
        for n in range(count)
    ]


class AutoscalerTests(testtools.TestCase):
    def make_autoscaler(self, places: float = 1.0, spot: bool = True) -> Autoscaler:
        scaler = Autoscaler(ScalingPolicy(True, places, spot))
        self.apply_orders(scaler, self.decide(scaler, workers(z1=2, z2=2, z3=1), 0, 0.0), 0.0)
        self.apply_orders(
            scaler, self.decide(scaler, workers(z1=2, z2=2, z3=1), 0, SETTLE_SECONDS), 5.0
        )
        return scaler

    def decide(
        self, scaler: Autoscaler, listed: list[Worker], items: int, now: float
    ) -> list[WorkerOrder]:
        return scaler.decide([SERVICE], listed, {"s": items}, now)

    def apply_orders(
        self,
        scaler: Autoscaler,
        orders: list[WorkerOrder],
        now: float,
        outcome: DutyOutcome = DutyOutcome.DONE,
    ) -> dict[WorkerGroup, int]:
        for order in orders:
            scaler.apply_planned_order(order)
            scaler.sent(order, outcome, now)
        return {order.group: order.count for order in orders}

    def test_the_baseline_is_ordered_once_its_count_has_settled(self) -> None:
        scaler = Autoscaler(ScalingPolicy(True, 0.0, True))
        listed = workers(z1=2, z2=2, z3=1)
        self.assertEqual([], self.decide(scaler, listed, 0, 0.0))
        orders = self.apply_orders(scaler, self.decide(scaler, listed, 0, SETTLE_SECONDS), 4.0)
        self.assertEqual({REGULAR["z1"]: 2, REGULAR["z2"]: 2, REGULAR["z3"]: 1}, orders)
        self.assertEqual([], self.decide(scaler, listed, 0, 30.0))

    def test_missing_slots_are_ordered_as_spot_workers_in_cheap_zones_first(self) -> None:
        scaler = self.make_autoscaler()
        orders = self.decide(scaler, workers(z1=2, z2=2, z3=1), 5 * 8 + 25, 10.0)
        self.assertEqual(
            {SPOT["z2"]: 2, SPOT["z1"]: 1, SPOT["z3"]: 1}, self.apply_orders(scaler, orders, 10.0)
        )

    def test_evacuated_zones_count_no_slots_and_get_no_orders(self) -> None:
        scaler = self.make_autoscaler()
        listed = workers(z2=2, z3=1)
        evacuated = scaler.decide([SERVICE], listed, {"s": 5 * 8}, 20.0, {"z1"})
        self.assertEqual(2, sum(order.count for order in evacuated))
        self.assertNotIn("z1", {order.group.zone for order in evacuated})
        self.apply_orders(scaler, evacuated, 20.0)
        again = scaler.decide([SERVICE], listed, {"s": 5 * 8}, 40.0, {"z1"})
        self.assertNotIn("z1", {order.group.zone for order in again})

    def test_no_zone_gets_more_than_its_maximum(self) -> None:
        scaler = self.make_autoscaler()
        orders = self.apply_orders(
            scaler, self.decide(scaler, workers(z1=2, z2=2, z3=1), 900, 10.0), 10.0
        )
        self.assertEqual({SPOT["z1"]: 4, SPOT["z2"]: 4, SPOT["z3"]: 5}, orders)

    def test_regular_workers_are_ordered_if_spot_is_off(self) -> None:
        scaler = self.make_autoscaler(spot=False)
        orders = self.decide(scaler, workers(z1=2, z2=2, z3=1), 5 * 8 + 8, 10.0)
        self.assertEqual([WorkerOrder(REGULAR["z2"], 3)], orders)

    def test_workers_are_ordered_elsewhere_while_a_zone_has_none(self) -> None:
        scaler = self.make_autoscaler()
        listed = workers(z1=2, z2=2, z3=1)
        orders = self.decide(scaler, listed, 5 * 8 + 8, 10.0)
        self.assertEqual([WorkerOrder(SPOT["z2"], 1)], orders)
        self.apply_orders(scaler, orders, 10.0, DutyOutcome.CONFLICT)
        self.assertEqual([WorkerOrder(SPOT["z1"], 1)], self.decide(scaler, listed, 48, 10.5))

    def test_workers_that_do_not_appear_in_time_are_ordered_again(self) -> None:
        scaler = self.make_autoscaler()
        listed = workers(z1=2, z2=2, z3=1)
        self.apply_orders(scaler, self.decide(scaler, listed, 48, 10.0), 10.0)
        waited = 10.0 + BOOT + REPEAT_MARGIN_SECONDS
        self.assertEqual([], self.decide(scaler, listed, 48, waited - 0.1))
        self.assertEqual([WorkerOrder(SPOT["z2"], 1)], self.decide(scaler, listed, 48, waited))

    def test_reclaimed_spot_workers_are_replaced_by_regular_ones(self) -> None:
        scaler = self.make_autoscaler()
        listed = workers(z1=2, z2=2, z3=1)
        self.apply_orders(scaler, self.decide(scaler, listed, 5 * 8 + 24, 10.0), 10.0)
        spot = [self.spot("z1"), self.spot("z2"), self.spot("z3")]
        self.assertEqual([], self.decide(scaler, listed + spot, 5 * 8 + 24, 15.0))
        spot[1] = self.spot("z2", draining=True)
        orders = self.decide(scaler, listed + spot, 5 * 8 + 24, 16.0)
        self.assertEqual({REGULAR["z2"]: 3}, self.apply_orders(scaler, orders, 16.0))
        grown = workers(z1=2, z2=3, z3=1)
        self.assertEqual([], self.decide(scaler, grown + spot, 5 * 8 + 24, 40.0))
        orders = self.decide(scaler, grown, 0, 40.0 + 2.0 * PEAK_RETENTION_SECONDS)
        self.assertEqual(2, self.apply_orders(scaler, orders, 300.0)[REGULAR["z2"]])

    def test_a_new_lease_holder_releases_no_workers_before_it_knows_the_demand(self) -> None:
        scaler = Autoscaler(ScalingPolicy(True, 1.0, True))
        for zone, counts in (("z1", (2, 4)), ("z2", (2, 4)), ("z3", (1, 1))):
            for count in counts:
                scaler.apply_planned_order(WorkerOrder(REGULAR[zone], count))
        listed = workers(z1=4, z2=4, z3=1)
        for now in (0.0, SETTLE_SECONDS, PEAK_RETENTION_SECONDS - 1.0):
            self.assertEqual([], self.decide(scaler, listed, 0, now))
        orders = self.decide(scaler, listed, 0, PEAK_RETENTION_SECONDS)
        self.assertEqual([WorkerOrder(REGULAR["z1"], 2), WorkerOrder(REGULAR["z2"], 2)], orders)

    def test_regular_workers_are_kept_beside_new_spot_ones(self) -> None:
        scaler = Autoscaler(ScalingPolicy(True, 1.0, True))
        for count in (2, 4):
            scaler.apply_planned_order(WorkerOrder(REGULAR["z1"], count))
        listed = workers(z1=4)
        self.decide(scaler, listed, 0, 0.0)
        orders = self.decide(scaler, listed, 4 * 8 + 16, SETTLE_SECONDS)
        self.assertEqual({SPOT["z1"]: 1, SPOT["z2"]: 1}, self.apply_orders(scaler, orders, 5.0))

    def spot(self, zone: str, draining: bool = False) -> Worker:
        entry = announcement(f"spot-{zone}", zone=zone, slots=8, draining=draining)
        return Worker(replace(entry, spot=True), 0.0)

    def test_lost_and_draining_workers_are_restored(self) -> None:
        scaler = self.make_autoscaler(places=0.0)
        listed = workers(z1=2, z2=2, z3=1)
        listed[0] = Worker(announcement("z1-0", zone="z1", slots=8, draining=True), 0.0)
        self.assertEqual([], self.decide(scaler, listed, 0, 40.0))
        later = 40.0 + REPEAT_MARGIN_SECONDS
        self.assertEqual([WorkerOrder(REGULAR["z1"], 2)], self.decide(scaler, listed, 0, later))

    def test_a_successor_keeps_the_stored_baseline(self) -> None:
        scaler = Autoscaler(ScalingPolicy(True, 0.0, True))
        for zone, count in (("z1", 2), ("z2", 2), ("z3", 1)):
            scaler.apply_planned_order(WorkerOrder(REGULAR[zone], count))
        listed = workers(z2=2, z3=1)
        self.decide(scaler, listed, 0, 0.0)
        self.assertEqual(
            [WorkerOrder(REGULAR["z1"], 2)], self.decide(scaler, listed, 0, SETTLE_SECONDS)
        )

    def test_a_failed_order_is_retried(self) -> None:
        scaler = self.make_autoscaler()
        listed = workers(z1=2, z2=2, z3=1)
        orders = self.decide(scaler, listed, 48, 10.0)
        self.apply_orders(scaler, orders, 10.0, DutyOutcome.UNKNOWN)
        self.assertEqual([], self.decide(scaler, listed, 48, 10.5))
        self.assertEqual(orders, self.decide(scaler, listed, 48, 10.0 + NONE_LEFT_SECONDS))

    def test_nothing_is_ordered_without_scaling_or_if_disabled(self) -> None:
        plain = Service("s")
        scaler = Autoscaler(ScalingPolicy(True, 1.0, True))
        self.assertEqual([], scaler.decide([plain], workers(z1=1), {"s": 99}, 9.0))
        off = Autoscaler(ScalingPolicy(False, 1.0, True))
        self.assertEqual([], off.decide([SERVICE], workers(z1=1), {"s": 99}, 9.0))


class DemandTests(testtools.TestCase):
    def test_a_peak_counts_for_the_retention_time(self) -> None:
        demand = Demand()
        for now, items in ((0.0, 5), (1.0, 9), (2.0, 3), (3.0, 4)):
            demand.record(items, now)
        self.assertEqual(9, demand.peak)
        demand.record(2, 1.0 + PEAK_RETENTION_SECONDS + 0.1)
        self.assertEqual(4, demand.peak)
        demand.record(1, 4.0 * PEAK_RETENTION_SECONDS)
        self.assertEqual(1, demand.peak)
