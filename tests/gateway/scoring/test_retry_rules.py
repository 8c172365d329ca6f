"""When a score call is tried again, and how many attempts run together."""

from __future__ import annotations

import testtools

from stagewalk.gateway.scoring.retry_rules import (
    MAXIMUM_CONCURRENT_ATTEMPTS,
    MAXIMUM_SCORE_RETRY_DELAY_SECONDS,
    AnswerMeaning,
    judge_answer,
    most_attempts,
    pause_seconds,
)


class ScoreRetryRulesTests(testtools.TestCase):
    def test_an_answer_scores_fails_or_says_nothing(self) -> None:
        self.assertIs(AnswerMeaning.SCORED, judge_answer(200, signed=True))
        self.assertIs(AnswerMeaning.NO_SCORE, judge_answer(200, signed=False))
        self.assertIs(AnswerMeaning.FAILED, judge_answer(500, signed=False))
        self.assertIs(AnswerMeaning.NO_SCORE, judge_answer(503, signed=True))

    def test_pauses_double_up_to_the_longest(self) -> None:
        self.assertEqual([0.05, 0.1, 0.2], [pause_seconds(n) for n in (1, 2, 3)])
        self.assertEqual(MAXIMUM_SCORE_RETRY_DELAY_SECONDS, pause_seconds(99))

    def test_no_more_attempts_run_than_may_all_fail(self) -> None:
        self.assertEqual(MAXIMUM_CONCURRENT_ATTEMPTS, most_attempts(5, 0, hedges=True))
        self.assertEqual(1, most_attempts(5, 0, hedges=False))
        self.assertEqual(1, most_attempts(3, 2, hedges=True))
