"""Tests that cursors determine what is delivered, even if answers are lost or pulls repeated."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind
from tests.node.samples.world import LotCoreHarness, make_core, make_lot, make_pull


class DeliveryTest(testtools.TestCase):
    def test_every_slot_is_delivered_once(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.submit(make_lot())
        cursor, seen, complete = "", [], False
        for _ in range(3):
            batch = harness.batches[harness.pull(make_pull(cursor, maximum=2))].batch
            seen += [sample.slot for sample in batch.samples]
            cursor, complete = batch.cursor, batch.complete
        self.assertEqual(6, len(set(seen)))
        self.assertEqual(6, len(seen))
        self.assertTrue(complete)

    def test_lost_answer_is_repeated_with_the_old_cursor(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.submit(make_lot())
        first = harness.batches[harness.pull(make_pull(maximum=2))].batch
        again = harness.batches[harness.pull(make_pull(maximum=2))].batch
        self.assertEqual(first, again)

    def test_unknown_step_is_reported(self) -> None:
        harness = LotCoreHarness(make_core())
        error = harness.failures[harness.pull(make_pull())].error
        self.assertEqual(ErrorKind.UNKNOWN_LOT, error.kind)

    def test_errors_for_invalid_cursors_name_the_field(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.submit(make_lot(step=1))
        harness.submit(make_lot(step=2))
        cursor = harness.batches[harness.pull(make_pull(step=1))].batch.cursor
        for bad in (cursor[:-2], "nonsense"):
            error = harness.failures[harness.pull(make_pull(bad, step=1))].error
            self.assertEqual("cursor", error.field)
        error = harness.failures[harness.pull(make_pull(cursor, step=2))].error
        self.assertEqual("cursor", error.field)
