"""Weight of slots for engines of different speed."""

from __future__ import annotations

import testtools

from stagewalk.gateway.place_shares.places import (
    MAXIMUM_SLOT_WEIGHT,
    MINIMUM_SLOT_WEIGHT,
    EnginePlaces,
)
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

SLOTS = 6
NOW = 20.0
EVENT_SECONDS = 0.04


def engine(name: str, factor: float, *, pace: float | None = 1.0) -> Worker:
    """Return an engine whose recent times per event are a multiple of `EVENT_SECONDS`."""
    worker = Worker(announcement(name, slots=SLOTS), NOW)
    for n in range(100):
        now = NOW - (100 - n) * EVENT_SECONDS
        worker.record_load(WorkerLoad(0, 0, SLOTS, pace), now)
        worker.record_success(factor * EVENT_SECONDS, now)
    return worker


class EnginePlacesTests(testtools.TestCase):
    def test_a_slot_of_an_engine_twice_as_fast_counts_as_two_places(self) -> None:
        fast, usual = engine("fast", 0.5), [engine(f"e{n}", 1.0) for n in range(3)]
        places = EnginePlaces([fast, *usual], NOW)
        self.assertAlmostEqual(2.0, places.weight(fast), delta=0.1)
        self.assertAlmostEqual(1.0, places.weight(usual[0]), delta=0.1)
        self.assertAlmostEqual(5.0 * SLOTS, places.total(()), delta=0.5 * SLOTS)

    def test_the_weight_of_an_outlier_is_bounded(self) -> None:
        usual = [engine(f"e{n}", 1.0) for n in range(3)]
        for factor, weight in ((0.01, MAXIMUM_SLOT_WEIGHT), (100.0, MINIMUM_SLOT_WEIGHT)):
            odd = engine("odd", factor)
            self.assertEqual(weight, EnginePlaces([odd, *usual], NOW).weight(odd))

    def test_without_a_pace_or_samples_each_slot_counts_as_one_place(self) -> None:
        unpaced = [engine("fast", 0.5, pace=None), engine("usual", 1.0, pace=None)]
        unseen = Worker(announcement("new", slots=SLOTS), NOW)
        places = EnginePlaces([*unpaced, unseen], NOW)
        self.assertEqual([1.0] * 3, [places.weight(e) for e in (*unpaced, unseen)])
        self.assertEqual(3.0 * SLOTS, places.total(()))
