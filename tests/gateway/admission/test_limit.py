"""The concurrency limit: decrease, increase and reset."""

from __future__ import annotations

import testtools

from stagewalk.gateway.admission.limit import REFUSAL_DECREASE_FACTOR, ConcurrencyLimit

SLOTS = 18
SECONDS = 0.04


def make_limit(refusals: int = 0, in_flight: int = 20) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.set_slots(SLOTS)
    limit.note_holding_time(SECONDS)
    for n in range(refusals):
        limit.record_refused(in_flight, n * 0.1)
    return limit


class LimitTests(testtools.TestCase):
    def test_initially_all_slots_are_available(self) -> None:
        self.assertTrue(make_limit().has_place(SLOTS, 0.0))

    def test_a_refusal_by_a_full_worker_multiplies_the_limit(self) -> None:
        before, after = make_limit().value, make_limit(1, in_flight=30).value
        self.assertEqual(REFUSAL_DECREASE_FACTOR * before, after)

    def test_refusals_at_one_moment_count_once(self) -> None:
        limit = make_limit(1)
        before = limit.value
        limit.record_refused(20, 0.01)
        self.assertEqual(before, limit.value)

    def test_answers_without_congestion_increase_the_limit_additively(self) -> None:
        limit = make_limit(4)
        before = limit.value
        for n in range(round(before)):
            limit.record_answered(SECONDS, 0.0, int(limit.value), 1.0 + n * SECONDS)
        self.assertGreater(limit.value, before + 0.3)
        self.assertLess(limit.value, before + 1.0)

    def test_a_queue_at_the_worker_decreases_the_limit_only_if_this_node_uses_it(self) -> None:
        limit = make_limit()
        limit.record_answered(SECONDS, 0.8, 2, 1.0)
        self.assertEqual(make_limit().value, limit.value)
        limit.record_answered(SECONDS, 0.8, 20, 1.0)
        self.assertLess(limit.value, make_limit().value)

    def test_slow_answers_decrease_the_limit(self) -> None:
        limit = make_limit()
        for n in range(30):
            limit.record_answered(SECONDS, 0.0, 20, n * 0.1)
        for n in range(30):
            limit.record_answered(3.0 * SECONDS, 0.0, 20, 3.0 + n * 0.1)
        self.assertLess(limit.value, make_limit().value)

    def test_a_limit_below_one_sets_an_interval_between_starts(self) -> None:
        limit = make_limit(12, in_flight=1)
        self.assertLess(limit.value, 1.0)
        limit.record_started(10.0)
        self.assertFalse(limit.has_place(1, 10.0))
        self.assertFalse(limit.has_place(0, 10.0 + 0.9 * SECONDS))
        self.assertTrue(limit.has_place(0, limit.next_start_at))

    def test_three_requests_per_second_are_never_delayed(self) -> None:
        limit = make_limit()
        for n in range(60):
            at = n / 3.0
            self.assertTrue(limit.has_place(0, at))
            limit.record_started(at)
            limit.record_refused(1, at + SECONDS)

    def test_the_limit_is_reset_after_five_seconds_without_congestion(self) -> None:
        limit = make_limit(12)
        at = 12 * 0.1
        limit.reset_if_uncongested(at + 3.0)
        self.assertLess(limit.value, make_limit().value)
        limit.reset_if_uncongested(at + 5.1)
        self.assertEqual(make_limit().value, limit.value)
