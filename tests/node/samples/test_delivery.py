"""Hand-over: cursors decide what a trainer is handed, whatever is lost or repeated."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind
from tests.node.samples.world import World, make_core, make_lot, make_pull


class DeliveryTest(testtools.TestCase):
    def test_every_slot_is_handed_over_once_along_the_cursors(self) -> None:
        world = World(make_core())
        world.submit(make_lot())
        cursor, seen, complete = "", [], False
        for _ in range(3):
            batch = world.batches[world.pull(make_pull(cursor, maximum=2))].batch
            seen += [sample.slot for sample in batch.samples]
            cursor, complete = batch.cursor, batch.complete
        self.assertEqual(6, len(set(seen)))
        self.assertEqual(6, len(seen))
        self.assertTrue(complete)

    def test_lost_answer_is_repeated_with_the_old_cursor(self) -> None:
        world = World(make_core())
        world.submit(make_lot())
        first = world.batches[world.pull(make_pull(maximum=2))].batch
        again = world.batches[world.pull(make_pull(maximum=2))].batch
        self.assertEqual(first, again)

    def test_unknown_step_is_said_so(self) -> None:
        world = World(make_core())
        error = world.failures[world.pull(make_pull())].error
        self.assertEqual(ErrorKind.UNKNOWN_LOT, error.kind)

    def test_damaged_and_foreign_cursors_name_the_field(self) -> None:
        world = World(make_core())
        world.submit(make_lot(step=1))
        world.submit(make_lot(step=2))
        cursor = world.batches[world.pull(make_pull(step=1))].batch.cursor
        for bad in (cursor[:-2], "nonsense"):
            error = world.failures[world.pull(make_pull(bad, step=1))].error
            self.assertEqual("cursor", error.field)
        error = world.failures[world.pull(make_pull(cursor, step=2))].error
        self.assertEqual("cursor", error.field)
