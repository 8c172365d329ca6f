"""Nodes with the same load reports must not all choose the same worker.

Without a reported pace, the choice is the cheapest worker.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import testtools

from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement

NODES = 60
NOW = 10.0


def make_worker(name: str, load: WorkerLoad, zone: str = "z1", seconds: float = 0.04) -> Worker:
    worker = Worker(announcement(name, zone=zone, slots=load.slots), 0.0)
    worker.record_load(load, NOW)
    worker.record_success(seconds * (load.pace or 1.0), NOW)
    return worker


def choices_of_nodes(*loads: WorkerLoad) -> Counter[str]:
    """Return how many nodes choose each worker, given the same reports."""
    chosen: Counter[str] = Counter()
    for node in range(NODES):
        workers = [make_worker(f"w{n}", load) for n, load in enumerate(loads)]
        found = choose_worker(workers, NOW, NEAR_Z1, rng=Random(f"node-{node}"))
        assert found is not None
        chosen[found.announcement.worker] += 1
    return chosen


class SelectionTests(testtools.TestCase):
    def test_many_nodes_with_the_same_reports_spread(self) -> None:
        chosen = choices_of_nodes(*[WorkerLoad(1, 0, 6, 1.0)] * 6)
        self.assertEqual(6, len(chosen))
        self.assertLess(max(chosen.values()), NODES / 2)

    def test_margin_is_one_request(self) -> None:
        chosen = choices_of_nodes(*(WorkerLoad(n, 0, 6, 1.0) for n in (1, 2, 3)))
        self.assertEqual({"w0", "w1"}, set(chosen))

    def test_full_worker_is_not_chosen_if_another_has_a_free_slot(self) -> None:
        chosen = choices_of_nodes(WorkerLoad(5, 0, 6, 1.0), WorkerLoad(6, 0, 6, 1.0))
        self.assertEqual({"w0"}, set(chosen))

    def test_worker_with_a_slow_current_pace_is_avoided(self) -> None:
        chosen = choices_of_nodes(WorkerLoad(1, 0, 6, 2.5), WorkerLoad(1, 0, 6, 1.0))
        self.assertEqual({"w1"}, set(chosen))

    def test_same_zone_is_preferred_among_equally_loaded_workers(self) -> None:
        load = WorkerLoad(1, 0, 6, 1.0)
        workers = [make_worker("far", load, "z2"), make_worker("near", load)]
        for node in range(NODES):
            found = choose_worker(workers, NOW, NEAR_Z1, rng=Random(node))
            self.assertEqual("near", found.announcement.worker)

    def test_without_a_pace_the_first_of_the_cheapest_workers_is_chosen(self) -> None:
        chosen = choices_of_nodes(*[WorkerLoad(1, 0, 6)] * 6)
        self.assertEqual({"w0"}, set(chosen))

    def test_own_requests_since_the_report_count_as_load(self) -> None:
        workers = [make_worker(f"w{n}", WorkerLoad(0, 0, 6, 1.0)) for n in range(3)]
        rng = Random("node")
        for _ in range(9):
            found = choose_worker(workers, NOW, NEAR_Z1, rng=rng)
            assert found is not None
            found.record_sent()
        self.assertLessEqual(max(w.in_flight for w in workers), 4)
