"""Items are retried, fail, or are given up by the response and the route's limits."""

from __future__ import annotations

import dataclasses

import testtools

from stagewalk.gateway.batches.retry_rules import (
    HTTP_OK,
    RUN_FAILED,
    UNPROCESSABLE,
    AttemptOutcome,
    is_overdue,
    judge_item_answer,
)
from tests.gateway.batches.support import batch_route

ROUTE = dataclasses.replace(batch_route(), maximum_attempts=3, give_up_seconds=40.0)


class JudgeAnswerTests(testtools.TestCase):
    def judge(self, status: int, events: bool = True, failures: int = 0) -> AttemptOutcome:
        return judge_item_answer(status, has_events=events, run_failures=failures, route=ROUTE)

    def test_a_success_without_text_is_retried(self) -> None:
        self.assertIs(AttemptOutcome.TEXT_WHOLE, self.judge(HTTP_OK))
        self.assertIs(AttemptOutcome.RETRY, self.judge(HTTP_OK, events=False))

    def test_only_failed_runs_count_and_the_last_one_allowed_fails_the_item(self) -> None:
        self.assertIs(AttemptOutcome.RETRY, self.judge(RUN_FAILED, failures=2))
        self.assertIs(AttemptOutcome.FAILED, self.judge(RUN_FAILED, failures=3))
        self.assertIs(AttemptOutcome.RETRY, self.judge(503, failures=3))

    def test_a_status_of_unprocessable_fails_the_item_at_once(self) -> None:
        self.assertIs(AttemptOutcome.FAILED, self.judge(UNPROCESSABLE, events=False))

    def test_without_a_route_nothing_limits_retries(self) -> None:
        outcome = judge_item_answer(RUN_FAILED, has_events=False, run_failures=99, route=None)
        self.assertIs(AttemptOutcome.RETRY, outcome)


class OverdueTests(testtools.TestCase):
    def test_items_are_given_up_after_the_time_of_their_route(self) -> None:
        self.assertFalse(is_overdue(10.0, ROUTE, 50.0))
        self.assertTrue(is_overdue(10.0, ROUTE, 50.1))
        self.assertFalse(is_overdue(10.0, None, 1_000.0))
