"""The scripts in `examples/` run and print the expected lines."""

from __future__ import annotations

import contextlib
import io
import runpy
from pathlib import Path

import testtools

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


def output_of(name: str) -> list[str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        runpy.run_path(str(EXAMPLES / name), run_name="__main__")
    return output.getvalue().splitlines()


class ExamplesTest(testtools.TestCase):
    def test_claims(self) -> None:
        lines = output_of("claims_example.py")
        self.assertEqual(1, sum("won: True" in line for line in lines))
        self.assertIn("north restarted; it votes again: True", lines)
        values = {line.split(" is ")[1].split(" (")[0] for line in lines if "request/7" in line}
        self.assertEqual(1, len(values))

    def test_leases(self) -> None:
        holders = [line for line in output_of("leases_example.py")[-3:] if "reader': 2}" in line]
        self.assertEqual(1, len(holders))
