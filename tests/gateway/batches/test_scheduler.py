"""Items run to a whole text across failing, slow, silent and reloading engines."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.attempt_starter import RESUBMITTED_ITEM_PRIORITY
from stagewalk.gateway.batches.engine_memory import ServiceLookup, unknown_service
from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    ItemAttemptFailed,
    ItemAwaitingMemory,
    RecordItem,
    StartItem,
    StopItem,
    Tick,
)
from stagewalk.gateway.batches.prompt import PromptReader, unknown_prompt
from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    StreamEvent,
    StreamHead,
    WorkerAnswer,
    WorkerLoad,
)
from stagewalk.gateway.scoring.messages import ScoreAnswered, SendScore, StopScore
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import RecordingLedger, batch_route, item, scored_item, submitted
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.workers.support import announcement

ENGINES = ("e1", "e2", "e3")
HTTP_OK = 200


class Bench:
    """A scheduler over engines whose answers the test gives."""

    def __init__(
        self,
        single_version: bool = False,
        engines: tuple[str, ...] = ENGINES,
        *,
        policy: Policy = DEFAULT_POLICY,
        service: ServiceLookup = unknown_service,
        prompt_of: PromptReader = unknown_prompt,
    ) -> None:
        self.now = 0.0
        self.workers = WorkerTable()
        for name in engines:
            self.workers.announce(announcement(name, versions={"m": 1}), 0.0)
        self.workers.announce(announcement("s1", service="scorers"), 0.0)
        route = batch_route(single_version)
        self.view_current = True
        self.scheduler = BatchScheduler(
            self.workers,
            lambda _host, _path: route,
            lambda _route: "scorers",
            unrestricted(self.workers, route),
            policy,
            service=service,
            prompt_of=prompt_of,
            may_start=lambda _batch, _now: self.view_current,
        )
        self.ledger = RecordingLedger()
        self.attempts: dict[str, StartItem] = {}
        self.stopped: dict[int, str] = {}
        self.recorded: list[ItemFinished | ItemProgress] = []
        self.scoring: dict[str, SendScore] = {}
        self.withheld: list[ItemAwaitingMemory] = []

    def open(self, *items: BatchItem, minimum: int = 1) -> None:
        batch = self.ledger.open(submitted(*items, minimum=minimum))
        self.take(self.scheduler.open(batch, self.ledger.ledger.reusable_text, self.now))
        self.tick()

    def open_more(self, *items: BatchItem) -> None:
        """Open a further batch."""
        batch = self.ledger.open(submitted(*items, batch=f"b{len(self.scheduler.batches)}"))
        self.take(self.scheduler.open(batch, self.ledger.ledger.reusable_text, self.now))
        self.tick()

    def tick(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.take(self.scheduler.handle(Tick(), self.now))

    def take(self, instructions) -> None:
        for instruction in instructions:
            match instruction:
                case StartItem():
                    self.attempts[instruction.item.item] = instruction
                case ItemAwaitingMemory():
                    self.withheld.append(instruction)
                case StopItem():
                    self.stopped[instruction.attempt] = instruction.reason
                case RecordItem():
                    self.recorded.append(instruction.record)
                case SendScore():
                    self.scoring[instruction.item] = instruction
                case StopScore():
                    self.stopped[instruction.attempt] = instruction.reason

    def run_whole(self, name: str, events: int = 2) -> None:
        """Have an item's text made whole."""
        self.head(name)
        for number in range(1, events + 1):
            self.event(name, number)
        self.end(name)

    def score(self, name: str, status: int = HTTP_OK, signature: str = "sig") -> None:
        answer = WorkerAnswer(status, (), b"", signature, None, False)
        event = ScoreAnswered(self.scoring[name].attempt, answer)
        self.take(self.scheduler.handle(event, self.now))

    def head(self, name: str, version: int = 1, load: WorkerLoad | None = None) -> None:
        head = StreamHead(HTTP_OK, (), (version,), load)
        self.take(self.scheduler.handle(AttemptHead(self.attempts[name].attempt, head), self.now))

    def event(self, name: str, number: int, version: int | None = None) -> None:
        event = StreamEvent(number, f"d{number}", version, b"")
        attempt = self.attempts[name].attempt
        self.take(self.scheduler.handle(AttemptEvent(attempt, event), self.now))

    def end(self, name: str, status: int = HTTP_OK) -> None:
        attempt = self.attempts[name].attempt
        self.take(self.scheduler.handle(AttemptEnded(attempt, status), self.now))

    def break_off(self, name: str, fault: AttemptFault = AttemptFault.MAY_HAVE_RUN) -> None:
        failure = AttemptFailure(fault, "", WorkerLoad(0, 0, 4))
        attempt = self.attempts[name].attempt
        self.take(self.scheduler.handle(ItemAttemptFailed(attempt, failure), self.now))


