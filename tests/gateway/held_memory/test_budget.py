"""The memory budget, reservations for bodies, and readers cut off when it is used up."""

from __future__ import annotations

import time

import testtools

from stagewalk.gateway.held_memory.bodies import LARGE_BODY_BYTES, BodyReservation
from stagewalk.gateway.held_memory.budget import MEGABYTE, MemoryBudget
from stagewalk.gateway.held_memory.reader_choice import (
    READER_SHARE,
    SLOW_READER_SECONDS,
    readers_to_cut,
)
from stagewalk.gateway.held_memory.readers import (
    CutOff,
    CutOffReason,
    ReaderBacklog,
    ResponseReaders,
)


def reader(name: str, since: float = 0.0, size: int = 0, resumable: bool = False) -> ReaderBacklog:
    backlog = ReaderBacklog(name, resumable, lambda: None)
    if size:
        backlog.parts.append((since, size))
        backlog.held_bytes = size
    return backlog


def names(readers: list[ReaderBacklog]) -> list[str]:
    return [chosen.request_id for chosen in readers]


class BudgetTests(testtools.TestCase):
    def test_the_budget_is_a_share_of_the_nodes_memory(self) -> None:
        self.assertEqual(40 * MEGABYTE, MemoryBudget.for_node(200.0).maximum_bytes)

    def test_reserved_bytes_count_until_they_are_released(self) -> None:
        budget = MemoryBudget(100)
        self.assertTrue(budget.reserve_bytes(60))
        self.assertFalse(budget.reserve_bytes(41))
        self.assertTrue(budget.reserve_bytes(40))
        budget.release_bytes(60)
        self.assertEqual((40, 100), (budget.held_bytes, budget.peak_bytes))

    def test_the_reclaimer_frees_missing_bytes(self) -> None:
        budget = MemoryBudget(100)
        budget.add(90)
        asked: list[int] = []

        def reclaim(missing: int) -> None:
            asked.append(missing)
            budget.release_bytes(missing)

        budget.set_reclaimer(reclaim)
        self.assertTrue(budget.reserve_bytes(30))
        self.assertEqual(([20], 100), (asked, budget.held_bytes))


class BodyTests(testtools.TestCase):
    def test_large_bodies_are_refused_while_small_ones_are_admitted(self) -> None:
        budget = MemoryBudget(10 * LARGE_BODY_BYTES)
        first = BodyReservation(budget)
        self.assertTrue(first.reserve_bytes(5 * LARGE_BODY_BYTES))
        second = BodyReservation(budget)
        self.assertFalse(second.admits(LARGE_BODY_BYTES + 1))
        self.assertTrue(second.admits(LARGE_BODY_BYTES))
        self.assertFalse(second.reserve_bytes(LARGE_BODY_BYTES + 1))
        self.assertTrue(second.reserve_bytes(LARGE_BODY_BYTES))
        self.assertFalse(second.reserve_bytes(1))

    def test_a_body_is_held_until_its_request_ends(self) -> None:
        budget = MemoryBudget(100)
        body = BodyReservation(budget)
        body.reserve_bytes(30)
        body.release_bytes(30)
        self.assertEqual(30, budget.held_bytes)
        body.close()
        body.close()
        self.assertEqual(0, budget.held_bytes)


class ChoiceTests(testtools.TestCase):
    def test_the_reader_furthest_behind_is_cut_first(self) -> None:
        readers = [reader("late", 3.0, 50), reader("latest", 1.0, 50), reader("up", 9.9, 50)]
        self.assertEqual(["latest"], names(readers_to_cut(readers, 50, 10.0, 0.0)))
        self.assertEqual(["latest", "late"], names(readers_to_cut(readers, 51, 10.0, 0.0)))

    def test_resumable_readers_are_cut_first(self) -> None:
        readers = [reader("lost", 1.0, 50), reader("resumes", 5.0, 50, resumable=True)]
        self.assertEqual(["resumes"], names(readers_to_cut(readers, 50, 10.0, 0.0)))

    def test_readers_that_hold_nothing_or_keep_up_are_spared(self) -> None:
        readers = [reader("idle"), reader("up", 9.5, 50)]
        self.assertEqual([], readers_to_cut(readers, 50, 10.0, SLOW_READER_SECONDS))

    def test_all_slow_readers_are_cut_if_still_too_little_is_freed(self) -> None:
        readers = [reader("a", 1.0, 10), reader("b", 2.0, 10)]
        self.assertEqual(["a", "b"], names(readers_to_cut(readers, 1_000, 10.0, 0.0)))


class ReadersTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = MemoryBudget(1_600)
        self.cut_offs: list[CutOff] = []
        self.readers = ResponseReaders(self.budget, self.cut_offs.append)
        self.cut: list[str] = []

    def add(self, name: str, resumable: bool = False) -> ReaderBacklog:
        added = ReaderBacklog(name, resumable, lambda: self.cut.append(name))
        self.readers.add(added)
        return added

    def test_parts_are_released_in_order_of_arrival(self) -> None:
        caller = self.add("a")
        for at in (1.0, 2.0, 3.0):
            self.readers.buffer_part(caller, 30, at)
        self.readers.release(caller, 40)
        self.assertEqual((50, 2.0), (caller.held_bytes, caller.behind_since))
        self.readers.remove(caller)
        self.assertEqual(0, self.budget.held_bytes)

    def test_a_caller_is_cut_off_at_its_own_limit(self) -> None:
        caller, other = self.add("a"), self.add("b")
        own = int(self.budget.maximum_bytes * READER_SHARE)
        self.readers.buffer_part(other, own, 1.0)
        self.readers.buffer_part(caller, own, 1.0)
        self.assertEqual([], self.cut)
        self.readers.buffer_part(caller, 1, 5.0)
        self.assertEqual((["a"], own), (self.cut, self.budget.held_bytes))
        self.assertEqual(
            [CutOff("a", CutOffReason.READER_LIMIT, own + 1, 4.0, False, own * 2 + 1)],
            self.cut_offs,
        )

    def test_a_caller_that_was_cut_off_holds_nothing_more(self) -> None:
        caller = self.add("a")
        self.readers.buffer_part(caller, 200, 1.0)
        self.readers.buffer_part(caller, 50, 1.0)
        self.readers.release(caller, 200)
        self.readers.remove(caller)
        self.assertEqual((0, ["a"]), (self.budget.held_bytes, self.cut))

    def test_at_the_node_limit_the_slowest_caller_is_cut_off(self) -> None:
        callers = [self.add(str(number)) for number in range(17)]
        for number, caller in enumerate(callers):
            self.readers.buffer_part(caller, 95, float(number))
        self.assertEqual(["0"], self.cut)
        self.assertLessEqual(self.budget.held_bytes, self.budget.maximum_bytes)
        self.assertEqual([CutOffReason.NODE_LIMIT], [cut_off.reason for cut_off in self.cut_offs])

    def test_a_stream_is_cut_off_if_other_data_use_the_whole_budget(self) -> None:
        self.budget.add(1_600)
        self.readers.buffer_part(self.add("a"), 10, 1.0)
        self.assertEqual(["a"], self.cut)
        self.assertEqual(1_600, self.budget.held_bytes)

    def test_only_slow_callers_are_cut_off_for_a_request(self) -> None:
        self.budget.set_reclaimer(lambda missing: self.readers.make_room(missing, 10.0))
        slow, prompt = self.add("slow"), self.add("prompt")
        self.readers.buffer_part(slow, 100, 1.0)
        self.readers.buffer_part(prompt, 100, 9.9)
        self.budget.add(1_400)
        self.assertFalse(self.budget.reserve_bytes(150))
        self.assertEqual(["slow"], self.cut)
        self.assertTrue(self.budget.reserve_bytes(100))
        self.assertEqual(["slow"], self.cut)

    def test_a_whole_answer_may_exceed_the_limit_of_a_stream(self) -> None:
        caller = self.add("a")
        self.readers.buffer_answer(caller, 1_000, 1.0)
        self.readers.release(caller, 400)
        self.assertEqual((600, [], 600), (caller.held_bytes, self.cut, self.budget.held_bytes))


class CostTests(testtools.TestCase):
    def test_prints_the_time_of_a_part_and_of_a_choice_among_600_callers(self) -> None:
        readers = ResponseReaders(MemoryBudget(1_000_000_000))
        callers = [ReaderBacklog(str(n), n % 2 == 0, lambda: None) for n in range(600)]
        for caller in callers:
            readers.add(caller)
            readers.buffer_part(caller, 100, 1.0)
        rounds = 200
        began = time.perf_counter()
        for _ in range(rounds):
            chosen = readers_to_cut(callers, 1_000, 5.0, SLOW_READER_SECONDS)
        choice = (time.perf_counter() - began) / rounds
        began = time.perf_counter()
        for caller in callers:
            readers.buffer_part(caller, 100, 2.0)
            readers.release(caller, 100)
        part = (time.perf_counter() - began) / len(callers)
        self.assertEqual(10, len(chosen))
        print(f"\na choice among 600 callers {choice * 1e6:.0f} us, a part {part * 1e6:.2f} us")
