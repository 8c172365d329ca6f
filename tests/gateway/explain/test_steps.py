"""Summaries of steps and recoveries that are computed from logs."""

from __future__ import annotations

import contextlib
import io
import math
import tempfile
from pathlib import Path

import testtools

from stagewalk.cli.main import run
from stagewalk.gateway.explain.log_line import parse_lines
from stagewalk.gateway.explain.steps import find_recoveries, summarize_steps
from tests.gateway.explain.test_timeline import line

STEP = (
    line(10.0, "n1", "batch_submitted", batch="b", step="3", items="2", outcome="appended"),
    line(10.1, "n2", "batch_opened", batch="b"),
    line(10.2, "n2", "item_started", item="x", batch="b", attempt="1", worker="w1"),
    line(10.2, "n2", "item_started", item="y", batch="b", attempt="2", worker="w1"),
    line(11.0, "n2", "item_stopped", attempt="2", reason="silent"),
    line(11.2, "n2", "item_started", item="y", batch="b", attempt="3", worker="w2"),
    line(11.5, "n2", "text_whole", item="x", batch="b", attempt="1"),
    line(11.6, "n2", "item_finished", item="x", batch="b"),
    line(13.0, "n2", "text_whole", item="y", batch="b", attempt="3"),
    line(13.5, "n2", "item_finished", item="y", batch="b"),
    line(14.0, "n1", "batch_ended", batch="b"),
)


class StepTests(testtools.TestCase):
    def test_a_step_is_summarized_with_its_last_items(self) -> None:
        (step,) = summarize_steps(parse_lines(STEP, "file"))
        self.assertEqual((3, 2, 2, 1), (step.step, step.items, step.listed, step.runners))
        self.assertAlmostEqual(0.1, step.opened)
        self.assertAlmostEqual(4.0, step.ended)
        last = step.last(1)[0]
        self.assertEqual(("y", 2, ("silent",)), (last.item, last.attempts, last.cuts))
        self.assertAlmostEqual(3.5, last.finished)
        self.assertAlmostEqual(0.5, last.scoring)

    def test_a_restart_of_all_processes_is_told_from_single_restarts(self) -> None:
        starts = [line(1.0 + 0.1 * n, f"n{n}", "gateway_started") for n in range(5)]
        single = line(9.0, "n1", "gateway_started")
        again = [line(30.0 + 0.1 * n, f"n{n}", "gateway_started") for n in range(5)]
        begun = line(30.6, "n2", "item_started", item="x", batch="b", attempt="1")
        (found,) = find_recoveries(parse_lines([*starts, single, *again, begun], "file"))
        self.assertEqual(5, found.nodes)
        self.assertAlmostEqual(0.2, found.first_item)
        (none,) = find_recoveries(parse_lines([*starts, *again], "file"))
        self.assertEqual(math.inf, none.first_item)

    def test_the_command_prints_the_summary_of_a_step(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            contextlib.redirect_stdout(io.StringIO()) as out,
        ):
            path = Path(folder) / "n.log"
            path.write_text("\n".join(STEP))
            self.assertEqual(0, run(["steps", str(path), "--last", "1"]))
        self.assertIn("step 3 batch b", out.getvalue())
        self.assertIn("attempts 2: silent", out.getvalue())
