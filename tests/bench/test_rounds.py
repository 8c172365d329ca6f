"""Rounds of policy: reports are read whole, tables tell medians, spread and what was given up."""

from __future__ import annotations

import json
import tempfile
import tomllib
from pathlib import Path

import testtools

from stagewalk.bench.rounds import Results, Run, policy_table, read_report, render_table

SITE = Path("sites/some-site.toml")


def report(worth: float, breaks: dict[str, int], fault: str | None = None) -> str:
    prices = [["machine-seconds", 925.0, 0.024], ["orders", 27.0, 0.006]]
    parts = [["whole day", 0.75, 0.8]]
    return json.dumps(
        {"G": worth, "breaks": breaks, "fault": fault, "parts": parts, "prices": prices}
    )


class RoundsTests(testtools.TestCase):
    def played(self, policy: str, seed: str, text: str):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            return read_report(Run(policy, SITE, "trouble-1", seed), Path(file.name))

    def test_a_report_is_read(self) -> None:
        played = self.played("", "1", report(0.7, {"MIXED": 2}, "too slow"))
        self.assertEqual((0.7, ("MIXED", "too slow")), (played.worth, played.broken))
        self.assertEqual(0.024, played.prices["machine-seconds"])

    def test_the_table_has_a_row_for_each_policy_and_each_day(self) -> None:
        results = Results()
        for seed, worth in (("1", 0.6), ("2", 0.8)):
            results.played.append(self.played("", seed, report(worth, {})))
        results.played.append(self.played("moves=false", "1", report(0.5, {"LOST": 1})))
        results.given_up.append((Run("moves=false", SITE, "trouble-1", "2"), "took too long"))
        table = "\n".join(render_table(results))
        self.assertIn("| all on | 2 | 0.700 | 0.700 | 0.600 | 0.800 | machine-seconds", table)
        self.assertIn("| moves=false | 1 | 0.500", table)
        self.assertIn("LOST", table)
        self.assertIn("| some-site trouble-1 2 | 0.800 | - |", table)
        self.assertIn("took too long", table)

    def test_a_policy_becomes_a_table_of_the_settings(self) -> None:
        self.assertEqual("", policy_table(""))
        table = tomllib.loads(policy_table("moves=false, pace=false"))
        self.assertEqual({"policy": {"moves": False, "pace": False}}, table)
