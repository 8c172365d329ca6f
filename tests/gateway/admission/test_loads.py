"""Simulated overload: latency, fairness and rejections as callers see them.

Three workers with six slots take 0.04 s for a request, which is a capacity of 450 requests per
second. Callers have a target of 0.4 s and retry as told within their timeout of 2 s.
"""

from __future__ import annotations

from functools import cache

import testtools

from tests.gateway.admission.play import (
    Call,
    Simulation,
    by_tenant,
    longest_refused_wait,
    percentile,
    served_share,
)

CAPACITY_PER_SECOND = 450.0
TARGET_SECONDS = 0.4
MAXIMUM_REFUSED_WAIT = TARGET_SECONDS / 8.0
TENANTS = [f"t{n}" for n in range(72)]
SHARE_PER_SECOND = CAPACITY_PER_SECOND / len(TENANTS)


def p99_of_served_tries(calls: list[Call]) -> float:
    return percentile((c.served_at - c.tried_at for c in calls if c.served_at is not None), 0.99)


@cache
def double_capacity_demand(nodes: int, timeout: float = 2.0) -> list[Call]:
    simulation = Simulation(nodes=nodes)
    simulation.demand(TENANTS, 2.0 * SHARE_PER_SECOND, 0.0, 10.0, timeout=timeout)
    simulation.run(10.0 + timeout)
    return simulation.calls


@cache
def beside_burst(nodes: int, burst: float) -> list[Call]:
    """Return the calls of 71 tenants while another one asks for a multiple of its share."""
    simulation = Simulation(nodes=nodes)
    simulation.demand(TENANTS[1:], 0.7 * SHARE_PER_SECOND, 0.0, 10.0)
    simulation.demand(TENANTS[:1], burst * SHARE_PER_SECOND, 0.0, 10.0)
    simulation.run(12.0)
    return [call for call in simulation.calls if call.tenant != TENANTS[0]]


@cache
def two_workers_lost(nodes: int) -> list[Call]:
    """Lose two of three workers from second 4 to second 9."""
    simulation = Simulation(nodes=nodes)
    simulation.demand(TENANTS, 0.7 * SHARE_PER_SECOND, 0.0, 15.0)

    def lose(lost: int) -> None:
        for n, worker in enumerate(simulation.workers):
            worker.lost = n < lost

    simulation.after(4.0, lambda: lose(2))
    simulation.after(9.0, lambda: lose(0))
    simulation.run(17.0)
    return simulation.calls


class DoubleCapacityTests(testtools.TestCase):
    def test_capacity_is_used_and_answers_are_within_the_target(self) -> None:
        for nodes in (1, 4):
            calls = double_capacity_demand(nodes)
            self.assertGreater(served_share(calls), 0.5)
            self.assertLess(p99_of_served_tries(calls), TARGET_SECONDS)

    def test_who_is_refused_hears_of_it_within_an_eighth_of_the_target(self) -> None:
        for nodes in (1, 4):
            calls = double_capacity_demand(nodes)
            self.assertLess(longest_refused_wait(calls), MAXIMUM_REFUSED_WAIT)

    def test_most_of_the_capacity_goes_to_answers_within_the_target(self) -> None:
        calls = double_capacity_demand(4)
        in_target = served_share(calls, TARGET_SECONDS) * len(calls)
        self.assertGreater(in_target, 0.7 * CAPACITY_PER_SECOND * 10.0)

    def test_tenants_get_equal_shares(self) -> None:
        shares = [served_share(calls) for calls in by_tenant(double_capacity_demand(4)).values()]
        self.assertGreater(min(shares), 0.75 * sum(shares) / len(shares))

    def test_every_caller_is_served_before_a_long_deadline(self) -> None:
        calls = double_capacity_demand(4, timeout=20.0)
        self.assertEqual(1.0, served_share(calls))


class OneTenantsBurstTests(testtools.TestCase):
    def test_ten_times_its_share_hardly_delays_the_others(self) -> None:
        for nodes in (1, 4, 59):
            before, after = beside_burst(nodes, 0.7), beside_burst(nodes, 10.0)
            self.assertEqual(1.0, served_share(after))
            slower = p99_of_served_tries(after) - p99_of_served_tries(before)
            self.assertLess(slower, TARGET_SECONDS / 8.0)

    def test_demand_for_the_whole_capacity_costs_the_others_no_answer(self) -> None:
        calls = beside_burst(1, 72.0)
        self.assertEqual(1.0, served_share(calls, TARGET_SECONDS))


class LostWorkersTests(testtools.TestCase):
    def test_remaining_capacity_is_used_and_rejections_are_fast(self) -> None:
        for nodes in (1, 4):
            calls = two_workers_lost(nodes)
            meanwhile = [call for call in calls if 4.0 <= call.asked_at < 9.0]
            self.assertGreater(served_share(meanwhile), 1.0 / 3.0)
            self.assertLess(p99_of_served_tries(meanwhile), TARGET_SECONDS)
            self.assertLess(longest_refused_wait(calls), MAXIMUM_REFUSED_WAIT)

    def test_two_seconds_after_they_return_all_are_served_within_the_target(self) -> None:
        for nodes in (1, 4):
            calls = two_workers_lost(nodes)
            after = [call for call in calls if call.asked_at >= 11.0]
            self.assertEqual(1.0, served_share(after, TARGET_SECONDS))


class UrgencyTests(testtools.TestCase):
    def test_urgent_requests_are_served_during_overload_by_others(self) -> None:
        simulation = Simulation(nodes=4)
        simulation.demand(TENANTS[:36], SHARE_PER_SECOND, 0.0, 10.0, urgency=2)
        simulation.demand(TENANTS[36:], 3.0 * SHARE_PER_SECOND, 0.0, 10.0, urgency=7)
        simulation.run(12.0)
        urgent = [call for call in simulation.calls if call.urgency == 2]
        others = [call for call in simulation.calls if call.urgency == 7]
        self.assertGreater(served_share(urgent), 0.99)
        self.assertGreater(served_share(others), 0.2)
        self.assertLess(longest_refused_wait(simulation.calls), MAXIMUM_REFUSED_WAIT)


class FewRequestsTests(testtools.TestCase):
    def test_nodes_with_three_requests_per_second_are_not_delayed(self) -> None:
        simulation = Simulation(nodes=59)
        simulation.demand(TENANTS, 59 * 3.0 / len(TENANTS), 0.0, 20.0)
        simulation.run(22.0)
        self.assertEqual(1.0, served_share(simulation.calls, TARGET_SECONDS))
        self.assertEqual(0.0, sum(len(call.refused_waits) for call in simulation.calls))


class ManyNodesTests(testtools.TestCase):
    """59 nodes with demand for twice the capacity: each starts about seven requests per second."""

    def test_answers_are_within_the_target(self) -> None:
        calls = double_capacity_demand(59)
        self.assertGreater(served_share(calls), 0.5)
        self.assertLess(p99_of_served_tries(calls), TARGET_SECONDS)

    def test_who_is_refused_hears_of_it_within_an_eighth_of_the_target(self) -> None:
        self.assertLess(longest_refused_wait(double_capacity_demand(59)), MAXIMUM_REFUSED_WAIT)
