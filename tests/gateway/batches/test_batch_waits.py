"""A batch of which nothing runs for a while is reported, with what an operator asks next."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.batch_waits import REPORTED_AFTER_SECONDS
from stagewalk.gateway.batches.messages import BatchWaits, Tick
from tests.gateway.batches.support import item
from tests.gateway.batches.test_scheduler import SchedulerHarness

TICK_SECONDS = 0.1
WATCHED_SECONDS = 3.0 * REPORTED_AFTER_SECONDS


class BatchWaitsTests(testtools.TestCase):
    def waits(self, harness: SchedulerHarness) -> list[BatchWaits]:
        """Return what is reported in the next seconds."""
        found: list[BatchWaits] = []
        until = harness.now + WATCHED_SECONDS
        while harness.now < until:
            harness.now += TICK_SECONDS
            instructions = harness.scheduler.handle(Tick(), harness.now)
            found += [i for i in instructions if isinstance(i, BatchWaits)]
            harness.execute([i for i in instructions if not isinstance(i, BatchWaits)])
        return found

    def test_a_batch_for_which_no_engine_has_the_version_is_reported_once(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"), item("y"), minimum=5)
        (waits,) = self.waits(harness)
        seen = waits.batch, waits.items, waits.candidates, waits.minimum_version
        self.assertEqual(("b", 2, 0, 5), seen)
        self.assertTrue(waits.may_start)
        self.assertLess(waits.seconds, REPORTED_AFTER_SECONDS + 2.0 * TICK_SECONDS)

    def test_a_batch_whose_view_is_too_old_is_reported_as_such(self) -> None:
        harness = SchedulerHarness()
        harness.view_current = False
        harness.open(item("x"))
        (waits,) = self.waits(harness)
        self.assertFalse(waits.may_start)
        self.assertEqual(len(harness.workers.serving("s")), waits.candidates)

    def test_a_batch_with_an_item_at_a_worker_is_not_reported(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        self.assertEqual([], self.waits(harness))
