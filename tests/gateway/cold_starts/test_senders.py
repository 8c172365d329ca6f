"""Simulations of 75 nodes: the rate limit of a cold worker holds, and needs each safeguard.

The worker becomes cold at the end of its zone's evacuation. Nodes see this up to two seconds later;
some are suspended, disconnected or starting. Answers of the log are lost, connections open late.
"""

from __future__ import annotations

from unittest import mock

import testtools

from stagewalk.gateway.cold_starts import core, leases
from stagewalk.gateway.cold_starts.leases import ColdLeases
from tests.gateway.cold_starts.senders import RATE, World

SEEDS = range(24)
FEWER_SEEDS = range(6)
ALLOWED_PER_SECOND = 1.5 * RATE + 5
"""Requests per second tolerated by the worker's operators."""

ARRIVAL_JITTER_REQUESTS = 1
"""Additional requests within a second, as requests arrive up to a few milliseconds late."""


class SharedBoundTests(testtools.TestCase):
    def test_rate_limit_holds_in_every_second(self) -> None:
        arrived = 0
        for seed in SEEDS:
            world = World(seed).run()
            self.assertLessEqual(
                world.maximum_per_second, RATE + ARRIVAL_JITTER_REQUESTS, f"seed {seed}"
            )
            arrived += world.arrived_while_cold
        # The lease is acquired within a few tenths of a second, then the rate limit is used.
        self.assertGreater(arrived / len(SEEDS), 2.0 * RATE)

    def maximum_with_changes(self, **changes: object) -> int:
        """Return the maximum per second over all seeds, with changed arguments of `World`."""
        return max(World(seed, **changes).run().maximum_per_second for seed in FEWER_SEEDS)

    def test_leases_are_needed(self) -> None:
        class UnrestrictedLeases(ColdLeases):
            def may_send(self, worker: str, now: float) -> bool:
                return True

        self.assertGreater(
            self.maximum_with_changes(make_leases=UnrestrictedLeases), ALLOWED_PER_SECOND
        )

    def test_conditional_append_is_needed(self) -> None:
        class UnconditionalLeases(ColdLeases):
            def apply(self, record: leases.ColdLease, now: float) -> None:
                pass

            def due(self, worker: str, now: float) -> bool:
                return not self.may_send(worker, now)

        append_at = "tests.gateway.cold_starts.senders.SharedLog.append_at"
        with mock.patch(append_at, lambda _log, _record, _end: True):
            self.assertGreater(
                self.maximum_with_changes(make_leases=UnconditionalLeases), ALLOWED_PER_SECOND
            )

    def test_confirmation_at_the_send_is_needed(self) -> None:
        with mock.patch("tests.gateway.cold_starts.senders.World.confirm", lambda *_: None):
            self.assertGreater(self.maximum_with_changes(), RATE + ARRIVAL_JITTER_REQUESTS)

    def test_maximum_age_of_views_is_needed(self) -> None:
        with mock.patch.object(core, "OLDEST_VIEW_SECONDS", 60.0):
            self.assertGreater(self.maximum_with_changes(), ALLOWED_PER_SECOND)

    def test_settling_time_of_views_is_needed(self) -> None:
        with mock.patch.object(core, "VIEW_SETTLE_SECONDS", 0.0):
            self.assertGreater(self.maximum_with_changes(), ALLOWED_PER_SECOND)

    def test_marking_workers_cold_after_an_evacuation_is_needed(self) -> None:
        with (
            mock.patch.object(core.ColdStarts, "mark_cold", lambda *_: None),
            mock.patch.object(core, "VIEW_SETTLE_SECONDS", 0.0),
        ):
            self.assertGreater(self.maximum_with_changes(), ALLOWED_PER_SECOND)
