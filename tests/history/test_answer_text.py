"""Tests that faults of an answer are found from its text alone."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import WeightVersion
from stagewalk.history.answer_text import (
    answer_length,
    content_key,
    render_chunk,
    spans_from_text,
    wholeness_fault,
)
from stagewalk.node.core.completions import VersionSpan

PROMPT = "place names of sheet 7"


def chunk(start: int, end: int, version: int = 1, prompt: str = PROMPT) -> str:
    return render_chunk(content_key(prompt, 5), start, end, WeightVersion(version))


class AnswerTextTest(testtools.TestCase):
    def test_whole_answer_has_no_fault(self) -> None:
        self.assertIsNone(wholeness_fault(chunk(0, 4) + chunk(4, 9), PROMPT, 5, 9))

    def test_faults_are_found(self) -> None:
        faulty = {
            "truncated": chunk(0, 4),
            "doubled chunk": chunk(0, 4) + chunk(0, 4) + chunk(4, 9),
            "gap": chunk(0, 4) + chunk(5, 9),
            "foreign": chunk(0, 4) + chunk(4, 9, prompt="other"),
            "torn": (chunk(0, 4) + chunk(4, 9))[:-3],
        }
        for name, text in faulty.items():
            self.assertIsNotNone(wholeness_fault(text, PROMPT, 5, 9), name)

    def test_spans_name_each_version_once_per_run_of_tokens(self) -> None:
        text = chunk(0, 4, 1) + chunk(4, 6, 1) + chunk(6, 9, 2)
        expected = (VersionSpan(WeightVersion(1), 6), VersionSpan(WeightVersion(2), 3))
        self.assertEqual(expected, spans_from_text(text))

    def test_lengths_are_deterministic_heavy_tailed_and_bounded(self) -> None:
        lengths = sorted(answer_length(f"p{i}", 1, 4096) for i in range(2000))
        self.assertEqual(lengths, sorted(answer_length(f"p{i}", 1, 4096) for i in range(2000)))
        self.assertTrue(90 < lengths[1000] < 150, lengths[1000])
        self.assertGreater(lengths[-1], 5 * lengths[1000])
        self.assertEqual(10, answer_length("p0", 1, 10))