class SchedulerTests(testtools.TestCase):
    def test_a_whole_stream_becomes_a_result_with_its_versions(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x", 1)
        bench.event("x", 1)
        bench.event("x", 2, version=2)
        bench.end("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1, 2))], bench.recorded)

    def test_a_broken_stream_goes_on_elsewhere_after_the_last_event(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        first = bench.attempts["x"]
        bench.head("x")
        bench.event("x", 1)
        bench.event("x", 2)
        bench.break_off("x")
        bench.tick(0.2)
        second = bench.attempts["x"]
        self.assertNotEqual(first.worker, second.worker)
        self.assertEqual(2, second.resume_after)
        bench.head("x")
        bench.event("x", 3)
        bench.end("x")
        self.assertEqual("d1\nd2\nd3", bench.recorded[0].text)

    def test_an_event_out_of_order_is_never_taken(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x")
        bench.event("x", 1)
        bench.event("x", 3)
        self.assertEqual(["event out of order"], list(bench.stopped.values()))
        bench.tick(0.2)
        self.assertEqual(1, bench.attempts["x"].resume_after)

    def test_an_empty_answer_is_no_result(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x")
        bench.end("x")
        self.assertEqual([], bench.recorded)

    def test_weights_that_are_too_old_make_nothing(self) -> None:
        bench = Bench()
        bench.open(item("x"), minimum=1)
        bench.head("x", version=0)
        self.assertEqual(["weights too old"], list(bench.stopped.values()))

    def test_engines_on_too_old_weights_get_nothing(self) -> None:
        bench = Bench()
        bench.workers.announce(announcement("e3", versions={"m": 2}), 0.0)
        bench.open(item("x"), item("y"), minimum=2)
        self.assertEqual({"e3"}, {start.worker for start in bench.attempts.values()})

    def test_a_single_version_route_starts_over_when_weights_change(self) -> None:
        bench = Bench(single_version=True)
        bench.open(item("x"))
        bench.head("x", 1)
        bench.event("x", 1)
        bench.event("x", 2, version=2)
        bench.tick(0.2)
        self.assertIsNone(bench.attempts["x"].resume_after)

    def test_a_silent_engine_is_left(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        first = bench.attempts["x"].worker
        bench.head("x")
        bench.event("x", 1)
        bench.tick(2.0)
        bench.tick(0.2)
        self.assertIn("silent", bench.stopped.values())
        self.assertNotEqual(first, bench.attempts["x"].worker)

    def test_an_engine_that_loads_weights_may_be_silent(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        worker = bench.workers.worker(bench.attempts["x"].worker)
        bench.head("x")
        bench.event("x", 1)
        worker.loading_until["m"] = 0.9
        bench.tick(0.95)
        self.assertEqual({}, bench.stopped)

    def test_a_refusal_while_places_are_free_means_that_weights_load(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        refused = bench.attempts["x"].worker
        bench.break_off("x", AttemptFault.NOT_RUN)
        self.assertTrue(bench.workers.worker(refused).loading("m", bench.now))
        bench.tick(0.15)
        self.assertNotEqual(refused, bench.attempts["x"].worker)

    def test_an_impossible_item_is_given_up_at_once(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.end("x", status=422)
        self.assertEqual([ItemFinished("b", "x", False, "", ())], bench.recorded)

    def test_a_failing_item_is_given_up_after_the_attempts_its_route_allows(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        for _ in range(2):
            bench.end("x", status=500)
            self.assertEqual([], bench.recorded)
            bench.tick(0.2)
        bench.end("x", status=500)
        self.assertFalse(bench.recorded[0].succeeded)

    def test_an_item_is_given_up_only_after_its_time(self) -> None:
        bench = Bench(engines=())
        bench.open(item("x"))
        bench.tick(39.0)
        self.assertEqual([], bench.recorded)
        bench.tick(1.5)
        self.assertFalse(bench.recorded[0].succeeded)

    def test_the_longest_start_first_when_places_are_few(self) -> None:
        bench = Bench(engines=("e1",))
        items = [item(f"i{length}", expected=length) for length in range(1, 9)]
        bench.open(*items)
        started = {int(name.removeprefix("i")) for name in bench.attempts}
        self.assertLess(len(started), len(items))
        self.assertEqual(set(range(9 - len(started), 9)), started)

    def test_ending_a_batch_stops_all_its_attempts(self) -> None:
        bench = Bench()
        bench.open(item("x"), item("y"))
        bench.take(bench.scheduler.close("b", "ended"))
        self.assertEqual({"ended"}, set(bench.stopped.values()))
        self.assertEqual(2, len(bench.stopped))
        self.assertEqual(0, sum(worker.in_flight for worker in bench.workers.all()))

    def test_progress_is_told_and_taken_up_by_the_next_runner(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x")
        bench.event("x", 1)
        told = [instruction.record for instruction in bench.scheduler.progress("b")]
        self.assertEqual([ItemProgress("b", "x", ("d1",), (1,))], told)
        self.assertEqual([], bench.scheduler.progress("b"))
        other = Bench()
        batch = other.ledger.open(submitted(item("x")))
        other.ledger.ledger.apply(told[0], 0.0)
        other.take(other.scheduler.open(batch, other.ledger.ledger.reusable_text, other.now))
        other.tick()
        self.assertEqual(1, other.attempts["x"].resume_after)

    def test_long_items_tell_what_they_made_now_and_then(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x")
        for number in range(1, 46):
            bench.now += 0.04
            bench.event("x", number)
            bench.tick()
        told = [len(record.events) for record in bench.recorded]
        self.assertEqual(sorted(set(told)), told)
        self.assertGreaterEqual(len(told), 1)
        self.assertLessEqual(len(told), 2)

    def test_an_item_that_comes_back_whole_is_listed_without_running_again(self) -> None:
        bench = Bench()
        bench.ledger.open(submitted(item("x"), item("y"), batch="earlier"))
        bench.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a\nb", (1, 2)), 0.0)
        bench.ledger.ledger.apply(ItemProgress("earlier", "y", ("c",), (1,)), 0.0)
        bench.open(item("x"), item("y"))
        self.assertEqual([ItemFinished("b", "x", True, "a\nb", (1, 2))], bench.recorded)
        self.assertEqual(["y"], list(bench.attempts))
        self.assertEqual(1, bench.attempts["y"].resume_after)

    def test_text_on_weights_too_old_for_the_batch_is_made_anew(self) -> None:
        bench = Bench()
        for name in ENGINES:
            bench.workers.announce(announcement(name, versions={"m": 2}), 0.0)
        bench.ledger.open(submitted(item("x"), batch="earlier"))
        bench.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a", (1,)), 0.0)
        bench.open(item("x"), minimum=2)
        self.assertEqual([], bench.recorded)
        self.assertIsNone(bench.attempts["x"].resume_after)

    def test_what_came_back_starts_first_by_its_known_length_and_is_more_urgent(self) -> None:
        bench = Bench(engines=("e1",))
        bench.workers.announce(announcement("e1", versions={"m": 2}), 0.0)
        bench.ledger.open(submitted(item("back", expected=1), batch="earlier"))
        made = ItemProgress("earlier", "back", tuple("abcdefghijkl"), (1,))
        bench.ledger.ledger.apply(made, 0.0)
        bench.open(*(item(f"i{n}", expected=9) for n in range(8)), item("back", 1), minimum=2)
        self.assertEqual("back", next(iter(bench.attempts)))
        self.assertEqual(RESUBMITTED_ITEM_PRIORITY, bench.attempts["back"].priority)
        self.assertEqual(
            {None}, {bench.attempts[n].priority for n in bench.attempts if n != "back"}
        )

    def test_text_of_several_versions_does_not_serve_a_single_version_route(self) -> None:
        bench = Bench(single_version=True)
        bench.ledger.open(submitted(item("x"), batch="earlier"))
        bench.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a\nb", (1, 2)), 0.0)
        bench.open(item("x"))
        self.assertEqual([], bench.recorded)

    def test_a_version_that_made_no_event_is_not_named(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.head("x", 3)
        bench.event("x", 1)
        bench.break_off("x")
        bench.tick(0.2)
        bench.head("x", 4)
        bench.break_off("x")
        bench.tick(0.2)
        bench.head("x", 4)
        bench.event("x", 2, version=5)
        bench.end("x")
        self.assertEqual((3, 5), bench.recorded[0].versions)

    def test_a_long_item_leaves_an_engine_that_turns_out_slow(self) -> None:
        bench = Bench(engines=("e1", "e2"))
        slow = self.run_beside_a_slow_one(bench)
        self.assertIn("faster elsewhere", bench.stopped.values())
        self.assertNotEqual(slow, bench.attempts["x"].worker)

    def test_an_item_stays_at_a_slow_engine_while_it_may_not_start_elsewhere(self) -> None:
        """The view of the log is too old to start anything; what runs goes on."""
        bench = Bench(engines=("e1", "e2"))
        slow = self.run_beside_a_slow_one(bench, view_current=False)
        self.assertEqual({}, bench.stopped)
        self.assertEqual(slow, bench.attempts["x"].worker)

    @staticmethod
    def run_beside_a_slow_one(bench: Bench, *, view_current: bool = True) -> str:
        """Run two items, one at an engine four times as slow; return that engine."""
        bench.open(item("x"), item("y"))
        bench.view_current = view_current
        slow = bench.attempts["x"].worker
        for number in range(1, 80):
            bench.now += 0.04
            for name in ("x", "y"):
                if name == "y" or number % 4 == 1:
                    if number == 1:
                        bench.head(name)
                    expected = number if name == "y" else (number + 3) // 4
                    if bench.attempts[name].worker == slow or name == "y":
                        bench.event(name, expected)
            bench.tick()
        return slow

    def test_an_engine_that_just_failed_is_not_asked_again_while_others_are_only_full(self) -> None:
        bench = Bench(engines=("e1", "e2"))
        bench.open(item("x"))
        failed = bench.attempts["x"]
        other = next(w for w in bench.workers.all() if w.announcement.worker != failed.worker)
        other.record_load(WorkerLoad(4, 4, 4), bench.now)
        bench.break_off("x", AttemptFault.NOT_SENT)
        bench.tick(0.2)
        self.assertEqual(failed.attempt, bench.attempts["x"].attempt)
        other.record_load(WorkerLoad(1, 0, 4), bench.now)
        bench.tick(0.1)
        self.assertEqual(other.announcement.worker, bench.attempts["x"].worker)

    def test_with_no_other_engine_one_that_failed_is_tried_again(self) -> None:
        bench = Bench(engines=("e1",))
        bench.open(item("x"))
        bench.break_off("x", AttemptFault.NOT_SENT)
        bench.tick(0.2)
        self.assertEqual(2, bench.attempts["x"].attempt)

    def test_an_engine_that_failed_is_tried_with_one_item_first(self) -> None:
        bench = Bench(engines=("e1",))
        bench.open(item("x"), item("y"), item("z"))
        for name in ("x", "y", "z"):
            bench.break_off(name, AttemptFault.NOT_SENT)
        bench.attempts.clear()
        bench.tick(10.0)
        self.assertEqual(1, len(bench.attempts))
        (tried,) = bench.attempts
        bench.head(tried)
        for number in range(1, 6):
            bench.now += 0.02
            bench.event(tried, number)
        bench.tick(0.1)
        self.assertEqual({"x", "y", "z"}, set(bench.attempts))

    def test_an_engine_that_vanished_before_its_first_event_is_left_soon(self) -> None:
        bench = Bench(engines=("e1", "e2"))
        bench.open(item("x"))
        first = bench.attempts["x"]
        bench.workers.remove(first.worker, bench.now, -100.0)
        bench.tick(0.5)
        self.assertEqual({}, bench.stopped)
        bench.tick(0.4)
        self.assertEqual("silent", bench.stopped[first.attempt])
        bench.tick(0.2)
        self.assertNotEqual(first.worker, bench.attempts["x"].worker)


class ScoredItemTests(testtools.TestCase):
    """A text that asks for a score is a result only with it."""

    def test_nothing_is_called_before_the_text_is_whole(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.head("x")
        bench.event("x", 1)
        bench.tick(0.2)
        self.assertEqual({}, bench.scoring)
        bench.event("x", 2)
        bench.end("x")
        self.assertEqual(["x"], list(bench.scoring))
        self.assertEqual([], bench.recorded)

    def test_text_and_score_are_one_record(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        bench.score("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1,), "sig")], bench.recorded)

    def test_an_item_that_waits_for_its_score_is_not_run_again(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        first = bench.attempts["x"]
        bench.tick(3.0)
        self.assertIs(first, bench.attempts["x"])

    def test_a_score_that_always_fails_gives_the_item_up(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        for _ in range(3):
            self.assertEqual([], [r for r in bench.recorded if isinstance(r, ItemFinished)])
            bench.score("x", 500)
            bench.tick(1.0)
        self.assertEqual(ItemFinished("b", "x", False, "", ()), bench.recorded[-1])

    def test_a_late_score_has_its_text_told_and_the_next_runner_only_calls(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        bench.score("x", 500)
        bench.tick(1.1)
        self.assertEqual([ItemProgress("b", "x", ("d1", "d2"), (1,), True, 1)], bench.recorded)
        bench.tick(1.1)
        self.assertEqual(1, len(bench.recorded))
        other = Bench()
        batch = other.ledger.open(submitted(scored_item("x")))
        other.ledger.ledger.apply(bench.recorded[0], 0.0)
        other.take(other.scheduler.open(batch, other.ledger.ledger.reusable_text, other.now))
        other.tick()
        self.assertEqual({}, other.attempts)
        for _ in range(2):
            other.score("x", 500)
            other.tick(1.0)
        self.assertFalse(other.recorded[-1].succeeded)

    def test_a_stopping_runner_tells_the_text_that_waits_for_its_score(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        told = [instruction.record for instruction in bench.scheduler.progress("b")]
        self.assertEqual([ItemProgress("b", "x", ("d1", "d2"), (1,), True, 0)], told)
        self.assertEqual([], bench.scheduler.progress("b"))

    def test_an_ended_batch_has_its_score_calls_stopped(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        bench.take(bench.scheduler.close("b", "ended"))
        self.assertEqual("ended", bench.stopped[bench.scoring["x"].attempt])
        bench.score("x")
        self.assertEqual([], bench.recorded)

    def test_a_result_of_another_runner_stops_the_call(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        bench.take(bench.scheduler.listed("b", "x"))
        self.assertEqual("listed", bench.stopped[bench.scoring["x"].attempt])

    def test_a_scored_text_that_comes_back_needs_no_call_unless_the_call_is_another(self) -> None:
        for call, recorded in (("x-score", ["sig"]), ("another", [])):
            bench = Bench()
            bench.ledger.open(submitted(scored_item("x"), batch="earlier"))
            earlier = ItemFinished("earlier", "x", True, "a\nb", (1,), "sig")
            bench.ledger.ledger.apply(earlier, 0.0)
            bench.open(scored_item("x", call))
            self.assertEqual(recorded, [record.score for record in bench.recorded])
            self.assertEqual({}, bench.attempts)

    def test_a_score_that_never_comes_gives_the_item_up_after_its_time_and_not_before(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.run_whole("x")
        bench.tick(39.0)
        self.assertEqual([], [r for r in bench.recorded if isinstance(r, ItemFinished)])
        bench.tick(1.5)
        self.assertFalse(bench.recorded[-1].succeeded)


class StaleViewTests(testtools.TestCase):
    """Without a recent view of the log nobody here knows whether a batch has ended."""

    def test_no_item_starts_from_a_stale_view_and_all_start_once_it_is_recent(self) -> None:
        bench = Bench()
        bench.view_current = False
        bench.open(item("x"), item("y"))
        bench.tick(5.0)
        self.assertEqual({}, bench.attempts)
        bench.view_current = True
        bench.tick()
        self.assertEqual({"x", "y"}, set(bench.attempts))

    def test_a_broken_attempt_is_not_repeated_from_a_stale_view(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        first = bench.attempts["x"]
        bench.view_current = False
        bench.break_off("x")
        bench.tick(1.0)
        self.assertIs(first, bench.attempts["x"])
        bench.view_current = True
        bench.tick()
        self.assertIsNot(first, bench.attempts["x"])

    def test_what_runs_goes_on_and_is_recorded(self) -> None:
        bench = Bench()
        bench.open(item("x"))
        bench.view_current = False
        bench.run_whole("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1,))], bench.recorded)

    def test_no_score_is_asked_for_from_a_stale_view(self) -> None:
        bench = Bench()
        bench.open(scored_item("x"))
        bench.view_current = False
        bench.run_whole("x")
        bench.tick(1.0)
        self.assertEqual({}, bench.scoring)
        bench.view_current = True
        bench.tick()
        self.assertEqual({"x"}, set(bench.scoring))
