"""Which requests count as crashing their workers, and which were only there."""

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
    hold_seconds,
    next_crash_count,
)
from stagewalk.gateway.quarantine.records import CRASH_KEY_PREFIX, CrashRecord, decode_crash_record

CONTENT = RequestContent("POST", "h.example", "/ask/x?q=1", b"body")
NUMBERS = itertools.count()


def crash(
    level: int, *, content: RequestContent = CONTENT, at: float = 0.0, address: str = ""
) -> CrashRecord:
    """Return the end of a worker of its own, at an address of its own if none is given."""
    worker = f"w{next(NUMBERS)}"
    where = address or worker
    return CrashRecord(content.digest, worker, where, level, int(at * 1000), "n1", "ask")


class ContentTests(testtools.TestCase):
    def test_what_a_worker_runs_decides_and_nothing_else(self) -> None:
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
    def test_a_record_comes_back_as_it_was(self) -> None:
        told = crash(2)
        self.assertEqual(told, decode_crash_record(told.encode()))
        self.assertTrue(told.key.startswith(CRASH_KEY_PREFIX))

    def test_what_is_no_strike_is_none(self) -> None:
        for value in (b"", b"{}", b"\xff" * 40, crash(1).encode()[:-1]):
            self.assertIsNone(decode_crash_record(value))
        self.assertIsNone(decode_crash_record(crash(0).encode()))
        self.assertIsNone(decode_crash_record(crash(10_000).encode()))

    def test_a_key_is_short_whatever_a_worker_is_called(self) -> None:
        long_name = CrashRecord(CONTENT.digest, "w" * 5000, "a", 1, 0, "n", "r")
        self.assertLess(len(long_name.key), 100)


class CrashSuspectsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = CrashHistory("n1")

    def held(self, at: float = 0.0, *, item: bool = False) -> bool:
        return self.suspects.held(CONTENT, at, item=item)

    def test_three_ends_in_a_row_hold_a_request_back(self) -> None:
        self.assertFalse(self.suspects.add(crash(1)))
        self.assertFalse(self.suspects.add(crash(2)))
        self.assertFalse(self.held())
        self.assertTrue(self.suspects.add(crash(3)))
        self.assertTrue(self.held())
        self.assertFalse(self.suspects.add(crash(4)))

    def test_workers_that_end_at_the_same_moment_count_once(self) -> None:
        """A rack that loses power takes all the workers that a request was on its way to."""
        for _ in range(12):
            self.suspects.add(crash(1))
        self.assertEqual(1, self.suspects.consecutive_crashes(CONTENT))
        self.assertFalse(self.held())

    def test_one_ill_worker_needs_more_ends_than_several_sound_ones(self) -> None:
        for level in range(1, HELD_AFTER_CRASHES_AT_ONE_ADDRESS):
            self.suspects.add(crash(level, address="one"))
        self.assertFalse(self.held())
        self.suspects.add(crash(HELD_AFTER_CRASHES_AT_ONE_ADDRESS, address="one"))
        self.assertTrue(self.held())

    def test_an_item_needs_more_ends_than_a_request(self) -> None:
        for level in range(1, HELD_AFTER_CRASHES_OF_ITEM):
            self.suspects.add(crash(level))
        self.assertFalse(self.held(item=True))
        self.suspects.add(crash(HELD_AFTER_CRASHES_OF_ITEM))
        self.assertTrue(self.held(item=True))

    def test_an_answer_clears_a_request(self) -> None:
        for level in (1, 2, 3):
            self.suspects.add(crash(level))
        self.assertEqual(3, len(self.suspects.clear(CONTENT.digest)))
        self.assertFalse(self.held())
        self.assertFalse(self.suspects.any)
        self.assertEqual(0, self.suspects.count)

    def test_what_is_taken_back_counts_no_more(self) -> None:
        told = [crash(level) for level in (1, 2, 3)]
        self.suspects.replace(told)
        self.suspects.drop(told[2].key)
        self.assertEqual(2, self.suspects.consecutive_crashes(CONTENT))
        for one in told:
            self.suspects.drop(one.key)
        self.suspects.drop("crash-strike/unknown/key")
        self.suspects.drop("no key of a strike")
        self.assertFalse(self.suspects.any)

    def test_a_request_is_run_once_more_and_then_held_back_for_long(self) -> None:
        for level in (1, 2, 3):
            self.suspects.add(crash(level))
        self.assertTrue(self.held(FIRST_HOLD_SECONDS - 0.1))
        tried_at = FIRST_HOLD_SECONDS * (1.0 + HOLD_JITTER)
        self.assertFalse(self.held(tried_at))
        self.suspects.add(
            crash(next_crash_count(self.suspects.consecutive_crashes(CONTENT)), at=tried_at)
        )
        self.assertTrue(self.held(tried_at + LATER_HOLD_SECONDS - 0.1))
        self.assertFalse(self.held(tried_at + LATER_HOLD_SECONDS * (1.0 + HOLD_JITTER)))

    def test_nodes_end_a_hold_at_different_times(self) -> None:
        told = [crash(level) for level in (1, 2, 3)]
        left = set()
        for node in range(20):
            suspects = CrashHistory(f"n{node}")
            suspects.replace(told)
            (held,) = suspects.quarantined_contents(0.0)
            left.add(held.seconds_left)
        self.assertEqual(20, len(left))
        self.assertGreaterEqual(min(left), FIRST_HOLD_SECONDS)
        self.assertLessEqual(max(left), FIRST_HOLD_SECONDS * (1.0 + HOLD_JITTER))

    def test_the_length_of_a_hold_grows_up_to_a_bound(self) -> None:
        lengths = [hold_seconds(further) for further in range(8)]
        self.assertEqual(sorted(lengths), lengths)
        self.assertEqual(lengths[-1], lengths[-2])

    def test_suspicion_fades(self) -> None:
        self.suspects.add(crash(2, at=100.0))
        self.assertEqual([], self.suspects.expired(100.0 + CRASHES_REMEMBERED_SECONDS - 1.0))
        end = 100.0 + CRASHES_REMEMBERED_SECONDS * (1.0 + HOLD_JITTER) + 1.0
        self.assertEqual(1, len(self.suspects.expired(end)))
        self.assertEqual(0, self.suspects.consecutive_crashes(CONTENT))

    def test_nodes_forget_at_different_times(self) -> None:
        told = crash(1, at=0.0)
        forgetting = []
        for node in range(40):
            suspects = CrashHistory(f"n{node}")
            suspects.add(told)
            at = CRASHES_REMEMBERED_SECONDS
            while not suspects.expired(at):
                at += 1.0
            forgetting.append(at)
        self.assertGreater(max(forgetting) - min(forgetting), 0.3 * CRASHES_REMEMBERED_SECONDS)

    def test_what_is_held_back_is_remembered_for_longer_than_it_is_held(self) -> None:
        for level in (1, 2, 3, 4):
            self.suspects.add(crash(level))
        end = LATER_HOLD_SECONDS * (1.0 + HOLD_JITTER)
        self.assertEqual([], self.suspects.expired(end + 1.0))
        self.assertEqual(4, self.suspects.consecutive_crashes(CONTENT))

    def test_many_different_requests_push_out_old_suspects_and_not_what_is_held_back(self) -> None:
        for level in (1, 2, 3):
            self.suspects.add(crash(level))
        for n in range(2 * MAXIMUM_CRASH_RECORDS):
            other = RequestContent("POST", "h.example", "/ask/x", str(n).encode())
            self.suspects.add(crash(1, content=other, at=n))
            self.assertLessEqual(self.suspects.count, MAXIMUM_CRASH_RECORDS)
        self.assertTrue(self.held())
        newest = RequestContent(
            "POST", "h.example", "/ask/x", str(2 * MAXIMUM_CRASH_RECORDS - 1).encode()
        )
        self.assertEqual(1, self.suspects.consecutive_crashes(newest))
