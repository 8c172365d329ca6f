"""The wall clock ignores jumps; usage counts tolerate duplicate and reordered records."""

from __future__ import annotations

import testtools

from stagewalk.gateway.usage.account import UsageAccount
from stagewalk.gateway.usage.meter import KEPT_WINDOWS, UsageMeter, window_of
from stagewalk.gateway.usage.records import UsageCounted, decode_usage
from stagewalk.gateway.usage.wall_clock import SAMPLE_SECONDS, WallClock

WINDOW = 5.0


class WallClockTests(testtools.TestCase):
    def advance(self, clock: WallClock, since: float, seconds: float, step: float) -> float:
        """Advance both clocks, the wall clock off by `step`; return the steady time."""
        steady = since
        while steady < since + seconds:
            steady += SAMPLE_SECONDS
            clock.sample(1_000.0 + steady + step, steady)
        return steady

    def test_a_temporary_jump_is_ignored(self) -> None:
        clock = WallClock(1_000.0, 0.0)
        now = self.advance(clock, 0.0, 20.0, 0.0)
        for step in (-4.0, 3.0):
            now = self.advance(clock, now, 6.0, step)
            self.assertAlmostEqual(1_000.0 + now, clock.at(now))

    def test_a_permanent_jump_is_followed(self) -> None:
        clock = WallClock(1_000.0, 0.0)
        now = self.advance(clock, 0.0, 90.0, 2.0)
        self.assertAlmostEqual(1_002.0 + now, clock.at(now))


class MeterTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.meter = UsageMeter("p1", WINDOW)
        self.account = UsageAccount()

    def test_requests_count_in_the_window_in_which_they_started(self) -> None:
        self.assertEqual([3, 3, 4], [window_of(wall, WINDOW) for wall in (15.0, 19.999, 20.0)])
        for tenant, wall in (("a", 19.9), ("a", 20.0), ("b", 20.1)):
            self.meter.count(tenant, wall)
        records = self.meter.take_records()
        self.assertEqual(
            [UsageCounted("p1", 3, {"a": 1}), UsageCounted("p1", 4, {"a": 1, "b": 1})], records
        )
        self.assertFalse(self.meter.changed)

    def test_duplicate_and_reordered_records_count_once(self) -> None:
        self.meter.count("a", 1.0)
        first = self.meter.take_records()
        self.meter.count("a", 2.0)
        second = self.meter.take_records()
        for record in (*second, *first, *first, *second):
            self.account.apply(record)
        self.assertEqual({"a": 2}, self.account.total(0))

    def test_counts_of_processes_are_added(self) -> None:
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

    def test_invalid_bytes_decode_to_none(self) -> None:
        record = UsageCounted("p1", 3, {"a": 1})
        self.assertEqual(record, decode_usage(record.encode()))
        self.assertIsNone(decode_usage(b"?"))
