"""Temporary slowdowns must not distort the estimate of a machine's baseline speed."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import testtools

from stagewalk.gateway.batches.move_choice import FASTER_SHARE
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.speed import (
    BASELINE_SMOOTHING_SECONDS,
    MAXIMUM_PACE,
    PACE_VALID_SECONDS,
)
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import (
    LATENCY_SMOOTHING,
    LOAD_VALID_SECONDS,
    ReportKind,
    Worker,
)
from tests.gateway.workers.support import announcement

EVENT = 0.04
SLOW = 2.5
SLOW_SHARE = 0.15
SLOW_SPANS = (0.05, 0.1, 0.25)
"""Durations of a slowdown to a pace of `SLOW`, in seconds."""

REPORT_EVERY = (0.05, 0.4, 2.0)
"""Seconds between two reports; the longest exceeds the age up to which a report is used."""


def alternating_pace(now: float, slow_span: float) -> float:
    return SLOW if now % (slow_span / SLOW_SHARE) < slow_span else 1.0


def worker(slots: int = 6) -> Worker:
    return Worker(announcement("w", slots=slots), 0.0)


def run(machine: Worker, event: float, slow_span: float, report_every: float) -> Iterator[float]:
    """Simulate events for ten seconds; yield the time after each one is recorded."""
    now, reported_at, phase = 100.0, 0.0, event
    while now < 110.0:
        pace = alternating_pace(now + phase, slow_span)
        if now - reported_at >= report_every:
            machine.record_load(WorkerLoad(3, 0, 6, pace), now)
            reported_at = now
        seconds = event * pace
        now += seconds
        machine.record_success(seconds, now)
        yield now


class BaselineLatencyTests(testtools.TestCase):
    def test_temporary_slowdowns_do_not_change_which_machine_is_faster(self) -> None:
        for slow_span, report_every in itertools.product(SLOW_SPANS, REPORT_EVERY):
            first, other, slow = worker(), worker(), worker()
            runs = (
                run(first, EVENT, slow_span, report_every),
                run(other, EVENT * 1.001, slow_span * 1.1, report_every * 0.9),
                run(slow, EVENT * 1.3, slow_span, report_every),
            )
            case = f"slow for {slow_span} s, reports every {report_every} s"
            for now, _, _ in zip(*runs, strict=False):
                if now < 100.0 + 2 * BASELINE_SMOOTHING_SECONDS:
                    continue
                like = [machine.recent_latency(now) or 0.0 for machine in (first, other)]
                self.assertGreater(min(like), FASTER_SHARE * max(like), f"{case}, at {now}")
                slower = slow.recent_latency(now) or 0.0
                self.assertLessEqual(min(like), FASTER_SHARE * slower, f"{case}, at {now}")

    def test_a_sustained_slowdown_and_its_end_are_detected_within_two_seconds(self) -> None:
        machine = worker()
        for now in run(machine, EVENT, 0.1, 0.1):
            started = now
        usual = machine.recent_latency(started) or 0.0
        for slow, least, most in ((3.0, 2.0, 4.0), (1.0, 0.5, 1.5)):
            for n in range(20):
                now = started + n * 0.1
                machine.record_load(WorkerLoad(3, 0, 6, slow), now)
                machine.record_success(slow * EVENT, now)
            latency = machine.recent_latency(now) or 0.0
            self.assertTrue(least * usual < latency < most * usual, f"{slow}: {latency / usual}")
            started = now + 0.1

    def test_reported_pace_is_clamped(self) -> None:
        machine = worker()
        machine.record_load(WorkerLoad(3, 0, 6, 9_999_999.0), 100.0)
        machine.record_success(EVENT, 100.0)
        self.assertGreaterEqual(machine.recent_latency(100.0) or 0.0, EVENT / MAXIMUM_PACE)

    def test_without_a_pace_the_smoothed_latency_is_used(self) -> None:
        machine = worker()
        machine.record_load(WorkerLoad(3, 0, 6), 0.0)
        machine.record_success(0.1, 0.0)
        machine.record_success(0.2, 0.1)
        self.assertAlmostEqual(0.1 + 0.1 * LATENCY_SMOOTHING, machine.recent_latency(0.1))
        self.assertEqual(0.5, machine.expected_seconds(0.5, 0.1))

    def test_reported_pace_is_ignored_if_disabled(self) -> None:
        machine = Worker(announcement("w"), 0.0, uses_reported_pace=False)
        machine.record_load(WorkerLoad(3, 0, 6, 2.5), 0.0)
        self.assertFalse(machine.reports_pace)
        self.assertIsNone(machine.recent_pace(0.0))


class CurrentPaceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = worker()
        self.machine.record_load(WorkerLoad(3, 0, 6, SLOW), 10.0)

    def test_short_work_takes_as_long_as_the_current_pace_predicts(self) -> None:
        self.assertAlmostEqual(0.1, self.machine.expected_seconds(0.04, 10.0))

    def test_long_work_is_delayed_by_less_than_the_validity_of_the_pace(self) -> None:
        lost = self.machine.expected_seconds(4.0, 10.0) - 4.0
        self.assertTrue(0.0 < lost < PACE_VALID_SECONDS)

    def test_effect_of_a_pace_decreases_with_its_age(self) -> None:
        expected = [self.machine.expected_seconds(0.2, 10.0 + age) for age in (0.0, 0.1, 0.2, 0.31)]
        self.assertEqual(sorted(expected, reverse=True), expected)
        self.assertEqual(0.2, expected[-1])


class ReportAgeTests(testtools.TestCase):
    def test_table_counts_workers_by_kind_of_report(self) -> None:
        table = WorkerTable()
        for name in ("silent", "old", "three", "four"):
            table.announce(announcement(name), 0.0)
        table.worker("old").record_load(WorkerLoad(1, 0, 4, 1.0), 5.0)
        table.worker("three").record_load(WorkerLoad(1, 0, 4), 10.0)
        table.worker("four").record_load(WorkerLoad(1, 0, 4, 1.0), 10.0)
        self.assertEqual(dict.fromkeys(ReportKind, 1), table.report_kinds(10.1))

    def test_load_and_pace_expire_separately(self) -> None:
        silent, three, four = worker(), worker(), worker()
        three.record_load(WorkerLoad(4, 2, 6), 10.0)
        four.record_load(WorkerLoad(4, 2, 6, 1.2), 10.0)
        self.assertEqual((None, None), (silent.recent_load(10.0), silent.recent_pace(10.0)))
        self.assertEqual((1.0, None), (three.occupancy(10.1), three.recent_pace(10.1)))
        self.assertEqual((1.0, 1.2), (four.occupancy(10.1), four.recent_pace(10.1)))
        later = 10.1 + PACE_VALID_SECONDS
        self.assertEqual((1.0, None), (four.occupancy(later), four.recent_pace(later)))
        old = 10.1 + LOAD_VALID_SECONDS
        self.assertEqual((0.0, None), (four.occupancy(old), four.recent_load(old)))
        self.assertTrue(four.reports_pace)

    def test_own_requests_since_the_report_are_added_and_subtracted(self) -> None:
        machine = worker()
        machine.record_sent()
        machine.record_load(WorkerLoad(3, 0, 6, 1.0), 10.0)
        machine.record_sent()
        self.assertEqual(4 / 6, machine.occupancy(10.1))
        machine.record_ended()
        machine.record_ended()
        self.assertEqual(2 / 6, machine.occupancy(10.1))
