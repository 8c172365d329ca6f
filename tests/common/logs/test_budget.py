"""The budget bounds lines by kind, and failures come first."""

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


def written(budget: LogBudget, event: str, count: int, now: float, *, failure: bool = False) -> int:
    return sum(budget.allows(event, failure, now) for _ in range(count))


class LogBudgetTests(testtools.TestCase):
    def test_a_burst_is_written_and_what_is_over_it_is_counted(self) -> None:
        budget = LogBudget()
        most = int(BURST_LINES)
        self.assertEqual(most, written(budget, "a", most + 30, 0.0))
        self.assertEqual({"a": 30}, budget.pop_dropped_counts())
        self.assertEqual({}, budget.pop_dropped_counts())

    def test_in_the_long_run_lines_are_bounded_by_the_second(self) -> None:
        budget = LogBudget()
        lines = sum(written(budget, "a", 1_000, float(second)) for second in range(10))
        self.assertEqual(BURST_LINES + 9 * LINES_PER_SECOND, lines)

    def test_one_kind_takes_nothing_from_another(self) -> None:
        budget = LogBudget()
        written(budget, "a", 10_000, 0.0)
        self.assertEqual(1, written(budget, "b", 1, 0.0))

    def test_a_failure_is_written_when_good_lines_have_spent_their_budget(self) -> None:
        budget = LogBudget()
        written(budget, "request_ended", 10_000, 0.0)
        self.assertEqual(50, written(budget, "request_ended", 50, 0.0, failure=True))

    def test_failures_are_bounded_too_and_take_what_good_lines_left(self) -> None:
        budget = LogBudget()
        lines = written(budget, "a", 100_000, 0.0, failure=True)
        self.assertEqual(FAILURE_BURST_LINES + BURST_LINES, lines)
        later = written(budget, "a", 100_000, 1.0, failure=True)
        self.assertEqual(FAILURE_LINES_PER_SECOND + LINES_PER_SECOND, later)

    def test_kinds_without_end_take_no_memory_without_end(self) -> None:
        budget = LogBudget()
        for number in range(10 * MAXIMUM_EVENT_KINDS):
            written(budget, f"kind-{number}", 1, 0.0)
        expected = 9 * MAXIMUM_EVENT_KINDS - int(BURST_LINES)
        self.assertEqual({"other": expected}, budget.pop_dropped_counts())

    def test_events_are_counted_whether_their_lines_are_written_or_not(self) -> None:
        budget = LogBudget()
        written(budget, "a", 10_000, 0.0)
        written(budget, "a", 3, 0.0, failure=True)
        self.assertEqual({("a", False): 10_000, ("a", True): 3}, budget.events)
