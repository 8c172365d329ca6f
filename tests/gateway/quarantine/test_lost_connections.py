"""A lost connection counts as a crash only if there is evidence that the worker has ended."""

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


class PendingLossesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        self.table.announce(announcement("a"), 0.0)
        self.pending = PendingLosses()
        self.pending.add(loss())

    def test_a_worker_whose_entry_is_gone_has_ended(self) -> None:
        self.assertEqual([], self.pending.due(self.table, 11.0))
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([loss()], self.pending.due(self.table, 12.0))
        self.assertEqual([], self.pending.due(self.table, 12.1))

    def test_a_worker_that_answers_has_not_ended(self) -> None:
        worker = self.table.worker("a")
        assert worker is not None
        worker.record_load(WorkerLoad(0, 0, 4), 10.5)
        self.pending.due(self.table, 10.6)
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([], self.pending.due(self.table, 12.0))

    def test_a_draining_worker_has_not_crashed(self) -> None:
        worker = self.table.worker("a")
        assert worker is not None
        self.table.announce(replace(worker.announcement, draining=True), 11.0)
        self.pending.due(self.table, 11.0)
        self.table.remove("a", 12.0, disturbed_at=0.0)
        self.assertEqual([], self.pending.due(self.table, 12.0))

    def test_end_long_after_the_loss_is_no_evidence(self) -> None:
        late = 10.0 + LOSS_EVIDENCE_SECONDS + 0.1
        self.pending.due(self.table, late)
        self.table.remove("a", late, disturbed_at=0.0)
        self.assertEqual([], self.pending.due(self.table, late))

    def test_end_of_a_worker_is_evidence_for_all_losses_at_it_and_no_others(self) -> None:
        self.pending.add(loss("d"))
        self.pending.add(loss("e", "b"))
        self.assertEqual([loss(), loss("d")], self.pending.ended("a"))
        self.assertEqual(1, len(self.pending))

    def test_an_answer_drops_the_losses_of_its_content(self) -> None:
        self.pending.answered("c")
        self.assertEqual([], self.pending.ended("a"))

    def test_number_of_pending_losses_is_bounded(self) -> None:
        for n in range(2 * MAXIMUM_PENDING_LOSSES):
            self.pending.add(loss(f"c{n}"))
        self.assertEqual(MAXIMUM_PENDING_LOSSES, len(self.pending))
