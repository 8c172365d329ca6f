"""Smoothing of the rate of calls."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.call_rate import CallRate


class CallRateTests(testtools.TestCase):
    def test_it_converges_to_a_steady_load(self) -> None:
        rate = CallRate(0.0)
        for second in range(1, 11):
            for _ in range(40):
                rate.count()
            measured = rate.end_interval(float(second))
        self.assertTrue(39.9 < measured <= 40.0)

    def test_it_decays_after_the_load_has_ended(self) -> None:
        rate = CallRate(0.0)
        for _ in range(100):
            rate.count()
        measured = [rate.end_interval(float(second)) for second in range(1, 9)]
        self.assertEqual(sorted(measured, reverse=True), measured)
        self.assertLess(measured[-1], 0.5)

    def test_an_interval_of_zero_length_loses_no_call(self) -> None:
        rate = CallRate(0.0)
        rate.count()
        rate.end_interval(0.0)
        self.assertGreater(rate.end_interval(1.0), 0.0)
