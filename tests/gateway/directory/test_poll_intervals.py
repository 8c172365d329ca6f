"""A node reads as often as what it does needs."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.poll_intervals import (
    IDLE_POLL_INTERVALS,
    LISTED_POLL_INTERVALS,
    OLDEST_VIEW_SECONDS,
    REPLICA_POLL_INTERVALS,
    poll_intervals,
)
from stagewalk.gateway.partitioned_log.freshness import OUTAGE_GAP_SECONDS

MINIMUM_DRAIN_SECONDS = 2.0
"""Shortest bound of any site on how long a leaving worker may still get work."""


class ReadPaceTests(testtools.TestCase):
    def test_by_role(self) -> None:
        self.assertIs(REPLICA_POLL_INTERVALS, poll_intervals(following=True, listed=False))
        self.assertIs(LISTED_POLL_INTERVALS, poll_intervals(following=False, listed=True))
        self.assertIs(IDLE_POLL_INTERVALS, poll_intervals(following=False, listed=False))

    def test_resting_is_no_outage(self) -> None:
        self.assertLess(IDLE_POLL_INTERVALS.workers_pause_seconds + 0.5, OUTAGE_GAP_SECONDS)

    def test_no_view_that_is_served_from_is_as_old_as_a_worker_may_still_get_work(self) -> None:
        self.assertLess(OLDEST_VIEW_SECONDS, MINIMUM_DRAIN_SECONDS)
        self.assertLess(IDLE_POLL_INTERVALS.workers_pause_seconds, MINIMUM_DRAIN_SECONDS)
