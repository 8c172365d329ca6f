"""The rate of calls follows the load and forgets it."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.call_rate import CallRate


class CallRateTests(testtools.TestCase):
    def test_it_comes_near_a_steady_load(self) -> None:
        rate = CallRate(0.0)
        for second in range(1, 11):
            for _ in range(40):
                rate.count()
            told = rate.end_interval(float(second))
        self.assertTrue(39.9 < told <= 40.0)

    def test_it_forgets_a_load_that_is_over(self) -> None:
        rate = CallRate(0.0)
        for _ in range(100):
            rate.count()
        told = [rate.end_interval(float(second)) for second in range(1, 9)]
        self.assertEqual(sorted(told, reverse=True), told)
        self.assertLess(told[-1], 0.5)

    def test_two_announcements_at_one_instant_lose_no_call(self) -> None:
        rate = CallRate(0.0)
        rate.count()
        rate.end_interval(0.0)
        self.assertGreater(rate.end_interval(1.0), 0.0)
