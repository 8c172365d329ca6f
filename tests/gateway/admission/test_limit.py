"""The bound on what is under way: how it shrinks, grows, and is given up."""

from __future__ import annotations

import testtools

from stagewalk.gateway.admission.limit import REFUSAL_DECREASE_FACTOR, ConcurrencyLimit

SLOTS = 18
SECONDS = 0.04


def learned(refusals: int = 0, in_flight: int = 20) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.set_slots(SLOTS)
    limit.note_holding_time(SECONDS)
    for n in range(refusals):
        limit.record_refused(in_flight, n * 0.1)
    return limit


class LimitTests(testtools.TestCase):
    def test_it_begins_with_all_slots(self) -> None:
        self.assertTrue(learned().has_place(SLOTS, 0.0))

    def test_a_full_workers_refusal_shrinks_it_by_a_factor(self) -> None:
        before, after = learned().value, learned(1, in_flight=30).value
        self.assertEqual(REFUSAL_DECREASE_FACTOR * before, after)

    def test_refusals_at_one_moment_count_once(self) -> None:
        limit = learned(1)
        before = limit.value
        limit.record_refused(20, 0.01)
        self.assertEqual(before, limit.value)

    def test_answers_without_queues_let_it_grow_by_addition(self) -> None:
        limit = learned(4)
        before = limit.value
        for n in range(round(before)):
            limit.record_answered(SECONDS, 0.0, int(limit.value), 1.0 + n * SECONDS)
        self.assertGreater(limit.value, before + 0.3)
        self.assertLess(limit.value, before + 1.0)

    def test_a_queue_at_the_worker_shrinks_it_only_if_this_node_fills_it(self) -> None:
        limit = learned()
        limit.record_answered(SECONDS, 0.8, 2, 1.0)
        self.assertEqual(learned().value, limit.value)
        limit.record_answered(SECONDS, 0.8, 20, 1.0)
        self.assertLess(limit.value, learned().value)

    def test_answers_that_take_twice_the_shortest_time_shrink_it(self) -> None:
        limit = learned()
        for n in range(30):
            limit.record_answered(SECONDS, 0.0, 20, n * 0.1)
        for n in range(30):
            limit.record_answered(3.0 * SECONDS, 0.0, 20, 3.0 + n * 0.1)
        self.assertLess(limit.value, learned().value)

    def test_below_one_it_spaces_starts_in_time(self) -> None:
        limit = learned(12, in_flight=1)
        self.assertLess(limit.value, 1.0)
        limit.record_started(10.0)
        self.assertFalse(limit.has_place(1, 10.0))
        self.assertFalse(limit.has_place(0, 10.0 + 0.9 * SECONDS))
        self.assertTrue(limit.has_place(0, limit.next_start_at))

    def test_three_requests_a_second_are_never_held_up(self) -> None:
        limit = learned()
        for n in range(60):
            at = n / 3.0
            self.assertTrue(limit.has_place(0, at))
            limit.record_started(at)
            limit.record_refused(1, at + SECONDS)

    def test_it_is_given_up_after_five_seconds_without_congestion(self) -> None:
        limit = learned(12)
        at = 12 * 0.1
        limit.forget(at + 3.0)
        self.assertLess(limit.value, learned().value)
        limit.forget(at + 5.1)
        self.assertEqual(learned().value, limit.value)
