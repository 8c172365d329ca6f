"""One line of key=value pairs for each event."""

from __future__ import annotations

import logging
import shlex
from unittest import mock

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.logs.budget import BURST_LINES, LogBudget
from stagewalk.common.logs.lines import configure_logs, format_line, log_event


class LogLinesTest(testtools.TestCase):
    def capture(self, level: str = "info") -> list[str]:
        lines: list[str] = []
        self.addCleanup(configure_logs(level, lines.append))
        lines.clear()  # eliot sends earlier messages to its first destination
        return lines

    def test_event(self) -> None:
        lines = self.capture()
        log_event("request_finished", request_id="r1", tokens=3, seconds=0.25, ok=True)
        (line,) = lines
        self.assertRegex(line, r"^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info ")
        self.assertIn("event=request_finished request_id=r1 tokens=3 seconds=0.25 ok=true\n", line)

    def test_values_are_quoted_where_needed(self) -> None:
        lines = self.capture()
        log_event("failed", detail='a "b"\nc=d', empty="")
        self.assertIn(r'detail="a \"b\"\nc=d" empty=""', lines[0])

    @given(st.text(max_size=40), st.text(max_size=10))
    def test_any_value_stays_on_one_line_and_in_its_field(self, value: str, key: str) -> None:
        message = {"timestamp": 0.0, "message_type": "event", f"x{key}": value, "last": "1"}
        line = format_line(message)
        self.assertEqual(set(), {"\n", "\r"} & set(line))
        if value.isascii():
            self.assertEqual(5, len(shlex.split(line)))

    def test_levels_below_the_minimum_are_omitted(self) -> None:
        lines = self.capture("warning")
        log_event("quiet")
        log_event("loud", "error")
        self.assertEqual(["loud"], [line.split("event=")[1].strip() for line in lines])

    def test_library_messages_are_converted_to_events(self) -> None:
        lines = self.capture()
        for _ in range(3):
            logging.getLogger("some.library").error("broken %s", "pipe")
        self.assertEqual(1, len(lines))
        self.assertIn('event=library_message logger=some.library detail="broken pipe"', lines[0])

    def test_lines_include_the_node_and_are_limited_by_the_budget(self) -> None:
        lines: list[str] = []
        budget = LogBudget()
        self.addCleanup(configure_logs("info", lines.append, node="n-1", budget=budget))
        lines.clear()
        # A fixed clock: refilled tokens would allow more lines.
        with mock.patch("stagewalk.common.logs.lines.steady_seconds", lambda: 1.0):
            for _ in range(int(BURST_LINES) + 7):
                log_event("often")
            log_event("request_ended", "warning", request="r1")
        self.assertIn("event=request_ended node=n-1 request=r1", lines[-1])
        self.assertEqual({"often": 7}, budget.pop_dropped_counts())

    def test_a_line_dropped_by_the_writer_is_counted(self) -> None:
        budget = LogBudget()
        self.addCleanup(configure_logs("info", lambda _line: False, budget=budget))
        budget.pop_dropped_counts()
        log_event("unheard")
        self.assertEqual({"unheard": 1}, budget.pop_dropped_counts())
