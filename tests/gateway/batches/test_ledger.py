"""Replay of batch records: positions never change, and an item's first result counts."""

from __future__ import annotations

import random

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.gateway.batches.batch import NO_RUNNER
from stagewalk.gateway.batches.ledger import BatchLedger, LedgerChange
from stagewalk.gateway.batches.record_parts import split_result, split_submission
from stagewalk.gateway.batches.records import (
    BatchClaimed,
    BatchEnded,
    BatchRecord,
    BatchReleased,
    ItemFinished,
    ItemProgress,
    decode_record,
    encode_record,
)
from stagewalk.gateway.batches.reusable_texts import ReusableText
from tests.gateway.batches.support import RecordingLedger, header, item, scored_item, submitted


def finished(name: str, text: str = "t", versions: tuple[int, ...] = (1,)) -> ItemFinished:
    return ItemFinished("b", name, True, text, versions)


class LedgerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.recording = RecordingLedger()
        self.ledger = self.recording.ledger
        self.batch = self.recording.open(submitted(item("x"), item("y")))

    def test_the_first_result_of_an_item_keeps_its_position(self) -> None:
        self.ledger.apply(finished("y", "first"), 1.0)
        self.ledger.apply(finished("y", "second"), 2.0)
        self.ledger.apply(finished("x"), 3.0)
        self.assertEqual(["first", "t"], [result.text for result in self.batch.results])
        self.assertFalse(self.batch.open)

    def test_a_result_on_too_old_weights_is_ignored(self) -> None:
        batch = self.recording.open(submitted(item("x"), batch="c", minimum=3))
        self.ledger.apply(ItemFinished("c", "x", True, "t", (2, 3)), 1.0)
        self.assertEqual([], batch.results)

    def test_a_repeated_submission_changes_nothing(self) -> None:
        self.ledger.apply(finished("x"), 1.0)
        self.ledger.apply(submitted(item("x"), item("y"), runner="other#2"), 2.0)
        self.assertEqual(1, len(self.batch.results))
        self.assertEqual("n#1", self.batch.runner)

    def test_a_submission_in_parts_exists_once_all_are_there(self) -> None:
        items = [item(f"i{number}") for number in range(50)]
        payloads = split_submission(header("p"), items, "s", "n#1", 5_000)
        self.assertGreater(len(payloads), 1)
        for payload in payloads:
            self.assertIsNone(self.ledger.get("p"))
            self.assertLessEqual(len(payload), 5_000)
            self.ledger.apply(decode_record(payload), 0.0)
        self.assertEqual(50, len(self.ledger.get("p").items))

    def test_a_result_larger_than_a_record_is_listed_at_its_last_part(self) -> None:
        large = finished("x", "ä" * 9_000 + "\n" + "z" * 9_000)
        payloads = split_result(large, "r1", 8_000)
        self.assertGreater(len(payloads), 2)
        self.assertLessEqual(max(map(len, payloads)), 8_000)
        for payload in payloads:
            self.assertEqual([], self.batch.results)
            self.ledger.apply(decode_record(payload), 1.0)
        self.assertEqual([large], self.batch.results)

    def test_parts_of_two_results_of_one_item_are_never_joined(self) -> None:
        one = split_result(finished("x", "a" * 20_000), "r1", 8_000)
        other = split_result(finished("x", "b" * 20_000), "r2", 8_000)
        for payload in (one[0], *other[:-1], *one[1:], other[-1]):
            self.ledger.apply(decode_record(payload), 1.0)
        self.assertEqual(["a" * 20_000], [result.text for result in self.batch.results])

    def test_only_the_next_claim_counts(self) -> None:
        self.ledger.apply(BatchClaimed("b", "second#1", 1), 1.0)
        self.ledger.apply(BatchClaimed("b", "third#1", 1), 1.0)
        self.assertEqual("second#1", self.batch.runner)
        self.ledger.apply(BatchClaimed("b", "third#1", 2), 2.0)
        self.assertEqual("third#1", self.batch.runner)

    def test_only_the_runner_releases(self) -> None:
        self.ledger.apply(BatchReleased("b", "other#1"), 1.0)
        self.assertEqual("n#1", self.batch.runner)
        self.ledger.apply(BatchReleased("b", "n#1"), 1.0)
        self.assertEqual(NO_RUNNER, self.batch.runner)

    def test_the_longest_text_is_kept_until_the_complete_one(self) -> None:
        spec = self.batch.items["x"]
        self.ledger.apply(ItemProgress("b", "x", ("1", "2"), (1,)), 1.0)
        self.ledger.apply(ItemProgress("b", "x", ("1",), (1,)), 1.0)
        self.assertEqual(("1", "2"), self.ledger.reusable_text(spec).events)
        self.ledger.apply(finished("x", "a\nb\nc"), 1.0)
        kept = self.ledger.reusable_text(spec)
        self.assertEqual((("a", "b", "c"), True), (kept.events, kept.whole))

    def test_text_of_another_request_under_the_same_id_is_not_kept(self) -> None:
        self.ledger.apply(finished("x"), 1.0)
        other = msgspec.structs.replace(self.batch.items["x"], body=b"other")
        self.assertIsNone(self.ledger.reusable_text(other))

    def test_an_ended_batch_keeps_what_is_listed(self) -> None:
        self.ledger.apply(finished("x"), 1.0)
        self.ledger.apply(BatchEnded("b"), 2.0)
        self.ledger.apply(BatchEnded("b"), 3.0)
        self.assertEqual(1, self.recording.changes.count(LedgerChange.ENDED))
        self.assertEqual(1, len(self.batch.results))

    @given(st.randoms(use_true_random=False))
    def test_every_node_folds_the_same_list_however_it_reads(self, chooser: random.Random) -> None:
        names = [f"i{number}" for number in range(6)]
        records: list[BatchRecord] = [submitted(*(item(name) for name in names))]
        for number in range(30):
            name = chooser.choice(names)
            records.append(
                chooser.choice(
                    [
                        finished(name, f"t{number}", (chooser.randint(0, 2),)),
                        ItemFinished("b", name, False, "", ()),
                        BatchClaimed("b", f"n#{number}", chooser.randint(1, 4)),
                        ItemProgress("b", name, ("1",) * chooser.randint(1, 3), (1,)),
                    ]
                )
            )
        folds = [BatchLedger(lambda _batch, _change: None) for _ in range(2)]
        shown: list[ItemFinished] = []
        for record in records:
            folds[0].apply(record, 0.0)
            results = folds[0].get("b").results
            self.assertEqual(shown, results[: len(shown)])
            shown = list(results)
        for record in records:
            folds[1].apply(decode_record(encode_record(record)), chooser.random())
        self.assertEqual(shown, folds[1].get("b").results)
        self.assertEqual(folds[0].get("b").runner, folds[1].get("b").runner)
        self.assertEqual(len(shown), len({result.item for result in shown}))


