"""The load that workers state with their answers: three figures or four, or none that is usable."""

from __future__ import annotations

import testtools

from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk_platform.worker_messages import parse_load


class ParseLoadTest(testtools.TestCase):
    def test_three_figures_say_nothing_of_the_pace(self) -> None:
        self.assertEqual(WorkerLoad(3, 2, 6, None), parse_load("3,2,6"))

    def test_the_fourth_figure_is_the_pace_in_hundredths_of_the_usual(self) -> None:
        self.assertEqual(WorkerLoad(3, 2, 6, 1.0), parse_load("3,2,6,100"))
        self.assertEqual(WorkerLoad(3, 2, 6, 2.5), parse_load(" 3, 2,6 ,250"))

    def test_anything_else_is_no_load(self) -> None:
        malformed = ("", "3,2", "3,2,6,", "3,2,6,100,1", "3,2,0", "3,2,6,0", "-1,2,6", "3,2,6,1.5")
        for text in (*malformed, "3,2,six", "٣,2,6", "1" * 40 + ",0,6"):
            self.assertIsNone(parse_load(text), text)
