"""Texts of recorded results are stored once, and reused unchanged."""

from __future__ import annotations

import gc
import tracemalloc

import testtools

from stagewalk.gateway.batches.records import ItemFinished, ItemProgress
from stagewalk.gateway.batches.reusable_texts import ReusableText, ReusableTexts
from tests.gateway.batches.support import item

EVENTS, EVENT_CHARACTERS, ITEMS = 16, 500, 200


def result(name: str, text: str, score: str = "") -> ItemFinished:
    return ItemFinished("b", name, True, text, (1, 2), score)


class ReusableTextsTests(testtools.TestCase):
    def test_a_listed_text_is_stored_once(self) -> None:
        texts, listed = ReusableTexts(), []
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(ITEMS):
            text = "\n".join("t" * EVENT_CHARACTERS for _ in range(EVENTS))
            listed.append(result(str(number), text))
            texts.apply_result(item(str(number)), listed[-1])
        held = tracemalloc.get_traced_memory()[0] - before
        self.assertLess(held, 2 * ITEMS * EVENTS * EVENT_CHARACTERS)

    def test_a_listed_text_is_split_into_its_events(self) -> None:
        texts, spec = ReusableTexts(), item("x")
        texts.apply_result(spec, result("x", "one\ntwo", "score"))
        self.assertEqual(
            ReusableText(spec, ("one", "two"), (1, 2), whole=True, score="score"), texts.find(spec)
        )

    def test_progress_replaces_a_listed_text_only_with_more_score_failures(self) -> None:
        texts, spec = ReusableTexts(), item("x")
        texts.apply_result(spec, result("x", "one\ntwo"))
        texts.apply_progress(spec, ItemProgress("b", "x", ("one", "two", "three"), (1,)))
        known = texts.find(spec)
        assert known is not None
        self.assertEqual((("one", "two"), 0), (known.events, known.score_failures))
        texts.apply_progress(
            spec, ItemProgress("b", "x", ("one", "two"), (1, 2), whole=True, score_failures=2)
        )
        known = texts.find(spec)
        assert known is not None
        self.assertEqual(2, known.score_failures)
        texts.forget("x")
        self.assertIsNone(texts.find(spec))
