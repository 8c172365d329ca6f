"""Classification of answers, retry delay and number of concurrent attempts of score calls."""

from __future__ import annotations

import testtools

from stagewalk.gateway.scoring.retry_rules import (
    MAXIMUM_CONCURRENT_ATTEMPTS,
    MAXIMUM_SCORE_RETRY_DELAY_SECONDS,
    AnswerMeaning,
    classify_answer,
    maximum_attempts_in_flight,
    retry_delay_seconds,
)


class ScoreRetryRulesTests(testtools.TestCase):
    def test_answers_are_classified_by_status_and_signature(self) -> None:
        self.assertIs(AnswerMeaning.SCORED, classify_answer(200, signed=True))
        self.assertIs(AnswerMeaning.NO_SCORE, classify_answer(200, signed=False))
        self.assertIs(AnswerMeaning.FAILED, classify_answer(500, signed=False))
        self.assertIs(AnswerMeaning.NO_SCORE, classify_answer(503, signed=True))

    def test_delay_doubles_up_to_the_maximum(self) -> None:
        self.assertEqual([0.05, 0.1, 0.2], [retry_delay_seconds(n) for n in (1, 2, 3)])
        self.assertEqual(MAXIMUM_SCORE_RETRY_DELAY_SECONDS, retry_delay_seconds(99))

    def test_concurrent_attempts_are_bounded_by_the_remaining_failures(self) -> None:
        self.assertEqual(MAXIMUM_CONCURRENT_ATTEMPTS, maximum_attempts_in_flight(5, 0, hedges=True))
        self.assertEqual(1, maximum_attempts_in_flight(5, 0, hedges=False))
        self.assertEqual(1, maximum_attempts_in_flight(3, 2, hedges=True))
