"""Reads are complete and in order, and each record is appended once, under faults of the log."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.common.errors import ErrorKind, ErrorStep
from stagewalk.common.identities import RecordId
from stagewalk.node.core.events import AppendConfirmed, LogRead
from stagewalk.node.core.instructions import ReadLog
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.log_client.config import LogClientConfig
from tests.node.log_client.model import LANDS_LATE_SECONDS, Faults, LogWorld

chances = st.sampled_from([0.0, 0.3, 0.7])
fault_mixes = st.builds(Faults, chances, chances, chances, chances, st.just(0.0))
PATIENT = LogClientConfig(abandon_after=1e6)


def world(faults: Faults | None = None, config: LogClientConfig = PATIENT) -> LogWorld:
    return LogWorld(3, faults or Faults(), config)


class ReadTest(testtools.TestCase):
    @given(st.integers(0, 2**32), chances, st.integers(0, 12))
    @settings(max_examples=40)
    def test_followed_records_come_whole_and_once(
        self, seed: int, read_fails: float, start: int
    ) -> None:
        log = LogWorld(seed, Faults(read_fails=read_fails), PATIENT)
        for n in range(12):
            log.put("s", f"a{n}")
        log.client.follow("s", start)
        log.run(3.0)
        for n in range(12):
            log.put("s", f"b{n}")
        log.run(120.0)
        self.assertEqual(log.streams["s"][start:], log.read["s"])
        self.assertEqual(24, log.heads["s"][-1])
        self.assertEqual(1, log.most_reads_open)

    def test_first_read_of_an_empty_stream_is_notified_once(self) -> None:
        log = world()
        log.client.follow("s", 0)
        log.run(20.0)
        self.assertEqual([0], log.heads["s"])

    def test_follow_latest_starts_at_the_last_records(self) -> None:
        log = world()
        for n in range(20):
            log.put("s", f"a{n}")
        log.client.follow_latest("s", 2)
        log.run(5.0)
        self.assertEqual(log.streams["s"][18:], log.read["s"])

    def test_first_read_of_follow_latest_does_not_wait(self) -> None:
        log = world()
        log.client.follow_latest("s", 2)
        (first,) = log.client.tick(0.0)
        self.assertEqual(ReadLog("s", 0, wait=False), first)
        log.client.handle(LogRead("s", (), 0), 0.1)
        (second,) = log.client.tick(1.0)
        self.assertEqual(ReadLog("s", 0, wait=True), second)

    def test_advance_skips_records_and_never_moves_back(self) -> None:
        log = world()
        for n in range(20):
            log.put("s", f"a{n}")
        log.client.follow("s", 0)
        log.client.advance("s", 15)
        log.client.advance("s", 4)
        log.run(5.0)
        self.assertEqual(log.streams["s"][15:], log.read["s"])

    def test_only_consecutive_records_of_an_answer_are_notified(self) -> None:
        log = world()
        log.client.follow("s", 0)
        records = [LogRecord(n, RecordId(f"a{n}"), b"") for n in range(9)]
        for offsets in ((0, 1), (1, 2), (4, 5), (0, 1, 2, 3, 5)):
            log.feed(LogRead("s", tuple(records[n] for n in offsets), 9))
        self.assertEqual(records[:4], log.read["s"])


class AppendTest(testtools.TestCase):
    @given(st.integers(0, 2**32), fault_mixes, st.booleans())
    @settings(max_examples=60)
    def test_every_record_lands_once_and_in_order(
        self, seed: int, faults: Faults, followed: bool
    ) -> None:
        log = LogWorld(seed, faults, PATIENT)
        for n in range(8):
            log.put("s", f"old{n}")
        if followed:
            log.client.follow("s", 0)
        ids = [log.append("s") for _ in range(4)]
        log.run(1000.0)
        self.assertEqual(ids, [record.record_id for record in log.streams["s"][8:]])
        self.assertEqual({each: [8 + n] for n, each in enumerate(ids)}, log.settled)

    @given(st.integers(0, 2**32))
    @settings(max_examples=30)
    def test_a_copy_that_lands_late_is_the_same_record(self, seed: int) -> None:
        log = LogWorld(seed, Faults(lands_late=0.5, answer_lost=0.3), PATIENT)
        log.client.follow("s", 0)
        ids = [log.append("s") for _ in range(3)]
        log.run(200.0)
        landed = [record.record_id for record in log.streams["s"]]
        self.assertEqual(ids, sorted(set(landed), key=landed.index))
        self.assertEqual({each: [landed.index(each)] for each in ids}, log.settled)

    @given(st.integers(0, 2**32))
    @settings(max_examples=10)
    def test_a_copy_that_lands_before_the_proof_is_not_sent_twice(self, seed: int) -> None:
        patient = LogClientConfig(abandon_after=1e6, settle_delay=LANDS_LATE_SECONDS + 1.0)
        log = LogWorld(seed, Faults(lands_late=0.5), patient)
        ids = [log.append("s") for _ in range(3)]
        log.run(60.0)
        self.assertEqual(ids, [record.record_id for record in log.streams["s"]])

    def test_append_with_lost_answer_is_not_repeated_if_found(self) -> None:
        log = world(Faults(answer_lost=1.0))
        record_id = log.append("s")
        log.run(60.0)
        self.assertEqual([record_id], log.appends_sent)
        self.assertEqual({record_id: [0]}, log.settled)

    def test_append_is_settled_behind_a_long_backlog(self) -> None:
        log = world(Faults(answer_lost=1.0))
        for n in range(400):
            log.put("s", f"old{n}")
        log.client.follow("s", 0)
        log.run(0.2)
        record_id = log.append("s")
        log.run(60.0)
        self.assertEqual([record_id], log.appends_sent)
        self.assertEqual({record_id: [400]}, log.settled)

    def test_unfollowed_stream_is_not_read_from_its_beginning(self) -> None:
        log = world(Faults(answer_lost=1.0))
        for n in range(400):
            log.put("s", f"old{n}")
        record_id = log.append("s")
        log.run(60.0)
        self.assertEqual({record_id: [400]}, log.settled)
        self.assertEqual([0, 400], log.read_offsets[:2])

    def test_failing_stream_does_not_delay_another(self) -> None:
        log = world()
        log.down.add("bad")
        log.client.follow("bad", 0)
        log.client.follow("good", 0)
        bad, good = log.append("bad"), log.append("good")
        log.run(1.0)
        self.assertEqual({good: [0]}, log.settled)
        log.down.clear()
        log.run(15.0)
        self.assertEqual({good: [0], bad: [0]}, log.settled)

    def test_attempts_during_an_outage_are_limited_by_backoff(self) -> None:
        log = world()
        log.client.follow("s", 0)
        log.run(1.0)
        log.down.add("s")
        record_id = log.append("s")
        log.run(3600.0)
        self.assertLess(len(log.appends_sent), 1500)
        log.down.clear()
        log.run(10.0)
        self.assertEqual({record_id: [0]}, log.settled)

    def test_abandoned_append_reports_whether_outcome_is_unknown(self) -> None:
        for faults, unknown in ((Faults(append_refused=1), False), (Faults(append_lost=1), True)):
            log = world(faults, LogClientConfig(abandon_after=20.0))
            log.append("s")
            log.run(60.0)
            self.assertEqual([unknown], [each.outcome_unknown for each in log.abandoned])

    def test_full_queue_returns_overloaded_error(self) -> None:
        log = world(config=LogClientConfig(queue_limit=2))
        log.append("s")
        log.append("s")
        error = log.client.append("s", b"", 0.0).error
        self.assertEqual((ErrorKind.OVERLOADED, ErrorStep.LOG_APPEND), (error.kind, error.step))
        self.assertTrue(log.client.append("other", b"", 0.0).is_ok())

    def test_missing_answers_count_as_lost(self) -> None:
        log = world(Faults(longest_delay=1e5), LogClientConfig(abandon_after=100.0))
        log.client.follow("s", 0)
        log.append("s")
        log.feed(LogRead("s", (), 0))
        log.run(200.0)
        self.assertEqual([True], [each.outcome_unknown for each in log.abandoned])

    def test_confirmation_of_another_record_is_ignored(self) -> None:
        log = world()
        record_id = log.append("s")
        log.feed(AppendConfirmed("s", RecordId("foreign"), 0))
        log.run(5.0)
        self.assertEqual({record_id: [0]}, log.settled)
