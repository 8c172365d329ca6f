"""Windows of true time, whatever the clock does; counts that survive being told twice."""

from __future__ import annotations

import testtools

from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import KEPT_WINDOWS, UsageMeter, window_of
from stagewalk.gateway.usage.records import UsageCounted, decode_usage
from stagewalk.gateway.usage.wall_clock import SAMPLE_SECONDS, WallClock

WINDOW = 5.0


class WallClockTests(testtools.TestCase):
    def play(self, clock: WallClock, since: float, seconds: float, step: float) -> float:
        """Let time pass with the time of day a step off; return the steady time after it."""
        steady = since
        while steady < since + seconds:
            steady += SAMPLE_SECONDS
            clock.sample(1_000.0 + steady + step, steady)
        return steady

    def test_a_step_of_seconds_that_comes_back_changes_nothing(self) -> None:
        clock = WallClock(1_000.0, 0.0)
        now = self.play(clock, 0.0, 20.0, 0.0)
        for step in (-4.0, 3.0):
            now = self.play(clock, now, 6.0, step)
            self.assertAlmostEqual(1_000.0 + now, clock.at(now))

    def test_a_clock_that_was_set_for_good_is_followed(self) -> None:
        clock = WallClock(1_000.0, 0.0)
        now = self.play(clock, 0.0, 90.0, 2.0)
        self.assertAlmostEqual(1_002.0 + now, clock.at(now))


class MeterTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.meter = UsageMeter("p1", WINDOW)
        self.account = UsageAccount()

    def test_counts_go_to_the_window_in_which_requests_began(self) -> None:
        self.assertEqual([3, 3, 4], [window_of(wall, WINDOW) for wall in (15.0, 19.999, 20.0)])
        for tenant, wall in (("a", 19.9), ("a", 20.0), ("b", 20.1)):
            self.meter.count(tenant, wall)
        records = self.meter.take_records()
        self.assertEqual(
            [UsageCounted("p1", 3, {"a": 1}), UsageCounted("p1", 4, {"a": 1, "b": 1})], records
        )
        self.assertFalse(self.meter.changed)

    def test_records_that_come_twice_or_in_another_order_count_once(self) -> None:
        self.meter.count("a", 1.0)
        first = self.meter.take_records()
        self.meter.count("a", 2.0)
        second = self.meter.take_records()
        for record in (*second, *first, *first, *second):
            self.account.apply(record)
        self.assertEqual({"a": 2}, self.account.total(0))

    def test_processes_add_up(self) -> None:
        for process in ("p1", "p2"):
            self.account.apply(UsageCounted(process, 7, {"a": 2, "b": 1}))
        self.assertEqual({"a": 4, "b": 2}, self.account.total(7))
        self.assertEqual(7, self.account.first_window)
        self.assertEqual({}, self.account.total(8))

    def test_old_windows_are_dropped(self) -> None:
        for window in range(3 * KEPT_WINDOWS):
            self.meter.count("a", window * WINDOW)
        self.assertEqual(3 * KEPT_WINDOWS, len(self.meter.take_records()))
        self.meter.count("a", 0.0)
        self.assertEqual({"a": 1}, self.meter.take_records()[0].counts)

    def test_bytes_that_are_no_record(self) -> None:
        record = UsageCounted("p1", 3, {"a": 1})
        self.assertEqual(record, decode_usage(record.encode()))
        self.assertIsNone(decode_usage(b"?"))
