"""The crashing request is found and others are served, over seeded loads on a virtual clock."""

from __future__ import annotations

import testtools

from tests.gateway.quarantine.loads import WAYS, Load, Outcome

SEEDS = range(4)
MOST_LATE_TRIES = 3
"""Tries that may reach workers later than three seconds after the third end."""

KEPT = WAYS[-1]
LONE = WAYS[0]


def outcomes(way=KEPT, **faults: float) -> list[Outcome]:
    return [Load(way, seed, **faults).run() for seed in SEEDS]


class SeededLoadTests(testtools.TestCase):
    def check_bound(self, played: list[Outcome]) -> None:
        for outcome in played:
            self.assertLessEqual(outcome.late_tries, MOST_LATE_TRIES)
            self.assertGreaterEqual(outcome.crashed, 3)

    def test_nothing_else_is_refused(self) -> None:
        played = outcomes()
        self.check_bound(played)
        self.assertEqual(0, sum(outcome.refused for outcome in played))

    def test_nothing_else_is_refused_where_one_worker_ends_again_and_again(self) -> None:
        played = outcomes(ill_seconds=5.0)
        self.check_bound(played)
        self.assertEqual(0, sum(outcome.refused for outcome in played))

    def test_little_is_refused_where_all_workers_are_lost_again_and_again(self) -> None:
        """0.6 % over 60 seeds, where one popular request is half of all; 27 % by plain counting."""
        played = outcomes(rack_losses=9.0)
        self.check_bound(played)
        refused = sum(outcome.refused for outcome in played)
        self.assertLess(refused, 0.05 * sum(outcome.requests for outcome in played))

    def test_the_load_shows_nodes_that_tell_nobody(self) -> None:
        self.assertGreater(max(outcome.late_tries for outcome in outcomes(LONE)), MOST_LATE_TRIES)
