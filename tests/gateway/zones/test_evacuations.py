"""Evacuations are given, taken back and given again, by single records and whole lists."""

from __future__ import annotations

import testtools

from stagewalk.gateway.zones.evacuations import Evacuations


class EvacuationTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evacuations = Evacuations()
        self.news: list[str] = []
        self.evacuations.listen(
            lambda zone, now: self.news.append(f"+{zone}@{now}"),
            lambda zone, now: self.news.append(f"-{zone}@{now}"),
        )

    def test_given_taken_back_and_given_again(self) -> None:
        for in_force, now in ((True, 1.0), (True, 2.0), (False, 3.0), (True, 4.0)):
            self.evacuations.apply("a", in_force, now)
        self.assertEqual(["+a@1.0", "-a@3.0", "+a@4.0"], self.news)
        self.assertEqual({"a"}, self.evacuations.zones)

    def test_two_zones(self) -> None:
        self.evacuations.apply("a", True, 1.0)
        self.evacuations.apply("b", True, 2.0)
        self.evacuations.apply("a", False, 3.0)
        self.assertEqual({"b"}, self.evacuations.zones)

    def test_what_a_whole_list_lacks_is_over(self) -> None:
        """The log dropped the record that took it back before it was read."""
        self.evacuations.replace({"a", "b"}, 1.0)
        self.evacuations.replace({"b", "c"}, 5.0)
        self.assertEqual(["+a@1.0", "+b@1.0", "+c@5.0", "-a@5.0"], self.news)

    def test_an_end_of_nothing_is_no_news(self) -> None:
        self.evacuations.apply("a", False, 1.0)
        self.assertEqual([], self.news)
