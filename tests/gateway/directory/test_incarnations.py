"""Which announcement of a node's name is in force, and what its process does about others."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

import testtools

from stagewalk.gateway.directory.incarnations import (
    OwnNameVerdict,
    judge_own_name,
    supersedes,
)


@dataclass(frozen=True)
class Announcement:
    incarnation: int
    start: str
    beat: int = 1
    replaces: str = ""
    refutes: str = ""


class OrderTests(testtools.TestCase):
    def test_the_latest_announcement_of_a_process_is_in_force(self) -> None:
        known = Announcement(5, "a", beat=3)
        for alive in (True, False):
            self.assertTrue(supersedes(Announcement(5, "a", beat=4), known, known_alive=alive))
            self.assertFalse(supersedes(Announcement(5, "a", beat=3), known, known_alive=alive))

    def test_a_process_that_replaces_or_refutes_the_known_one_is_in_force_at_once(self) -> None:
        known = Announcement(5, "a", 99)
        for announced in (
            Announcement(6, "b", replaces="a"),
            Announcement(6, "b", replaces="x", refutes="a"),
        ):
            for alive in (True, False):
                self.assertTrue(supersedes(announced, known, known_alive=alive))

    def test_a_late_announcement_never_displaces_a_live_process(self) -> None:
        """Its batches were claimed by others then, until it had raised its incarnation."""
        late = Announcement(5_000, "a", replaces="before")
        known = Announcement(5, "b", replaces="a")
        self.assertFalse(supersedes(late, known, known_alive=True))

    def test_a_raised_incarnation_is_in_force_at_once_and_earlier_beats_are_not(self) -> None:
        raised, before = Announcement(9, "b", 4, refutes="a"), Announcement(5, "b", 3)
        for alive in (True, False):
            self.assertTrue(supersedes(raised, before, known_alive=alive))
            self.assertFalse(supersedes(before, raised, known_alive=alive))

    def test_any_other_process_is_in_force_once_the_known_one_is_dead(self) -> None:
        """Otherwise a process that can't read the later announcement is hidden for good."""
        for incarnation in (4, 5, 6):
            other, known = Announcement(incarnation, "b"), Announcement(5, "a", 99)
            self.assertFalse(supersedes(other, known, known_alive=True))
            self.assertTrue(supersedes(other, known, known_alive=False))

    def test_announcements_of_builds_without_starts_are_ordered_by_beat(self) -> None:
        known = Announcement(5, "", 7)
        self.assertFalse(supersedes(Announcement(5, "", 6), known, known_alive=False))
        self.assertTrue(supersedes(Announcement(5, "", 8), known, known_alive=True))

    def test_a_greater_incarnation_counts_at_once_beside_builds_without_starts(self) -> None:
        for earlier, later in (("", "b"), ("a", ""), ("", "")):
            known = Announcement(5, earlier, 99)
            self.assertTrue(supersedes(Announcement(6, later), known, known_alive=True))
            self.assertFalse(supersedes(Announcement(4, later), known, known_alive=True))
            self.assertTrue(supersedes(Announcement(4, later), known, known_alive=False))


class OwnNameTests(testtools.TestCase):
    own = Announcement(10, "m", beat=4)

    def judge(self, **other: object) -> OwnNameVerdict:
        return judge_own_name(self.own, Announcement(**{"start": "x", **other}))

    def test_its_own_and_earlier_announcements_are_ignored(self) -> None:
        self.assertEqual(OwnNameVerdict.IGNORE, self.judge(incarnation=99, start="m"))
        self.assertEqual(OwnNameVerdict.IGNORE, self.judge(incarnation=9))

    def test_it_raises_above_a_dead_process_that_looks_later(self) -> None:
        for incarnation in (10, 11, 5_000):
            for start in ("x", "a", ""):
                verdict = self.judge(incarnation=incarnation, start=start)
                self.assertEqual(OwnNameVerdict.RAISE, verdict)

    def test_it_stops_for_a_process_that_started_after_its_announcement(self) -> None:
        self.assertEqual(OwnNameVerdict.STOP, self.judge(incarnation=11, replaces="m"))

    def test_of_two_that_did_not_know_each_other_the_greater_start_goes_on(self) -> None:
        self.assertEqual(OwnNameVerdict.STOP, self.judge(incarnation=11, refutes="m"))
        verdict = self.judge(incarnation=11, start="a", refutes="m")
        self.assertEqual(OwnNameVerdict.RAISE, verdict)

    def test_two_processes_never_raise_for_ever_and_one_goes_on(self) -> None:
        """Whatever each has read when it starts, and whichever reads the other's words first."""
        for known_first, first_clock, second_clock, order in itertools.product(
            (True, False), (1, 20), (1, 20), itertools.permutations("abc", 2)
        ):
            first = Announcement(first_clock, order[0])
            second = Announcement(second_clock, order[1])
            if known_first:
                incarnation = max(second_clock, first_clock + 1)
                second = replace(second, incarnation=incarnation, replaces=first.start)
            left = self.settle({first.start: first, second.start: second})
            self.assertEqual(1, len(left))
            if known_first:
                self.assertEqual([second.start], left)

    @staticmethod
    def settle(running: dict[str, Announcement]) -> list[str]:
        """Let processes read each other's announcements by turns; return those that go on."""
        for _ in range(5):
            for start in list(running):
                for other in [a for s, a in running.items() if s != start]:
                    verdict = judge_own_name(running[start], other)
                    if verdict is OwnNameVerdict.STOP:
                        del running[start]
                        break
                    if verdict is OwnNameVerdict.RAISE:
                        raised = other.incarnation + 1
                        running[start] = replace(
                            running[start], incarnation=raised, refutes=other.start
                        )
        return list(running)