class ScoredLedgerTests(testtools.TestCase):
    """Text and score are one result, and both are kept for a node that takes over."""

    def setUp(self) -> None:
        super().setUp()
        self.recording = RecordingLedger()
        self.ledger = self.recording.ledger
        self.batch = self.recording.open(submitted(scored_item("x")))

    def kept(self, call: str = "x-score") -> ReusableText:
        kept = self.ledger.reusable_text(scored_item("x", call))
        assert kept is not None
        return kept

    def test_a_text_without_its_score_is_no_result(self) -> None:
        self.ledger.apply(ItemFinished("b", "x", True, "1\n2", (1,)), 1.0)
        self.assertEqual([], self.batch.results)
        self.ledger.apply(ItemFinished("b", "x", True, "1\n2", (1,), "sig"), 1.0)
        self.assertEqual(["sig"], [result.score for result in self.batch.results])

    def test_a_large_result_keeps_its_score(self) -> None:
        finished = ItemFinished("b", "x", True, "1" * 20_000, (1,), "sig")
        for payload in split_result(finished, "r", 8_192):
            self.ledger.apply(decode_record(payload), 1.0)
        self.assertEqual([finished], self.batch.results)

    def test_a_complete_text_is_kept_with_its_score_failures(self) -> None:
        self.ledger.apply(ItemProgress("b", "x", ("1", "2"), (1,)), 1.0)
        self.ledger.apply(ItemProgress("b", "x", ("1", "2"), (1,), True, 1), 1.0)
        self.ledger.apply(ItemProgress("b", "x", ("1",), (1,)), 1.0)
        self.ledger.apply(ItemProgress("b", "x", ("1", "2"), (1,), True, 2), 1.0)
        self.ledger.apply(ItemProgress("b", "x", ("1", "2"), (1,), True, 1), 1.0)
        self.assertEqual((True, "", 2), (self.kept().whole, self.kept().score, 2))
        self.assertEqual(2, self.kept().score_failures)

    def test_a_score_belongs_to_its_call_alone(self) -> None:
        self.ledger.apply(ItemFinished("b", "x", True, "1\n2", (1,), "sig"), 1.0)
        self.assertEqual("sig", self.kept().score)
        self.assertEqual(("", True), (self.kept("other").score, self.kept("other").whole))
