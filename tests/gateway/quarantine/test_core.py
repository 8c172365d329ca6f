"""Requests that crash workers are quarantined; requests that only lost a worker are not."""

from __future__ import annotations

import itertools

import testtools

from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import MAXIMUM_CRASH_RECORDS, CrashHistory
from stagewalk.gateway.quarantine.hold_rule import (
    CRASHES_REMEMBERED_SECONDS,
    FIRST_HOLD_SECONDS,
    HELD_AFTER_CRASHES_AT_ONE_ADDRESS,
    HELD_AFTER_CRASHES_OF_ITEM,
    HOLD_JITTER,
    LATER_HOLD_SECONDS,
    hold_duration_seconds,
    next_crash_count,
)
from stagewalk.gateway.quarantine.records import CRASH_KEY_PREFIX, CrashRecord, decode_crash_record

CONTENT = RequestContent("POST", "h.example", "/ask/x?q=1", b"body")
NUMBERS = itertools.count()


def crash(
    level: int, *, content: RequestContent = CONTENT, at: float = 0.0, address: str = ""
) -> CrashRecord:
    """Return a crash of a new worker, at a new address unless one is given."""
    worker = f"w{next(NUMBERS)}"
    listening_at = address or worker
    return CrashRecord(content.digest, worker, listening_at, level, int(at * 1000), "n1", "ask")


class ContentTests(testtools.TestCase):
    def test_digest_depends_on_method_host_target_and_body(self) -> None:
        same = RequestContent("POST", "H.example", "/ask/x?q=1", b"body")
        self.assertEqual(CONTENT.digest, same.digest)
        others = (
            RequestContent("PUT", "h.example", "/ask/x?q=1", b"body"),
            RequestContent("POST", "g.example", "/ask/x?q=1", b"body"),
            RequestContent("POST", "h.example", "/ask/x?q=2", b"body"),
            RequestContent("POST", "h.example", "/ask/x?q=1", b"body2"),
            RequestContent("POST", "h.example", "/ask/x?q=1b", b"ody"),
        )
        self.assertEqual(len(others) + 1, len({c.digest for c in (CONTENT, *others)}))


class RecordTests(testtools.TestCase):
    def test_encoded_record_is_decoded_unchanged(self) -> None:
        record = crash(2)
        self.assertEqual(record, decode_crash_record(record.encode()))
        self.assertTrue(record.key.startswith(CRASH_KEY_PREFIX))

    def test_invalid_records_are_ignored(self) -> None:
        for value in (b"", b"{}", b"\xff" * 40, crash(1).encode()[:-1]):
            self.assertIsNone(decode_crash_record(value))
        self.assertIsNone(decode_crash_record(crash(0).encode()))
        self.assertIsNone(decode_crash_record(crash(10_000).encode()))

    def test_length_of_a_key_is_bounded(self) -> None:
        long_name = CrashRecord(CONTENT.digest, "w" * 5000, "a", 1, 0, "n", "r")
        self.assertLess(len(long_name.key), 100)


class CrashHistoryTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.history = CrashHistory("n1")

    def held(self, at: float = 0.0, *, item: bool = False) -> bool:
        return self.history.held(CONTENT, at, item=item)

    def test_three_consecutive_crashes_quarantine_a_request(self) -> None:
        self.assertFalse(self.history.add(crash(1)))
        self.assertFalse(self.history.add(crash(2)))
        self.assertFalse(self.held())
        self.assertTrue(self.history.add(crash(3)))
        self.assertTrue(self.held())
        self.assertFalse(self.history.add(crash(4)))

    def test_simultaneous_crashes_count_once(self) -> None:
        """For example of all workers of a rack that loses power."""
        for _ in range(12):
            self.history.add(crash(1))
        self.assertEqual(1, self.history.consecutive_crashes(CONTENT))
        self.assertFalse(self.held())

    def test_crashes_at_one_address_have_a_higher_threshold(self) -> None:
        for level in range(1, HELD_AFTER_CRASHES_AT_ONE_ADDRESS):
            self.history.add(crash(level, address="one"))
        self.assertFalse(self.held())
        self.history.add(crash(HELD_AFTER_CRASHES_AT_ONE_ADDRESS, address="one"))
        self.assertTrue(self.held())

    def test_items_have_a_higher_threshold(self) -> None:
        for level in range(1, HELD_AFTER_CRASHES_OF_ITEM):
            self.history.add(crash(level))
        self.assertFalse(self.held(item=True))
        self.history.add(crash(HELD_AFTER_CRASHES_OF_ITEM))
        self.assertTrue(self.held(item=True))

    def test_clear_removes_all_crashes_of_a_content(self) -> None:
        for level in (1, 2, 3):
            self.history.add(crash(level))
        self.assertEqual(3, len(self.history.clear(CONTENT.digest)))
        self.assertFalse(self.held())
        self.assertFalse(self.history.any)
        self.assertEqual(0, self.history.count)

    def test_dropped_crashes_do_not_count(self) -> None:
        records = [crash(level) for level in (1, 2, 3)]
        self.history.replace(records)
        self.history.drop(records[2].key)
        self.assertEqual(2, self.history.consecutive_crashes(CONTENT))
        for record in records:
            self.history.drop(record.key)
        self.history.drop("crash-strike/unknown/key")
        self.history.drop("no key of a strike")
        self.assertFalse(self.history.any)

    def test_first_quarantine_is_short_and_the_next_one_long(self) -> None:
        for level in (1, 2, 3):
            self.history.add(crash(level))
        self.assertTrue(self.held(FIRST_HOLD_SECONDS - 0.1))
        probed_at = FIRST_HOLD_SECONDS * (1.0 + HOLD_JITTER)
        self.assertFalse(self.held(probed_at))
        self.history.add(
            crash(next_crash_count(self.history.consecutive_crashes(CONTENT)), at=probed_at)
        )
        self.assertTrue(self.held(probed_at + LATER_HOLD_SECONDS - 0.1))
        self.assertFalse(self.held(probed_at + LATER_HOLD_SECONDS * (1.0 + HOLD_JITTER)))

    def test_end_of_a_quarantine_differs_between_nodes(self) -> None:
        records = [crash(level) for level in (1, 2, 3)]
        remaining = set()
        for node in range(20):
            history = CrashHistory(f"n{node}")
            history.replace(records)
            (held,) = history.quarantined_contents(0.0)
            remaining.add(held.seconds_left)
        self.assertEqual(20, len(remaining))
        self.assertGreaterEqual(min(remaining), FIRST_HOLD_SECONDS)
        self.assertLessEqual(max(remaining), FIRST_HOLD_SECONDS * (1.0 + HOLD_JITTER))

    def test_duration_of_a_quarantine_grows_up_to_a_bound(self) -> None:
        lengths = [hold_duration_seconds(extra_crashes) for extra_crashes in range(8)]
        self.assertEqual(sorted(lengths), lengths)
        self.assertEqual(lengths[-1], lengths[-2])

    def test_crashes_expire(self) -> None:
        self.history.add(crash(2, at=100.0))
        self.assertEqual([], self.history.expired(100.0 + CRASHES_REMEMBERED_SECONDS - 1.0))
        end = 100.0 + CRASHES_REMEMBERED_SECONDS * (1.0 + HOLD_JITTER) + 1.0
        self.assertEqual(1, len(self.history.expired(end)))
        self.assertEqual(0, self.history.consecutive_crashes(CONTENT))

    def test_expiry_differs_between_nodes(self) -> None:
        record = crash(1, at=0.0)
        expiry_times = []
        for node in range(40):
            history = CrashHistory(f"n{node}")
            history.add(record)
            at = CRASHES_REMEMBERED_SECONDS
            while not history.expired(at):
                at += 1.0
            expiry_times.append(at)
        self.assertGreater(max(expiry_times) - min(expiry_times), 0.3 * CRASHES_REMEMBERED_SECONDS)

    def test_crashes_of_a_quarantined_request_outlast_the_quarantine(self) -> None:
        for level in (1, 2, 3, 4):
            self.history.add(crash(level))
        end = LATER_HOLD_SECONDS * (1.0 + HOLD_JITTER)
        self.assertEqual([], self.history.expired(end + 1.0))
        self.assertEqual(4, self.history.consecutive_crashes(CONTENT))

    def test_eviction_removes_old_crashes_but_keeps_quarantined_requests(self) -> None:
        for level in (1, 2, 3):
            self.history.add(crash(level))
        for n in range(2 * MAXIMUM_CRASH_RECORDS):
            other = RequestContent("POST", "h.example", "/ask/x", str(n).encode())
            self.history.add(crash(1, content=other, at=n))
            self.assertLessEqual(self.history.count, MAXIMUM_CRASH_RECORDS)
        self.assertTrue(self.held())
        newest = RequestContent(
            "POST", "h.example", "/ask/x", str(2 * MAXIMUM_CRASH_RECORDS - 1).encode()
        )
        self.assertEqual(1, self.history.consecutive_crashes(newest))
