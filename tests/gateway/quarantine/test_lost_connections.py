"""Whether a worker that contact was lost with has ended."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.quarantine.lost_connections import (
    LOSS_EVIDENCE_SECONDS,
    MAXIMUM_PENDING_LOSSES,
    LostConnection,
    PendingLosses,
    WorkerIncarnation,
)
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.workers.support import announcement


def loss(content: str = "c", worker: str = "a", at: float = 10.0) -> LostConnection:
    return LostConnection(
        "q", content, WorkerIncarnation(worker, "10.0.0.1:80"), "ask", 0, at - 0.1, at, at
    )


class LossWatchTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        self.table.announce(announcement("a"), 0.0)
        self.watch = PendingLosses()
        self.watch.add(loss())

    def test_a_worker_whose_entry_is_gone_has_ended(self) -> None:
        self.assertEqual([], self.watch.due(self.table, 11.0))
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([loss()], self.watch.due(self.table, 12.0))
        self.assertEqual([], self.watch.due(self.table, 12.1))

    def test_a_worker_that_answers_has_not_ended(self) -> None:
        worker = self.table.worker("a")
        assert worker is not None
        worker.record_load(WorkerLoad(0, 0, 4), 10.5)
        self.watch.due(self.table, 10.6)
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([], self.watch.due(self.table, 12.0))

    def test_a_worker_that_leaves_as_planned_has_not_crashed(self) -> None:
        worker = self.table.worker("a")
        assert worker is not None
        self.table.announce(replace(worker.announcement, draining=True), 11.0)
        self.watch.due(self.table, 11.0)
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([], self.watch.due(self.table, 12.0))

    def test_an_end_long_after_has_another_cause(self) -> None:
        late = 10.0 + LOSS_EVIDENCE_SECONDS + 0.1
        self.watch.due(self.table, late)
        self.table.remove("a", late, disturbed_at=0.0)
        self.assertEqual([], self.watch.due(self.table, late))

    def test_an_end_explains_all_losses_at_that_worker_and_no_others(self) -> None:
        self.watch.add(loss("d"))
        self.watch.add(loss("e", "b"))
        self.assertEqual([loss(), loss("d")], self.watch.ended("a"))
        self.assertEqual(1, len(self.watch))

    def test_an_answer_to_the_request_explains_its_losses(self) -> None:
        self.watch.answered("c")
        self.assertEqual([], self.watch.ended("a"))

    def test_only_so_many_losses_wait(self) -> None:
        for n in range(2 * MAXIMUM_PENDING_LOSSES):
            self.watch.add(loss(f"c{n}"))
        self.assertEqual(MAXIMUM_PENDING_LOSSES, len(self.watch))
