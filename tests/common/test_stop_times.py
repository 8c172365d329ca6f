"""No part of a planned stop outlasts the grace period, and requests get most of it."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.stop_times import StopTimes

SERVED_SHARE = 5.0 / 6.0
"""The platform's contract: a request that ends within this share of the grace period isn't cut."""


class StopTimesTests(testtools.TestCase):
    @given(st.floats(min_value=0.1, max_value=600.0))
    def test_every_part_ends_in_order_and_within_the_grace(self, grace: float) -> None:
        stop = StopTimes(100.0, grace)
        self.assertLess(stop.requests_end_at, stop.connections_close_at)
        self.assertLess(stop.connections_close_at, stop.cleanup_ends_at)
        self.assertLess(stop.cleanup_ends_at, 100.0 + grace)
        self.assertGreaterEqual(stop.requests_end_at, 100.0 + SERVED_SHARE * grace)
