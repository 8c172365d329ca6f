"""Poll intervals by the roles of a node."""

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
"""Shortest time of any deployment for which a leaving worker may still get work."""


class PollIntervalTests(testtools.TestCase):
    def test_intervals_by_role(self) -> None:
        self.assertIs(REPLICA_POLL_INTERVALS, poll_intervals(following=True, listed=False))
        self.assertIs(LISTED_POLL_INTERVALS, poll_intervals(following=False, listed=True))
        self.assertIs(IDLE_POLL_INTERVALS, poll_intervals(following=False, listed=False))

    def test_the_idle_pause_is_not_taken_for_an_outage(self) -> None:
        self.assertLess(IDLE_POLL_INTERVALS.workers_pause_seconds + 0.5, OUTAGE_GAP_SECONDS)

    def test_views_are_never_older_than_the_shortest_drain_time(self) -> None:
        self.assertLess(OLDEST_VIEW_SECONDS, MINIMUM_DRAIN_SECONDS)
        self.assertLess(IDLE_POLL_INTERVALS.workers_pause_seconds, MINIMUM_DRAIN_SECONDS)
