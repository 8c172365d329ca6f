"""Retries of rejected callers are spread over time, urgent ones first."""

from __future__ import annotations

import random

import testtools

from stagewalk.gateway.admission.return_times import MAXIMUM_SHARE_OF_TIME_LEFT, ReturnTimes

SECONDS_PER_START = 0.01


class ReturnTimesTests(testtools.TestCase):
    def choose(self, times: ReturnTimes, urgency: int = 5, left: float = 60.0) -> float:
        return times.choose(
            urgency,
            excess_wait_seconds=0.2,
            seconds_per_start=SECONDS_PER_START,
            remaining_seconds=left,
            now=1.0,
        )

    def test_callers_rejected_together_retry_no_faster_than_they_can_start(self) -> None:
        times = ReturnTimes(random.Random(3))
        returns = sorted(self.choose(times) for _ in range(400))
        self.assertGreater(returns[0], 0.2)
        for n in range(300):
            busiest = returns[n + 100] - returns[n]
            self.assertGreater(busiest, 0.25 * 100 * SECONDS_PER_START)

    def test_urgent_callers_retry_before_the_others(self) -> None:
        times = ReturnTimes(random.Random(3))
        urgent = [self.choose(times, urgency=1) for _ in range(100)]
        others = [self.choose(times, urgency=7) for _ in range(100)]
        self.assertLess(sum(urgent), sum(others))
        self.assertGreater(min(others), 0.9 * 100 * SECONDS_PER_START)

    def test_a_caller_has_time_left_to_be_served(self) -> None:
        times = ReturnTimes(random.Random(3))
        returns = [self.choose(times, left=0.9) for _ in range(200)]
        self.assertLessEqual(max(returns), 0.9 * MAXIMUM_SHARE_OF_TIME_LEFT)
        self.assertGreater(max(returns) - min(returns), 0.1)
