"""Seeded simulations: the crashing request is quarantined soon, and few others are refused."""

from __future__ import annotations

import testtools

from tests.gateway.quarantine.loads import STRATEGIES, Load, Outcome

SEEDS = range(4)
MAXIMUM_LATE_CALLS = 3
"""Calls of the crashing request that may reach workers three seconds after the third crash."""

CHOSEN_STRATEGY = STRATEGIES[-1]
WITHOUT_PUBLISHING = STRATEGIES[0]


def run_loads(strategy=CHOSEN_STRATEGY, **faults: float) -> list[Outcome]:
    return [Load(strategy, seed, **faults).run() for seed in SEEDS]


class SeededLoadTests(testtools.TestCase):
    def check_bound(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            self.assertLessEqual(outcome.late_calls, MAXIMUM_LATE_CALLS)
            self.assertGreaterEqual(outcome.crashed, 3)

    def test_no_other_request_is_refused(self) -> None:
        outcomes = run_loads()
        self.check_bound(outcomes)
        self.assertEqual(0, sum(outcome.refused for outcome in outcomes))

    def test_no_other_request_is_refused_if_one_worker_crashes_repeatedly(self) -> None:
        outcomes = run_loads(worker_crash_interval=5.0)
        self.check_bound(outcomes)
        self.assertEqual(0, sum(outcome.refused for outcome in outcomes))

    def test_few_other_requests_are_refused_if_all_workers_are_lost_repeatedly(self) -> None:
        """Half of all requests are of one popular content."""
        outcomes = run_loads(rack_loss_interval=9.0)
        self.check_bound(outcomes)
        refused = sum(outcome.refused for outcome in outcomes)
        self.assertLess(refused, 0.05 * sum(outcome.requests for outcome in outcomes))

    def test_load_detects_nodes_that_do_not_publish_crashes(self) -> None:
        self.assertGreater(
            max(outcome.late_calls for outcome in run_loads(WITHOUT_PUBLISHING)), MAXIMUM_LATE_CALLS
        )
