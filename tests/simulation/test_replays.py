"""Regression test: shrunk runs that once broke a promise are clean."""

from __future__ import annotations

from pathlib import Path

import msgspec
import testtools

from stagewalk.simulation.simulation_run import Replay
from stagewalk.simulation.sweep import run_report

REPLAYS = sorted(Path(__file__).with_name("replays").glob("*.json"))


class ReplayTest(testtools.TestCase):
    def test_runs_that_once_failed_are_clean(self) -> None:
        self.assertNotEqual([], REPLAYS)
        for path in REPLAYS:
            arguments = msgspec.json.decode(path.read_bytes(), type=Replay).arguments
            report = run_report(arguments)
            self.assertEqual([], [*report.explanations, *report.core_failures], path.name)
            self.assertGreater(report.checked["not_run_true"], 0)
