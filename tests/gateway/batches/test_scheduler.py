"""Items run to a complete text across failing, slow, silent and reloading engines."""

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


class SchedulerHarness:
    """Drives a scheduler; the test supplies the engines' responses."""

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
        self.execute(self.scheduler.open(batch, self.ledger.ledger.reusable_text, self.now))
        self.tick()

    def open_more(self, *items: BatchItem) -> None:
        """Open another batch."""
        batch = self.ledger.open(submitted(*items, batch=f"b{len(self.scheduler.batches)}"))
        self.execute(self.scheduler.open(batch, self.ledger.ledger.reusable_text, self.now))
        self.tick()

    def tick(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.execute(self.scheduler.handle(Tick(), self.now))

    def execute(self, instructions) -> None:
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

    def complete_text(self, name: str, events: int = 2) -> None:
        """Run an item to its complete text."""
        self.head(name)
        for number in range(1, events + 1):
            self.event(name, number)
        self.end(name)

    def score(self, name: str, status: int = HTTP_OK, signature: str = "sig") -> None:
        answer = WorkerAnswer(status, (), b"", signature, None, False)
        event = ScoreAnswered(self.scoring[name].attempt, answer)
        self.execute(self.scheduler.handle(event, self.now))

    def head(self, name: str, version: int = 1, load: WorkerLoad | None = None) -> None:
        head = StreamHead(HTTP_OK, (), (version,), load)
        self.execute(
            self.scheduler.handle(AttemptHead(self.attempts[name].attempt, head), self.now)
        )

    def event(self, name: str, number: int, version: int | None = None) -> None:
        event = StreamEvent(number, f"d{number}", version, b"")
        attempt = self.attempts[name].attempt
        self.execute(self.scheduler.handle(AttemptEvent(attempt, event), self.now))

    def end(self, name: str, status: int = HTTP_OK) -> None:
        attempt = self.attempts[name].attempt
        self.execute(self.scheduler.handle(AttemptEnded(attempt, status), self.now))

    def fail_attempt(self, name: str, fault: AttemptFault = AttemptFault.MAY_HAVE_RUN) -> None:
        failure = AttemptFailure(fault, "", WorkerLoad(0, 0, 4))
        attempt = self.attempts[name].attempt
        self.execute(self.scheduler.handle(ItemAttemptFailed(attempt, failure), self.now))


class SchedulerTests(testtools.TestCase):
    def test_a_complete_stream_becomes_a_result_with_its_versions(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x", 1)
        harness.event("x", 1)
        harness.event("x", 2, version=2)
        harness.end("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1, 2))], harness.recorded)

    def test_a_broken_stream_resumes_elsewhere_after_the_last_event(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        first = harness.attempts["x"]
        harness.head("x")
        harness.event("x", 1)
        harness.event("x", 2)
        harness.fail_attempt("x")
        harness.tick(0.2)
        second = harness.attempts["x"]
        self.assertNotEqual(first.worker, second.worker)
        self.assertEqual(2, second.resume_after)
        harness.head("x")
        harness.event("x", 3)
        harness.end("x")
        self.assertEqual("d1\nd2\nd3", harness.recorded[0].text)

    def test_an_event_out_of_order_stops_the_attempt(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x")
        harness.event("x", 1)
        harness.event("x", 3)
        self.assertEqual(["event out of order"], list(harness.stopped.values()))
        harness.tick(0.2)
        self.assertEqual(1, harness.attempts["x"].resume_after)

    def test_an_empty_answer_is_no_result(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x")
        harness.end("x")
        self.assertEqual([], harness.recorded)

    def test_an_attempt_on_too_old_weights_is_stopped(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"), minimum=1)
        harness.head("x", version=0)
        self.assertEqual(["weights too old"], list(harness.stopped.values()))

    def test_engines_on_too_old_weights_get_no_items(self) -> None:
        harness = SchedulerHarness()
        harness.workers.announce(announcement("e3", versions={"m": 2}), 0.0)
        harness.open(item("x"), item("y"), minimum=2)
        self.assertEqual({"e3"}, {start.worker for start in harness.attempts.values()})

    def test_a_single_version_route_starts_over_when_weights_change(self) -> None:
        harness = SchedulerHarness(single_version=True)
        harness.open(item("x"))
        harness.head("x", 1)
        harness.event("x", 1)
        harness.event("x", 2, version=2)
        harness.tick(0.2)
        self.assertIsNone(harness.attempts["x"].resume_after)

    def test_an_item_moves_from_a_silent_engine(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        first = harness.attempts["x"].worker
        harness.head("x")
        harness.event("x", 1)
        harness.tick(2.0)
        harness.tick(0.2)
        self.assertIn("silent", harness.stopped.values())
        self.assertNotEqual(first, harness.attempts["x"].worker)

    def test_an_engine_that_loads_weights_may_be_silent(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        worker = harness.workers.worker(harness.attempts["x"].worker)
        harness.head("x")
        harness.event("x", 1)
        worker.loading_until["m"] = 0.9
        harness.tick(0.95)
        self.assertEqual({}, harness.stopped)

    def test_a_refusal_while_places_are_free_means_that_weights_load(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        refused = harness.attempts["x"].worker
        harness.fail_attempt("x", AttemptFault.NOT_RUN)
        self.assertTrue(harness.workers.worker(refused).loading("m", harness.now))
        harness.tick(0.15)
        self.assertNotEqual(refused, harness.attempts["x"].worker)

    def test_an_unprocessable_item_fails_at_once(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.end("x", status=422)
        self.assertEqual([ItemFinished("b", "x", False, "", ())], harness.recorded)

    def test_a_failing_item_is_given_up_after_the_attempts_its_route_allows(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        for _ in range(2):
            harness.end("x", status=500)
            self.assertEqual([], harness.recorded)
            harness.tick(0.2)
        harness.end("x", status=500)
        self.assertFalse(harness.recorded[0].succeeded)

    def test_an_item_is_given_up_only_after_the_give_up_time(self) -> None:
        harness = SchedulerHarness(engines=())
        harness.open(item("x"))
        harness.tick(39.0)
        self.assertEqual([], harness.recorded)
        harness.tick(1.5)
        self.assertFalse(harness.recorded[0].succeeded)

    def test_the_longest_start_first_when_places_are_few(self) -> None:
        harness = SchedulerHarness(engines=("e1",))
        items = [item(f"i{length}", expected=length) for length in range(1, 9)]
        harness.open(*items)
        started = {int(name.removeprefix("i")) for name in harness.attempts}
        self.assertLess(len(started), len(items))
        self.assertEqual(set(range(9 - len(started), 9)), started)

    def test_ending_a_batch_stops_all_its_attempts(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"), item("y"))
        harness.execute(harness.scheduler.close("b", "ended"))
        self.assertEqual({"ended"}, set(harness.stopped.values()))
        self.assertEqual(2, len(harness.stopped))
        self.assertEqual(0, sum(worker.in_flight for worker in harness.workers.all()))

    def test_progress_is_published_and_resumed_by_the_next_runner(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x")
        harness.event("x", 1)
        published = [instruction.record for instruction in harness.scheduler.progress("b")]
        self.assertEqual([ItemProgress("b", "x", ("d1",), (1,))], published)
        self.assertEqual([], harness.scheduler.progress("b"))
        other = SchedulerHarness()
        batch = other.ledger.open(submitted(item("x")))
        other.ledger.ledger.apply(published[0], 0.0)
        other.execute(other.scheduler.open(batch, other.ledger.ledger.reusable_text, other.now))
        other.tick()
        self.assertEqual(1, other.attempts["x"].resume_after)

    def test_progress_of_long_items_is_published_periodically(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x")
        for number in range(1, 46):
            harness.now += 0.04
            harness.event("x", number)
            harness.tick()
        published = [len(record.events) for record in harness.recorded]
        self.assertEqual(sorted(set(published)), published)
        self.assertGreaterEqual(len(published), 1)
        self.assertLessEqual(len(published), 2)

    def test_a_resubmitted_item_with_complete_text_is_recorded_without_running(self) -> None:
        harness = SchedulerHarness()
        harness.ledger.open(submitted(item("x"), item("y"), batch="earlier"))
        harness.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a\nb", (1, 2)), 0.0)
        harness.ledger.ledger.apply(ItemProgress("earlier", "y", ("c",), (1,)), 0.0)
        harness.open(item("x"), item("y"))
        self.assertEqual([ItemFinished("b", "x", True, "a\nb", (1, 2))], harness.recorded)
        self.assertEqual(["y"], list(harness.attempts))
        self.assertEqual(1, harness.attempts["y"].resume_after)

    def test_text_on_weights_too_old_for_the_batch_is_generated_again(self) -> None:
        harness = SchedulerHarness()
        for name in ENGINES:
            harness.workers.announce(announcement(name, versions={"m": 2}), 0.0)
        harness.ledger.open(submitted(item("x"), batch="earlier"))
        harness.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a", (1,)), 0.0)
        harness.open(item("x"), minimum=2)
        self.assertEqual([], harness.recorded)
        self.assertIsNone(harness.attempts["x"].resume_after)

    def test_a_resubmitted_item_starts_first_by_known_length_and_with_priority(self) -> None:
        harness = SchedulerHarness(engines=("e1",))
        harness.workers.announce(announcement("e1", versions={"m": 2}), 0.0)
        harness.ledger.open(submitted(item("back", expected=1), batch="earlier"))
        made = ItemProgress("earlier", "back", tuple("abcdefghijkl"), (1,))
        harness.ledger.ledger.apply(made, 0.0)
        harness.open(*(item(f"i{n}", expected=9) for n in range(8)), item("back", 1), minimum=2)
        self.assertEqual("back", next(iter(harness.attempts)))
        self.assertEqual(RESUBMITTED_ITEM_PRIORITY, harness.attempts["back"].priority)
        self.assertEqual(
            {None}, {harness.attempts[n].priority for n in harness.attempts if n != "back"}
        )

    def test_text_of_several_versions_is_not_reused_on_a_single_version_route(self) -> None:
        harness = SchedulerHarness(single_version=True)
        harness.ledger.open(submitted(item("x"), batch="earlier"))
        harness.ledger.ledger.apply(ItemFinished("earlier", "x", True, "a\nb", (1, 2)), 0.0)
        harness.open(item("x"))
        self.assertEqual([], harness.recorded)

    def test_a_version_without_events_is_not_in_the_result(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.head("x", 3)
        harness.event("x", 1)
        harness.fail_attempt("x")
        harness.tick(0.2)
        harness.head("x", 4)
        harness.fail_attempt("x")
        harness.tick(0.2)
        harness.head("x", 4)
        harness.event("x", 2, version=5)
        harness.end("x")
        self.assertEqual((3, 5), harness.recorded[0].versions)

    def test_a_long_item_moves_from_a_slow_engine(self) -> None:
        harness = SchedulerHarness(engines=("e1", "e2"))
        slow = self.run_beside_slow_engine(harness)
        self.assertIn("faster elsewhere", harness.stopped.values())
        self.assertNotEqual(slow, harness.attempts["x"].worker)

    def test_an_item_stays_at_a_slow_engine_while_it_may_not_start_elsewhere(self) -> None:
        """A view of the log too old to start items leaves running attempts in place."""
        harness = SchedulerHarness(engines=("e1", "e2"))
        slow = self.run_beside_slow_engine(harness, view_current=False)
        self.assertEqual({}, harness.stopped)
        self.assertEqual(slow, harness.attempts["x"].worker)

    @staticmethod
    def run_beside_slow_engine(harness: SchedulerHarness, *, view_current: bool = True) -> str:
        """Run two items, one at an engine that is four times slower; return that engine."""
        harness.open(item("x"), item("y"))
        harness.view_current = view_current
        slow = harness.attempts["x"].worker
        for number in range(1, 80):
            harness.now += 0.04
            for name in ("x", "y"):
                if name == "y" or number % 4 == 1:
                    if number == 1:
                        harness.head(name)
                    expected = number if name == "y" else (number + 3) // 4
                    if harness.attempts[name].worker == slow or name == "y":
                        harness.event(name, expected)
            harness.tick()
        return slow

    def test_an_engine_that_just_failed_is_not_used_while_others_are_only_full(self) -> None:
        harness = SchedulerHarness(engines=("e1", "e2"))
        harness.open(item("x"))
        failed = harness.attempts["x"]
        other = next(w for w in harness.workers.all() if w.announcement.worker != failed.worker)
        other.record_load(WorkerLoad(4, 4, 4), harness.now)
        harness.fail_attempt("x", AttemptFault.NOT_SENT)
        harness.tick(0.2)
        self.assertEqual(failed.attempt, harness.attempts["x"].attempt)
        other.record_load(WorkerLoad(1, 0, 4), harness.now)
        harness.tick(0.1)
        self.assertEqual(other.announcement.worker, harness.attempts["x"].worker)

    def test_with_no_other_engine_one_that_failed_is_tried_again(self) -> None:
        harness = SchedulerHarness(engines=("e1",))
        harness.open(item("x"))
        harness.fail_attempt("x", AttemptFault.NOT_SENT)
        harness.tick(0.2)
        self.assertEqual(2, harness.attempts["x"].attempt)

    def test_an_engine_that_failed_is_tried_with_one_item_first(self) -> None:
        harness = SchedulerHarness(engines=("e1",))
        harness.open(item("x"), item("y"), item("z"))
        for name in ("x", "y", "z"):
            harness.fail_attempt(name, AttemptFault.NOT_SENT)
        harness.attempts.clear()
        harness.tick(10.0)
        self.assertEqual(1, len(harness.attempts))
        (tried,) = harness.attempts
        harness.head(tried)
        for number in range(1, 6):
            harness.now += 0.02
            harness.event(tried, number)
        harness.tick(0.1)
        self.assertEqual({"x", "y", "z"}, set(harness.attempts))

    def test_an_unlisted_engine_is_abandoned_early_before_its_first_event(self) -> None:
        harness = SchedulerHarness(engines=("e1", "e2"))
        harness.open(item("x"))
        first = harness.attempts["x"]
        harness.workers.remove(first.worker, harness.now, -100.0)
        harness.tick(0.5)
        self.assertEqual({}, harness.stopped)
        harness.tick(0.4)
        self.assertEqual("silent", harness.stopped[first.attempt])
        harness.tick(0.2)
        self.assertNotEqual(first.worker, harness.attempts["x"].worker)


class ScoredItemTests(testtools.TestCase):
    """The text of an item that asks for a score is a result only with the score."""

    def test_no_score_is_requested_before_the_text_is_complete(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.head("x")
        harness.event("x", 1)
        harness.tick(0.2)
        self.assertEqual({}, harness.scoring)
        harness.event("x", 2)
        harness.end("x")
        self.assertEqual(["x"], list(harness.scoring))
        self.assertEqual([], harness.recorded)

    def test_text_and_score_are_one_record(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        harness.score("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1,), "sig")], harness.recorded)

    def test_an_item_that_waits_for_its_score_is_not_run_again(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        first = harness.attempts["x"]
        harness.tick(3.0)
        self.assertIs(first, harness.attempts["x"])

    def test_an_item_fails_when_its_score_always_fails(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        for _ in range(3):
            self.assertEqual([], [r for r in harness.recorded if isinstance(r, ItemFinished)])
            harness.score("x", 500)
            harness.tick(1.0)
        self.assertEqual(ItemFinished("b", "x", False, "", ()), harness.recorded[-1])

    def test_text_awaiting_a_late_score_is_published_and_the_next_runner_only_scores(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        harness.score("x", 500)
        harness.tick(1.1)
        self.assertEqual([ItemProgress("b", "x", ("d1", "d2"), (1,), True, 1)], harness.recorded)
        harness.tick(1.1)
        self.assertEqual(1, len(harness.recorded))
        other = SchedulerHarness()
        batch = other.ledger.open(submitted(scored_item("x")))
        other.ledger.ledger.apply(harness.recorded[0], 0.0)
        other.execute(other.scheduler.open(batch, other.ledger.ledger.reusable_text, other.now))
        other.tick()
        self.assertEqual({}, other.attempts)
        for _ in range(2):
            other.score("x", 500)
            other.tick(1.0)
        self.assertFalse(other.recorded[-1].succeeded)

    def test_progress_includes_text_that_awaits_its_score(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        published = [instruction.record for instruction in harness.scheduler.progress("b")]
        self.assertEqual([ItemProgress("b", "x", ("d1", "d2"), (1,), True, 0)], published)
        self.assertEqual([], harness.scheduler.progress("b"))

    def test_an_ended_batch_has_its_score_calls_stopped(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        harness.execute(harness.scheduler.close("b", "ended"))
        self.assertEqual("ended", harness.stopped[harness.scoring["x"].attempt])
        harness.score("x")
        self.assertEqual([], harness.recorded)

    def test_a_result_of_another_runner_stops_the_call(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        harness.execute(harness.scheduler.listed("b", "x"))
        self.assertEqual("listed", harness.stopped[harness.scoring["x"].attempt])

    def test_a_resubmitted_scored_text_is_scored_again_only_for_another_call(self) -> None:
        for call, recorded in (("x-score", ["sig"]), ("another", [])):
            harness = SchedulerHarness()
            harness.ledger.open(submitted(scored_item("x"), batch="earlier"))
            earlier = ItemFinished("earlier", "x", True, "a\nb", (1,), "sig")
            harness.ledger.ledger.apply(earlier, 0.0)
            harness.open(scored_item("x", call))
            self.assertEqual(recorded, [record.score for record in harness.recorded])
            self.assertEqual({}, harness.attempts)

    def test_an_item_without_a_score_fails_once_overdue_and_not_before(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.complete_text("x")
        harness.tick(39.0)
        self.assertEqual([], [r for r in harness.recorded if isinstance(r, ItemFinished)])
        harness.tick(1.5)
        self.assertFalse(harness.recorded[-1].succeeded)


class StaleViewTests(testtools.TestCase):
    """Without a recent view of the log the node doesn't know whether a batch has ended."""

    def test_no_item_starts_from_a_stale_view_and_all_start_once_it_is_recent(self) -> None:
        harness = SchedulerHarness()
        harness.view_current = False
        harness.open(item("x"), item("y"))
        harness.tick(5.0)
        self.assertEqual({}, harness.attempts)
        harness.view_current = True
        harness.tick()
        self.assertEqual({"x", "y"}, set(harness.attempts))

    def test_a_broken_attempt_is_not_repeated_from_a_stale_view(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        first = harness.attempts["x"]
        harness.view_current = False
        harness.fail_attempt("x")
        harness.tick(1.0)
        self.assertIs(first, harness.attempts["x"])
        harness.view_current = True
        harness.tick()
        self.assertIsNot(first, harness.attempts["x"])

    def test_a_running_attempt_continues_and_is_recorded(self) -> None:
        harness = SchedulerHarness()
        harness.open(item("x"))
        harness.view_current = False
        harness.complete_text("x")
        self.assertEqual([ItemFinished("b", "x", True, "d1\nd2", (1,))], harness.recorded)

    def test_no_score_is_requested_from_a_stale_view(self) -> None:
        harness = SchedulerHarness()
        harness.open(scored_item("x"))
        harness.view_current = False
        harness.complete_text("x")
        harness.tick(1.0)
        self.assertEqual({}, harness.scoring)
        harness.view_current = True
        harness.tick()
        self.assertEqual({"x"}, set(harness.scoring))
