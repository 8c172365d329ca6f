"""Nodes that read the same reports choose apart; without a pace the choice is the minimum."""

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


def reporting(name: str, load: WorkerLoad, zone: str = "z1", seconds: float = 0.04) -> Worker:
    worker = Worker(announcement(name, zone=zone, slots=load.slots), 0.0)
    worker.record_load(load, NOW)
    worker.record_success(seconds * (load.pace or 1.0), NOW)
    return worker


def chosen_by_nodes(*loads: WorkerLoad) -> Counter[str]:
    """Return how many nodes choose each worker, where all have the same reports."""
    chosen: Counter[str] = Counter()
    for node in range(NODES):
        workers = [reporting(f"w{n}", load) for n, load in enumerate(loads)]
        found = choose_worker(workers, NOW, NEAR_Z1, rng=Random(f"node-{node}"))
        assert found is not None
        chosen[found.announcement.worker] += 1
    return chosen


class SelectionTests(testtools.TestCase):
    def test_many_nodes_with_the_same_reports_spread(self) -> None:
        chosen = chosen_by_nodes(*[WorkerLoad(1, 0, 6, 1.0)] * 6)
        self.assertEqual(6, len(chosen))
        self.assertLess(max(chosen.values()), NODES / 2)

    def test_one_request_more_is_near_the_best_and_two_are_not(self) -> None:
        chosen = chosen_by_nodes(*(WorkerLoad(n, 0, 6, 1.0) for n in (1, 2, 3)))
        self.assertEqual({"w0", "w1"}, set(chosen))

    def test_a_full_worker_is_not_near_one_with_a_slot_free(self) -> None:
        chosen = chosen_by_nodes(WorkerLoad(5, 0, 6, 1.0), WorkerLoad(6, 0, 6, 1.0))
        self.assertEqual({"w0"}, set(chosen))

    def test_one_that_is_slow_for_a_moment_gets_no_short_request(self) -> None:
        chosen = chosen_by_nodes(WorkerLoad(1, 0, 6, 2.5), WorkerLoad(1, 0, 6, 1.0))
        self.assertEqual({"w1"}, set(chosen))

    def test_of_near_ones_the_own_zone_comes_first(self) -> None:
        load = WorkerLoad(1, 0, 6, 1.0)
        workers = [reporting("far", load, "z2"), reporting("near", load)]
        for node in range(NODES):
            found = choose_worker(workers, NOW, NEAR_Z1, rng=Random(node))
            self.assertEqual("near", found.announcement.worker)

    def test_without_a_pace_the_first_of_the_best_is_taken(self) -> None:
        chosen = chosen_by_nodes(*[WorkerLoad(1, 0, 6)] * 6)
        self.assertEqual({"w0"}, set(chosen))

    def test_own_requests_since_the_report_move_the_next_ones_elsewhere(self) -> None:
        workers = [reporting(f"w{n}", WorkerLoad(0, 0, 6, 1.0)) for n in range(3)]
        rng = Random("node")
        for _ in range(9):
            found = choose_worker(workers, NOW, NEAR_Z1, rng=rng)
            assert found is not None
            found.record_sent()
        self.assertLessEqual(max(w.in_flight for w in workers), 4)
