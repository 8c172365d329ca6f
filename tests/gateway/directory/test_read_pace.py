"""A node reads as often as what it does needs."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.read_pace import (
    LISTED_PACE,
    OLDEST_VIEW_SECONDS,
    REPLICA_PACE,
    RESTING_PACE,
    read_pace,
)
from stagewalk.gateway.partitioned_log.freshness import OUTAGE_GAP_SECONDS

SHORTEST_DRAIN_SECONDS = 2.0
"""Shortest bound of any site on how long a leaving worker may still get work."""


class ReadPaceTests(testtools.TestCase):
    def test_by_role(self) -> None:
        self.assertIs(REPLICA_PACE, read_pace(following=True, listed=False))
        self.assertIs(LISTED_PACE, read_pace(following=False, listed=True))
        self.assertIs(RESTING_PACE, read_pace(following=False, listed=False))

    def test_resting_is_no_outage(self) -> None:
        self.assertLess(RESTING_PACE.workers_pause + 0.5, OUTAGE_GAP_SECONDS)

    def test_no_view_that_is_served_from_is_as_old_as_a_worker_may_still_get_work(self) -> None:
        self.assertLess(OLDEST_VIEW_SECONDS, SHORTEST_DRAIN_SECONDS)
        self.assertLess(RESTING_PACE.workers_pause, SHORTEST_DRAIN_SECONDS)
