"""The timeline of an item shows that it waited for its trainer's share, and the shares then."""

from __future__ import annotations

import testtools

from stagewalk.common.logs.lines import format_line
from stagewalk.gateway.explain.log_line import parse_lines
from stagewalk.gateway.explain.timeline import find_timeline


def line(second: float, event: str, **fields: object) -> str:
    message = {"timestamp": second, "level": "info", "message_type": event, **fields}
    return format_line(message, "n1")


LINES = (
    line(9.5, "place_shares_changed", service="s", in_force=True, claimants=3, items=700),
    line(10.0, "starts_withheld", batch="b1", trainer="h/m", waiting=40, taken_places=8),
    line(10.0, "starts_withheld", batch="b2", trainer="h/o", waiting=90, taken_places=8),
    line(11.0, "item_started", item="x", batch="b1", attempt=1, worker="e1"),
    line(12.0, "item_finished", item="x", batch="b1", succeeded=True),
)


class ExplainedWaitTests(testtools.TestCase):
    def test_the_wait_of_its_own_batch_and_the_shares_are_shown(self) -> None:
        timeline = find_timeline("x", parse_lines(LINES, "file"))
        assert timeline is not None
        waits = [found.get("batch") for found in timeline.own if found.event == "starts_withheld"]
        self.assertEqual(["b1"], waits)
        self.assertIn("place_shares_changed", [found.event for found in timeline.around])
