"""Begin and end of evacuations, by single records and complete lists."""

from __future__ import annotations

import testtools

from stagewalk.gateway.zones.evacuations import Evacuations


class EvacuationTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evacuations = Evacuations()
        self.events: list[str] = []
        self.evacuations.listen(
            lambda zone, now: self.events.append(f"+{zone}@{now}"),
            lambda zone, now: self.events.append(f"-{zone}@{now}"),
        )

    def test_an_evacuation_begins_ends_and_begins_again(self) -> None:
        for in_force, now in ((True, 1.0), (True, 2.0), (False, 3.0), (True, 4.0)):
            self.evacuations.apply("a", in_force, now)
        self.assertEqual(["+a@1.0", "-a@3.0", "+a@4.0"], self.events)
        self.assertEqual({"a"}, self.evacuations.zones)

    def test_evacuations_of_two_zones_are_independent(self) -> None:
        self.evacuations.apply("a", True, 1.0)
        self.evacuations.apply("b", True, 2.0)
        self.evacuations.apply("a", False, 3.0)
        self.assertEqual({"b"}, self.evacuations.zones)

    def test_a_complete_list_ends_evacuations_that_it_lacks(self) -> None:
        """The log may drop the record that ends an evacuation before it is read."""
        self.evacuations.replace({"a", "b"}, 1.0)
        self.evacuations.replace({"b", "c"}, 5.0)
        self.assertEqual(["+a@1.0", "+b@1.0", "+c@5.0", "-a@5.0"], self.events)

    def test_the_end_of_an_unknown_evacuation_is_not_reported(self) -> None:
        self.evacuations.apply("a", False, 1.0)
        self.assertEqual([], self.events)
