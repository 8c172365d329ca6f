"""The rate limit of a cold worker holds in any span of one second."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.gateway.cold_starts.rate import SlidingWindow

GAPS = st.lists(st.floats(0.0, 0.6), min_size=1, max_size=80)
WAITS = st.lists(st.floats(0.0, 0.9), min_size=80, max_size=80)


class SlidingWindowTests(testtools.TestCase):
    @given(GAPS, WAITS)
    def test_no_span_holds_more_however_long_requests_wait(
        self, gaps: list[float], waits: list[float]
    ) -> None:
        window = SlidingWindow(4.0)
        pending: list[tuple[float, float]] = []
        sent: list[float] = []
        now = 0.0
        for gap, wait in zip(gaps, waits, strict=False):
            now += gap
            for due, reserved in sorted(p for p in pending if p[0] <= now):
                pending.remove((due, reserved))
                if window.confirm(reserved, due):
                    sent.append(due)
            if window.has_room(now):
                pending.append((now + wait, window.reserve(now)))
        for begin in sent:
            self.assertLessEqual(sum(begin <= at < begin + 1.0 for at in sent), 4)

    def test_request_that_waited_counts_from_when_it_is_sent(self) -> None:
        window = SlidingWindow(2.0)
        late = window.reserve(0.0)
        self.assertTrue(window.confirm(late, 0.9))
        self.assertTrue(window.confirm(window.reserve(0.95), 0.95))
        self.assertFalse(window.has_room(1.1))
        self.assertTrue(window.has_room(1.95))

    def test_unconfirmed_reservation_expires_after_a_second(self) -> None:
        window = SlidingWindow(1.0)
        window.reserve(0.0)
        self.assertFalse(window.has_room(0.9))
        self.assertTrue(window.has_room(1.0))

    def test_rate_below_one_request_per_second(self) -> None:
        window = SlidingWindow(0.25)
        self.assertTrue(window.confirm(window.reserve(0.0), 0.0))
        self.assertFalse(window.has_room(3.9))
        self.assertTrue(window.has_room(4.0))
