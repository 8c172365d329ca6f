"""Placement, moves and refusals on machines of different speed with momentary slowness."""

from __future__ import annotations

from random import Random

import testtools

from stagewalk.gateway.batches.engine_observations import ASSUMED_LOADING_SECONDS, record_refusal
from stagewalk.gateway.batches.move_choice import faster_engine
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement

EVENT = 0.04
SLOTS = 6
LONG = 100.0
NOW = 20.0
OBSERVED_SECONDS = 4.0


def engine(name: str, factor: float = 1.0, *, pace: float = 1.0, zone: str = "z1") -> Worker:
    """Return one observed for `OBSERVED_SECONDS` seconds until `NOW`, when it reports a pace."""
    entry = announcement(name, slots=SLOTS, zone=zone, versions={"m": 5})
    worker = Worker(entry, 0.0, versions={"m": 5})
    events = int(OBSERVED_SECONDS / EVENT)
    for n in range(events):
        now = NOW - OBSERVED_SECONDS + n * EVENT
        worker.record_load(WorkerLoad(0, 0, SLOTS, 1.0), now)
        worker.record_success(factor * EVENT, now)
    worker.record_load(WorkerLoad(0, 0, SLOTS, pace), NOW)
    return worker


def choose(engines: list[Worker], events: float, rng: Random | None = None) -> Worker | None:
    return choose_engine(
        engines, "m", NOW, proximity=NEAR_Z1, siblings=(), avoid="", events=events, rng=rng
    )


class PlacementTests(testtools.TestCase):
    def test_a_machine_half_as_fast_gets_the_short_items(self) -> None:
        fast, slow = engine("fast"), engine("slow", 2.0)
        at_slow = []
        lengths = [float(n) for n in range(60, 0, -5)]
        for events in lengths:
            found = choose([slow, fast], events)
            assert found is not None
            found.record_sent()
            if found is slow:
                at_slow.append(events)
        self.assertTrue(at_slow)
        self.assertEqual(lengths[-len(at_slow) :], at_slow)

    def test_a_momentary_slowness_repels_only_short_items(self) -> None:
        for events, expected in ((4.0, "usual"), (LONG, "slow for a moment")):
            usual, moment = engine("usual"), engine("slow for a moment", pace=2.5)
            usual.record_sent()
            found = choose([moment, usual], events)
            self.assertEqual(expected, found.announcement.worker)

    def test_a_long_item_goes_to_a_free_engine_rather_than_a_full_one(self) -> None:
        full, free = engine("full"), engine("free", 1.3)
        for _ in range(SLOTS):
            full.record_sent()
        self.assertIs(free, choose([full, free], LONG))

    def test_nodes_with_equal_reports_choose_different_engines(self) -> None:
        chosen = set()
        for node in range(40):
            found = choose([engine(f"e{n}") for n in range(6)], LONG, Random(f"node-{node}"))
            chosen.add(found.announcement.worker)
        self.assertEqual(6, len(chosen))

    def test_among_equal_engines_one_with_an_open_connection_is_preferred(self) -> None:
        engines = [engine(f"e{n}") for n in range(8)]
        engines[5].record_connection(True, NOW)
        for seed in range(20):
            self.assertIs(engines[5], choose(engines, LONG, Random(seed)))
            self.assertIs(engines[5], choose(engines, 2.0, Random(seed)))

    def test_a_connection_is_opened_rather_than_wait(self) -> None:
        full, free = engine("full"), engine("free")
        for _ in range(SLOTS):
            full.record_sent()
        full.kept_connections, full.warm_until = 2 * SLOTS, NOW + 1.0
        self.assertIs(free, choose([full, free], LONG))

    def test_an_engine_of_which_nothing_is_known_is_tried(self) -> None:
        entry = announcement("new", slots=SLOTS, versions={"m": 5})
        new = Worker(entry, 0.0, versions={"m": 5})
        known = engine("known")
        known.record_sent()
        self.assertIs(new, choose([known, new], LONG))


class MoveTests(testtools.TestCase):
    def faster(self, current: Worker, others: list[Worker], now: float = NOW) -> Worker | None:
        return faster_engine(current, others, "m", now, left=LONG, urgent=True)

    def test_a_momentary_slowness_moves_no_item(self) -> None:
        current, other = engine("current"), engine("other")
        now = NOW
        while now < NOW + 0.4:
            now += 2.5 * EVENT
            current.record_load(WorkerLoad(1, 0, SLOTS, 2.5), now)
            current.record_success(2.5 * EVENT, now)
            self.assertIsNone(self.faster(current, [other], now))

    def test_an_unreported_momentary_slowness_moves_no_item(self) -> None:
        current, other = engine("current"), engine("other")
        now = NOW
        while now < NOW + 0.4:
            now += 2.5 * EVENT
            current.record_success(2.5 * EVENT, now)
            self.assertIsNone(self.faster(current, [other], now))

    def test_an_item_moves_from_a_slow_machine(self) -> None:
        fast = engine("fast")
        self.assertIs(fast, self.faster(engine("current", 1.5), [fast]))

    def test_no_move_to_a_machine_with_few_observed_events(self) -> None:
        current = engine("current", 1.5)
        entry = announcement("other", slots=SLOTS, versions={"m": 5})
        other = Worker(entry, 0.0, versions={"m": 5})
        other.record_load(WorkerLoad(0, 0, SLOTS, 1.0), NOW)
        other.record_success(EVENT, NOW)
        self.assertIsNone(self.faster(current, [other]))


class RefusalTests(testtools.TestCase):
    def loading_after(self, known: WorkerLoad | None, reported_load: WorkerLoad | None) -> bool:
        entry = announcement("e", slots=SLOTS, versions={"m": 5})
        worker = Worker(entry, 0.0, versions={"m": 5})
        worker.record_load(known, NOW)
        failure = AttemptFailure(AttemptFault.NOT_RUN, "status 503", reported_load)
        record_refusal(worker, "m", failure, NOW + 0.1)
        return worker.loading("m", NOW + 0.1 + ASSUMED_LOADING_SECONDS / 2)

    def test_a_full_engine_is_distinguished_from_one_that_loads_weights(self) -> None:
        full, free = WorkerLoad(6, 18, SLOTS, 1.0), WorkerLoad(2, 0, SLOTS, 1.0)
        self.assertFalse(self.loading_after(None, full))
        self.assertTrue(self.loading_after(full, free))
        self.assertFalse(self.loading_after(full, None))
        self.assertTrue(self.loading_after(free, None))
        self.assertTrue(self.loading_after(None, None))

    def test_without_a_pace_a_refusal_without_a_load_counts_as_loading(self) -> None:
        self.assertTrue(self.loading_after(WorkerLoad(6, 18, SLOTS), None))
