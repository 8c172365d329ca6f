"""The budget limits lines by kind of event, and failures are preferred."""

from __future__ import annotations

import testtools

from stagewalk.common.logs.budget import (
    BURST_LINES,
    FAILURE_BURST_LINES,
    FAILURE_LINES_PER_SECOND,
    LINES_PER_SECOND,
    MAXIMUM_EVENT_KINDS,
    LogBudget,
)


def count_written(
    budget: LogBudget, event: str, count: int, now: float, *, failure: bool = False
) -> int:
    return sum(budget.allows(event, failure, now) for _ in range(count))


class LogBudgetTests(testtools.TestCase):
    def test_a_burst_is_written_and_lines_beyond_it_are_counted(self) -> None:
        budget = LogBudget()
        burst = int(BURST_LINES)
        self.assertEqual(burst, count_written(budget, "a", burst + 30, 0.0))
        self.assertEqual({"a": 30}, budget.pop_dropped_counts())
        self.assertEqual({}, budget.pop_dropped_counts())

    def test_the_sustained_rate_is_limited(self) -> None:
        budget = LogBudget()
        lines = sum(count_written(budget, "a", 1_000, float(second)) for second in range(10))
        self.assertEqual(BURST_LINES + 9 * LINES_PER_SECOND, lines)

    def test_kinds_have_separate_budgets(self) -> None:
        budget = LogBudget()
        count_written(budget, "a", 10_000, 0.0)
        self.assertEqual(1, count_written(budget, "b", 1, 0.0))

    def test_failures_are_written_when_the_ordinary_budget_is_exhausted(self) -> None:
        budget = LogBudget()
        count_written(budget, "request_ended", 10_000, 0.0)
        self.assertEqual(50, count_written(budget, "request_ended", 50, 0.0, failure=True))

    def test_failures_are_limited_and_use_the_rest_of_the_ordinary_budget(self) -> None:
        budget = LogBudget()
        lines = count_written(budget, "a", 100_000, 0.0, failure=True)
        self.assertEqual(FAILURE_BURST_LINES + BURST_LINES, lines)
        later = count_written(budget, "a", 100_000, 1.0, failure=True)
        self.assertEqual(FAILURE_LINES_PER_SECOND + LINES_PER_SECOND, later)

    def test_the_number_of_kinds_is_bounded(self) -> None:
        budget = LogBudget()
        for number in range(10 * MAXIMUM_EVENT_KINDS):
            count_written(budget, f"kind-{number}", 1, 0.0)
        expected = 9 * MAXIMUM_EVENT_KINDS - int(BURST_LINES)
        self.assertEqual({"other": expected}, budget.pop_dropped_counts())

    def test_events_are_counted_even_if_their_lines_are_dropped(self) -> None:
        budget = LogBudget()
        count_written(budget, "a", 10_000, 0.0)
        count_written(budget, "a", 3, 0.0, failure=True)
        self.assertEqual({("a", False): 10_000, ("a", True): 3}, budget.events)
