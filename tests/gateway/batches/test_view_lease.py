"""Items start only from a view recent enough to show their batch's end in time."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.view_lease import (
    LOOP_LAG_SECONDS,
    maximum_view_age,
    maximum_view_age_at_send,
)
from stagewalk.gateway.ports.workers import MAXIMUM_SEND_DELAY_SECONDS


class LongestViewAgeTests(testtools.TestCase):
    def test_what_is_sent_from_the_oldest_view_arrives_within_the_bound(self) -> None:
        bound = 3.0
        self.assertLessEqual(
            maximum_view_age(bound) + MAXIMUM_SEND_DELAY_SECONDS + LOOP_LAG_SECONDS, bound
        )
        self.assertGreater(maximum_view_age(bound), 0.0)

    def test_an_item_with_a_delayed_send_is_checked_at_the_send(self) -> None:
        bound = 3.0
        self.assertLessEqual(maximum_view_age_at_send(bound) + LOOP_LAG_SECONDS, bound)
        twice = maximum_view_age(bound) + 2.0 * MAXIMUM_SEND_DELAY_SECONDS
        self.assertGreater(twice, maximum_view_age_at_send(bound))
        self.assertEqual(0.0, maximum_view_age_at_send(LOOP_LAG_SECONDS / 2.0))

    def test_a_bound_shorter_than_a_send_lets_nothing_start_from_an_old_view(self) -> None:
        self.assertEqual(0.0, maximum_view_age(MAXIMUM_SEND_DELAY_SECONDS / 2.0))
