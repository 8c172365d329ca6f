"""What arrives at a cold worker from 75 nodes together, and what each safeguard is for.

The worker's zone was evacuated, and it is cold once that is taken back. Nodes hear of it up to two
seconds later, some stand still or are cut off meanwhile, some start just then; answers of the log
are lost, connections come up late.
"""

from __future__ import annotations

from unittest import mock

import testtools

from stagewalk.gateway.cold_starts import core, leases
from stagewalk.gateway.cold_starts.leases import ColdLeases
from tests.gateway.cold_starts.senders import RATE, World

SEEDS = range(24)
FEWER_SEEDS = range(6)
BOUND = 1.5 * RATE + 5
"""What a worker's operators allow: half as much again as it withstands, and five."""

JITTER = 1
"""Requests of the span before may arrive a few milliseconds late."""


class SharedBoundTests(testtools.TestCase):
    def test_no_second_holds_more_than_the_worker_withstands(self) -> None:
        served = 0
        for seed in SEEDS:
            world = World(seed).run()
            self.assertLessEqual(world.most_in_a_second, RATE + JITTER, f"seed {seed}")
            served += world.arrived_while_cold
        # One lease at a time, a few tenths of a second to win it, then eleven a second.
        self.assertGreater(served / len(SEEDS), 2.0 * RATE)

    def broken(self, **changes: object) -> int:
        """Return the most in a second over all seeds, with something taken out."""
        return max(World(seed, **changes).run().most_in_a_second for seed in FEWER_SEEDS)

    def test_without_leases_all_nodes_send(self) -> None:
        class EverybodysLeases(ColdLeases):
            def may_send(self, worker: str, now: float) -> bool:
                return True

        self.assertGreater(self.broken(make_leases=EverybodysLeases), BOUND)

    def test_without_the_condition_of_the_append_several_win(self) -> None:
        class Unconditional(ColdLeases):
            def apply(self, record: leases.ColdLease, now: float) -> None:
                pass

            def due(self, worker: str, now: float) -> bool:
                return not self.may_send(worker, now)

        append_at = "tests.gateway.cold_starts.senders.SharedLog.append_at"
        with mock.patch(append_at, lambda _log, _record, _end: True):
            self.assertGreater(self.broken(make_leases=Unconditional), BOUND)

    def test_without_a_second_look_at_the_send_late_connections_bunch(self) -> None:
        with mock.patch("tests.gateway.cold_starts.senders.World.confirm", lambda *_: None):
            self.assertGreater(self.broken(), RATE + JITTER)

    def test_without_a_bound_on_the_views_a_node_cut_off_takes_the_worker_for_warm(self) -> None:
        with mock.patch.object(core, "OLDEST_VIEW_SECONDS", 60.0):
            self.assertGreater(self.broken(), BOUND)

    def test_without_doubt_after_a_gap_a_node_that_starts_takes_it_for_warm(self) -> None:
        with mock.patch.object(core, "VIEW_SETTLE_SECONDS", 0.0):
            self.assertGreater(self.broken(), BOUND)

    def test_without_doubt_after_an_evacuation_the_entry_comes_too_late(self) -> None:
        with (
            mock.patch.object(core.ColdStarts, "mark_cold", lambda *_: None),
            mock.patch.object(core, "VIEW_SETTLE_SECONDS", 0.0),
        ):
            self.assertGreater(self.broken(), BOUND)
