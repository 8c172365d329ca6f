"""Code says what a constant guards against or gains, not how its value was found."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parents[2]
PLACES = ("src/stagewalk/gateway", "src/stagewalk/node", "src/stagewalk/common", "platform")
ORIGIN = re.compile(
    r"\b(?:[Cc]hosen|[Dd]erived|[Ff]igures? (?:was|were|is|are) chosen)[,;]?\s+not\s+measured"
    r"|\b[Ff]igures? (?:itself |themselves )?(?:was|were|is|are) chosen"
    r"|\bMeasured(?: with| in|:)"
)


class ConstantsTest(testtools.TestCase):
    def test_no_module_tells_how_a_value_was_found(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for place in PLACES
            for path in sorted((ROOT / place).rglob("*.py"))
            for match in ORIGIN.finditer(path.read_text())
        ]
        self.assertEqual([], found)
