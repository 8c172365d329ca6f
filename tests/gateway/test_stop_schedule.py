"""A stopping gateway closes its listeners in time, and serves only what ends in time."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.stop_times import StopTimes
from stagewalk.gateway.stop_schedule import DURATION_MARGIN, UNAWARE_SECONDS, StopSchedule

DRAIN_SECONDS, LINGER_SECONDS = 3.5, 0.5


def schedule(grace_seconds: float = 8.0) -> StopSchedule:
    return StopSchedule(StopTimes(100.0, grace_seconds), DRAIN_SECONDS, LINGER_SECONDS)


class ListenerTests(testtools.TestCase):
    @given(st.floats(min_value=1.0, max_value=600.0))
    def test_listeners_close_early_enough_for_any_grace(self, grace: float) -> None:
        stop = schedule(grace)
        self.assertLessEqual(100.0, stop.listeners_close_at)
        self.assertLessEqual(stop.listeners_close_at + LINGER_SECONDS, stop.times.requests_end_at)

    def test_listeners_stay_open_while_callers_may_still_come(self) -> None:
        for grace in (8.0, 12.0, 60.0):
            self.assertEqual(100.0 + DRAIN_SECONDS, schedule(grace).listeners_close_at)


class ServedDuringStopTests(testtools.TestCase):
    def test_a_request_whose_deadline_lies_within_the_schedule_is_always_served(self) -> None:
        stop = schedule()
        for arrived_at in (100.0, 103.4, stop.times.requests_end_at):
            self.assertTrue(stop.serves(arrived_at, stop.times.requests_end_at, None))
            self.assertTrue(stop.serves(arrived_at, stop.times.requests_end_at, 1_000.0))

    def test_a_longer_deadline_is_refused_if_nothing_is_known_of_the_route(self) -> None:
        stop = schedule()
        self.assertFalse(stop.serves(100.0, stop.times.requests_end_at + 0.1, None))

    def test_usual_durations_count_only_while_callers_cannot_know_of_the_stop(self) -> None:
        stop, aware_at = schedule(), 100.0 + UNAWARE_SECONDS
        self.assertTrue(stop.serves(aware_at, 115.0, 1.0))
        self.assertFalse(stop.serves(aware_at + 0.1, 115.0, 1.0))

    def test_a_route_whose_requests_may_outlast_the_schedule_is_refused(self) -> None:
        stop = schedule()
        left = stop.times.requests_end_at - 100.0
        self.assertTrue(stop.serves(100.0, 200.0, left / DURATION_MARGIN - 0.01))
        self.assertFalse(stop.serves(100.0, 200.0, left / DURATION_MARGIN + 0.01))
