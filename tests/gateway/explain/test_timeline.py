"""Timelines hold the lines that concern an id, its first failure and what the logs do not show."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.cli.explain import render_story
from stagewalk.cli.main import run
from stagewalk.common.logs.lines import format_line
from stagewalk.gateway.explain.log_line import parse_line, parse_lines
from stagewalk.gateway.explain.timeline import Kind, Timeline, find_timeline


def line(second: float, node: str, event: str, level: str = "info", **fields: str) -> str:
    message = {"timestamp": second, "level": level, "message_type": event, **fields}
    return format_line(message, node)


def timeline(identity: str, *lines: str) -> Timeline:
    found = find_timeline(identity, parse_lines(lines, "file"))
    assert found is not None
    return found


QUEUED = (
    line(
        1.0,
        "n1",
        "request_queued",
        request="r9",
        service="app",
        tenant="t1",
        urgency="5",
        ahead="4",
        ahead_of_tenant="3",
        expected_seconds="0.1",
        allowed_seconds="0.2",
        in_flight="8",
        limit="8.5",
    ),
    line(
        1.04,
        "n1",
        "request_rejected",
        "warning",
        request="r9",
        service="app",
        reason="too_late",
        tenant="t1",
        waited_seconds="0.04",
    ),
    line(1.05, "n1", "request_ended", "warning", request="r9", outcome="not_run"),
)
REFUSED = (
    line(9.0, "n1", "worker_changed", worker="w1", change="draining"),
    line(9.5, "n2", "worker_changed", worker="w1", change="draining"),
    line(10.0, "n1", "attempt_failed", "warning", request="r1", worker="w1", fault="not_run"),
    line(10.1, "n1", "request_ended", "warning", request="r1", workers="w1,w2", outcome="not_run"),
    line(10.1, "n1", "request_ended", request="r2", workers="w1", outcome="answered_200"),
    line(50.0, "n1", "worker_changed", worker="w2", change="gone"),
)
EVACUATED = (
    line(8.5, "n1", "zone_evacuated", zone="z1"),
    line(8.6, "n2", "zone_evacuated", zone="z1"),
    line(9.5, "n1", "worker_cold", worker="w2", seconds="3.0"),
    line(9.9, "n1", "attempt_failed", "warning", request="r5", worker="w2", fault="withheld"),
    line(
        10.0,
        "n1",
        "request_ended",
        "warning",
        request="r5",
        workers="w2",
        outcome="not_run",
        denied="zone_evacuated:4",
    ),
)
CRASHING = (
    line(1.0, "n1", "attempt_failed", "warning", request="r7", worker="w1", content="c0ffee"),
    line(1.0, "n1", "worker_ended_under_request", "warning", request="r7", content="c0ffee"),
    line(1.2, "n2", "worker_ended_under_request", "warning", request="r8", content="c0ffee"),
    line(5.0, "n1", "request_held_back", "warning", content="c0ffee", ends_in_a_row="3"),
)
ITEM = (
    line(1.0, "n1", "batch_opened", batch="b1", epoch="0"),
    line(1.1, "n1", "item_started", item="i1", batch="b1", attempt="7", worker="w1"),
    line(1.1, "n2", "item_started", item="i9", batch="b9", attempt="7", worker="w1"),
    line(2.0, "n2", "item_stopped", attempt="7", reason="ended"),
    line(3.0, "n1", "loop_stalled", "warning", seconds="1.2"),
    line(3.1, "n1", "item_stopped", attempt="7", reason="silent"),
    line(4.0, "n3", "batch_claimed", batch="b1", from_runner="n4#17", epoch="1"),
    line(5.0, "n3", "item_started", item="i1", batch="b1", attempt="2", worker="w2"),
    line(6.0, "n3", "item_finished", item="i1", batch="b1", succeeded="true"),
)


DENIED = (
    line(9.0, "n1", "dependency_lost", "warning", dependency="operators/0"),
    line(10.0, "n1", "caller_denied", "warning", request="r3", status="503", view_current="false"),
)
WINDOW = (
    line(20.0, "n1", "usage_written", window="77", requests="5", fence="3", stands="true"),
    line(20.1, "n1", "usage_reported", "warning", window="77", fence="3", outcome="unknown"),
    line(21.0, "n1", "stop_requested", incarnation="1"),
    line(22.0, "n2", "usage_reported", window="77", requests="5", fence="9", outcome="done"),
    line(22.0, "n2", "usage_reported", window="78", requests="2", fence="9", outcome="done"),
)


class LogLineTests(testtools.TestCase):
    @given(st.text(max_size=30), st.floats(0, 2e9))
    def test_what_is_written_can_be_read(self, value: str, at: float) -> None:
        text = line(at, "n1", "event", "warning", detail=value)
        parsed = parse_line("  12.5 n1 | " + text, "file")
        assert parsed is not None
        self.assertEqual((value, "n1", "event"), (parsed.get("detail"), parsed.node, parsed.event))
        self.assertTrue(parsed.failure)
        self.assertAlmostEqual(at, parsed.at, places=2)

    def test_other_text_is_skipped(self) -> None:
        for text in ("", "Traceback (most recent call last):", "time=soon event=x", "time=", "x=1"):
            self.assertIsNone(parse_line(text, "file"))

    def test_a_line_without_a_node_gets_the_name_of_its_file(self) -> None:
        parsed = parse_line(line(1.0, "", "event"), "edge-1")
        assert parsed is not None
        self.assertEqual("edge-1", parsed.node)


class TimelineTests(testtools.TestCase):
    def test_a_contents_timeline_holds_all_requests_with_it(self) -> None:
        found = timeline("c0ffee", *CRASHING)
        self.assertEqual(Kind.CONTENT, found.kind)
        self.assertEqual(4, len(found.own))
        assert found.ending is not None
        self.assertEqual("request_held_back", found.ending.event)
        self.assertEqual(Kind.REQUEST, timeline("r7", *CRASHING).kind)

    def test_a_request_that_no_worker_was_allowed_to_get(self) -> None:
        """The timeline shows that the zone was evacuated and the worker cold."""
        found = timeline("r5", *EVACUATED)
        self.assertEqual(
            [("n1", "zone_evacuated"), ("n1", "worker_cold")],
            [(x.node, x.event) for x in found.around],
        )
        assert found.ending is not None
        self.assertEqual("zone_evacuated:4", found.ending.get("denied"))

    def test_a_refused_request_is_shown_with_its_attempts_and_its_workers_events(self) -> None:
        found = timeline("r1", *REFUSED)
        self.assertEqual(Kind.REQUEST, found.kind)
        self.assertEqual(["attempt_failed", "request_ended"], [x.event for x in found.own])
        self.assertEqual([("n1", "worker_changed")], [(x.node, x.event) for x in found.around])
        assert found.first_failure is not None and found.ending is not None
        self.assertEqual("attempt_failed", found.first_failure.event)
        self.assertEqual("not_run", found.ending.get("outcome"))
        self.assertEqual((), found.unknown)

    def test_an_item_is_followed_over_its_score_calls_and_a_takeover(self) -> None:
        scored = (
            *ITEM[:2],
            line(2.0, "n1", "text_whole", item="i1", batch="b1", attempt="7", worker="w1"),
            line(
                2.5,
                "n1",
                "score_call_ended",
                "warning",
                item="i1",
                batch="b1",
                call="c1",
                worker="s1",
                outcome="answered_500",
            ),
            line(2.6, "n1", "worker_changed", worker="s1", change="draining"),
            ITEM[6],
            line(5.0, "n3", "score_call_ended", item="i1", batch="b1", call="c1", worker="s2"),
            ITEM[8],
        )
        found = timeline("i1", *scored)
        events = [x.event for x in found.own]
        self.assertEqual(2, events.count("score_call_ended"))
        self.assertLess(events.index("text_whole"), events.index("item_finished"))
        assert found.first_failure is not None
        self.assertEqual("answered_500", found.first_failure.get("outcome"))
        self.assertIn(("n1", "worker_changed"), [(x.node, x.event) for x in found.around])

    def test_an_event_that_every_node_logs_is_listed_once(self) -> None:
        named = [line(3.0, node, "version_named", model="m", version="4") for node in ("n1", "n3")]
        self.assertEqual(
            ["n1"],
            [x.node for x in timeline("i1", *ITEM, *named).around if x.event == "version_named"],
        )

    def test_a_successful_request_has_no_failure(self) -> None:
        self.assertIsNone(timeline("r2", *REFUSED).first_failure)

    def test_an_item_at_two_nodes_is_shown_with_its_own_attempts_only(self) -> None:
        found = timeline("i1", *ITEM)
        self.assertEqual(Kind.ITEM, found.kind)
        stopped = [x for x in found.own if x.event == "item_stopped"]
        self.assertEqual(["silent"], [x.get("reason") for x in stopped])
        events = [x.event for x in found.own]
        self.assertEqual(("batch_opened", "item_finished"), (events[0], events[-1]))
        self.assertIn("batch_claimed", events)
        assert found.first_failure is not None
        self.assertEqual("loop_stalled", found.first_failure.event)

    def test_a_node_whose_log_is_missing_is_named(self) -> None:
        self.assertEqual(
            ("no log of node n4 was given, which ran the batch",), timeline("i1", *ITEM).unknown
        )

    def test_a_timeline_without_an_ending_says_so(self) -> None:
        started = line(1.0, "n1", "attempt_failed", "warning", request="r1", worker="w1")
        (sentence,) = timeline("r1", started).unknown
        self.assertIn("no line tells how the request ended", sentence)
        again = line(3.5, "n1", "gateway_started")
        (sentence,) = timeline("r1", started, again).unknown
        self.assertIn("node n1 started anew 2.5 s after", sentence)

    def test_dropped_lines_are_reported(self) -> None:
        dropped = line(10.2, "n1", "log_lines_dropped", "warning", kind="attempt_failed", count="9")
        self.assertEqual(
            ("node n1 dropped 9 lines of attempt_failed",),
            timeline("r1", *REFUSED, dropped).unknown,
        )

    def test_an_id_that_no_line_names_has_no_timeline(self) -> None:
        self.assertIsNone(find_timeline("r7", parse_lines(REFUSED, "file")))


class ExplainCommandTests(testtools.TestCase):
    def explain(self, *words: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(["explain", *words])
        return code, output.getvalue()

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "n1.log"
        self.path.write_text("\n".join(["some other text", *REFUSED]))

    def test_the_timeline_is_printed_with_its_first_failure(self) -> None:
        code, output = self.explain("r1", str(self.path))
        self.assertEqual(0, code)
        self.assertIn("first failure: +0.000 s at n1: attempt_failed", output)
        self.assertIn("ended: +0.100 s at n1: request_ended", output)

    def test_an_unknown_id_and_a_missing_file_are_errors(self) -> None:
        code, output = self.explain("r7", str(self.path))
        self.assertEqual((1, "no line names r7; nodes in the logs: n1, n2\n"), (code, output))
        code, output = self.explain("r1", "/nowhere/n.log")
        self.assertEqual(2, code)
        self.assertIn("/nowhere/n.log", output)

    def test_the_reason_for_a_wait_and_a_rejection_is_printed(self) -> None:
        text = "\n".join(render_story(timeline("r9", *QUEUED)))
        self.assertIn("queued at app: 4 before it, 3 waiting of t1", text)
        self.assertIn("refused after 0.04 s, since it would have started too late", text)

    def test_a_request_that_was_queued_again_is_shown_as_refused_by_full_workers(self) -> None:
        requeued = line(1.02, "n1", "request_requeued", request="r9", waited_seconds="0.5")
        text = "\n".join(render_story(timeline("r9", requeued, *QUEUED)))
        self.assertIn("refused by full workers after 0.5 s and queued again", text)

    def test_surrounding_events_have_their_node_in_brackets(self) -> None:
        text = "\n".join(render_story(timeline("r1", *REFUSED)))
        self.assertIn("(n1)  worker_changed", text)


class CallerAndUsageTimelineTests(testtools.TestCase):
    def test_a_denied_caller_is_shown_with_the_lost_dependency(self) -> None:
        found = timeline("r3", *DENIED)
        self.assertEqual(Kind.REQUEST, found.kind)
        self.assertEqual("caller_denied", found.ending.event)
        self.assertIn("dependency_lost", [line.event for line in found.around])
        self.assertEqual((), found.unknown)

    def test_a_usage_window_is_followed_over_its_lease_holders(self) -> None:
        found = timeline("77", *WINDOW)
        self.assertEqual(Kind.WINDOW, found.kind)
        self.assertEqual(["n1", "n1", "n2"], [line.node for line in found.own])
        self.assertEqual("done", found.ending.get("outcome"))
        self.assertEqual("unknown", found.first_failure.get("outcome"))
