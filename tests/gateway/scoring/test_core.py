"""Each score call gets one score, also with failing, slow and unresponsive services."""

from __future__ import annotations

import itertools

import testtools

from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerAnswer, WorkerLoad
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind
from stagewalk.gateway.scoring.core import ScoreCalls, ScoreOutcome, ScoreResult
from stagewalk.gateway.scoring.messages import (
    ScoreAnswered,
    ScoreAttemptFailed,
    SendScore,
    StopScore,
)
from stagewalk.gateway.scoring.records import ScoreCall
from stagewalk.gateway.scoring.retry_rules import (
    MAXIMUM_ATTEMPT_SECONDS,
    MAXIMUM_CONCURRENT_ATTEMPTS,
)
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.eligibility.support import unrestricted
from tests.gateway.workers.support import announcement

CALL = ScoreCall("c1", "h.example", "/score/x", b"text")
BATCH_ATTEMPTS = 2
ROUTE_ATTEMPTS = 4
ROUTE = Route(
    "score",
    "h.example",
    "/score/",
    RouteKind.REPEATABLE,
    (BackEnd("scorers", 1.0),),
    timeout_seconds=10.0,
    target_seconds=0.2,
    maximum_attempts=ROUTE_ATTEMPTS,
)
LOAD = WorkerLoad(0, 0, 4)


def answer(status: int, signature: str = "") -> WorkerAnswer:
    return WorkerAnswer(status, (), b"", signature, LOAD, False)


class Bench:
    """Score calls to workers whose answers are given by the test."""

    def __init__(self, scorers: int = 4) -> None:
        self.now = 0.0
        self.route: Route | None = ROUTE
        self.workers = WorkerTable()
        for n in range(scorers):
            self.workers.announce(announcement(f"s{n}", service="scorers"), 0.0)
        self.calls = ScoreCalls(
            unrestricted(self.workers),
            lambda _host, _path: self.route,
            lambda _route: "scorers",
            numbers=itertools.count(1),
        )
        self.sent: list[SendScore] = []
        self.results: list[ScoreResult] = []
        self.stopped: list[StopScore] = []

    def begin(self, item: str = "x", failures: int = 0) -> None:
        self.calls.begin("b", item, CALL, BATCH_ATTEMPTS, failures)
        self.wait(0.0)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.sent += self.calls.due(self.now)

    def answer(self, send: SendScore, status: int, signature: str = "") -> None:
        event = ScoreAnswered(send.attempt, answer(status, signature))
        result, stops = self.calls.answered(event, self.now)
        if result is not None:
            self.results.append(result)
        self.stopped += stops

    def fail(self, send: SendScore, fault: AttemptFault) -> None:
        self.calls.broken(
            ScoreAttemptFailed(send.attempt, AttemptFailure(fault, "scripted", LOAD)), self.now
        )


class ScoreCallTests(testtools.TestCase):
    def test_signature_of_a_successful_answer_is_the_score(self) -> None:
        bench = Bench()
        bench.begin()
        bench.answer(bench.sent[0], 200, "sig")
        self.assertEqual([ScoreResult("b", "x", ScoreOutcome.SCORED, "sig", 0)], bench.results)
        self.assertEqual(0, bench.calls.pending)

    def test_unsigned_success_is_neither_a_score_nor_a_failure(self) -> None:
        bench = Bench()
        bench.begin()
        bench.answer(bench.sent[0], 200)
        self.assertEqual(ScoreOutcome.PENDING, bench.results[0].outcome)
        self.assertEqual(0, bench.results[0].failures)
        bench.wait(0.1)
        self.assertEqual(2, len(bench.sent))

    def test_deadline_of_an_attempt_leaves_time_for_others(self) -> None:
        bench = Bench()
        bench.begin()
        self.assertEqual(MAXIMUM_ATTEMPT_SECONDS, bench.sent[0].deadline_seconds)

    def test_slow_call_is_hedged_up_to_a_bound(self) -> None:
        bench = Bench()
        bench.begin()
        bench.wait(0.02)
        self.assertEqual(1, len(bench.sent))
        for _ in range(6):
            bench.wait(0.2)
        self.assertEqual(MAXIMUM_CONCURRENT_ATTEMPTS, len(bench.sent))
        self.assertEqual(MAXIMUM_CONCURRENT_ATTEMPTS, len({send.worker for send in bench.sent}))

    def test_first_score_counts_and_other_attempts_are_stopped(self) -> None:
        bench = Bench()
        bench.begin()
        bench.wait(0.2)
        first, second = bench.sent
        bench.answer(second, 200, "second")
        self.assertEqual([StopScore(first.attempt, "scored")], bench.stopped)
        bench.answer(first, 200, "first")
        self.assertEqual(["second"], [result.score for result in bench.results])
        self.assertEqual([0] * 4, [worker.in_flight for worker in bench.workers.all()])

    def test_answer_scores_only_the_sample_of_its_attempt(self) -> None:
        bench = Bench()
        bench.begin("x")
        bench.begin("y")
        by_item = {send.item: send for send in bench.sent}
        bench.answer(by_item["y"], 200, "for y")
        self.assertEqual([("y", "for y")], [(r.item, r.score) for r in bench.results])
        self.assertEqual(1, bench.calls.pending)

    def test_call_is_given_up_after_the_failures_that_its_route_allows(self) -> None:
        bench = Bench()
        bench.begin()
        for _ in range(20):
            for send in list(bench.sent)[len(bench.results) :]:
                bench.answer(send, 500)
            bench.wait(1.0)
        outcomes = [result.outcome for result in bench.results]
        pending = [ScoreOutcome.PENDING] * (ROUTE_ATTEMPTS - 1)
        self.assertEqual([*pending, ScoreOutcome.FAILED], outcomes)
        self.assertEqual(ROUTE_ATTEMPTS, len(bench.sent))

    def test_failures_before_a_takeover_count(self) -> None:
        bench = Bench()
        bench.begin(failures=ROUTE_ATTEMPTS - 1)
        bench.wait(1.0)
        self.assertEqual(1, len(bench.sent))
        bench.answer(bench.sent[0], 500)
        self.assertEqual(ScoreOutcome.FAILED, bench.results[0].outcome)

    def test_lost_connection_is_no_failure_of_the_sample(self) -> None:
        bench = Bench()
        bench.begin()
        for _ in range(30):
            for send in bench.sent[-1:]:
                bench.fail(send, AttemptFault.MAY_HAVE_RUN)
            bench.wait(1.0)
        self.assertEqual([], bench.results)
        self.assertEqual(1, bench.calls.pending)
        bench.answer(bench.sent[-1], 200, "sig")
        self.assertEqual("sig", bench.results[0].score)

    def test_refused_call_is_retried_after_a_bounded_delay(self) -> None:
        bench = Bench(scorers=2)
        bench.begin()
        for count in range(2, 8):
            bench.fail(bench.sent[-1], AttemptFault.NOT_RUN)
            bench.wait(0.0)
            self.assertEqual(count - 1, len(bench.sent))
            bench.wait(0.81)
            self.assertEqual(count, len(bench.sent))

    def test_call_waits_for_a_route_and_a_worker(self) -> None:
        bench = Bench(scorers=0)
        bench.begin()
        bench.wait(5.0)
        self.assertEqual([], bench.sent)
        bench.workers.announce(announcement("s9", service="scorers"), bench.now)
        bench.route = None
        bench.wait(1.0)
        self.assertEqual([], bench.sent)
        bench.route = ROUTE
        bench.wait(1.0)
        self.assertEqual(["s9"], [send.worker for send in bench.sent])

    def test_dropped_call_is_stopped_and_its_answer_ignored(self) -> None:
        bench = Bench()
        bench.begin()
        stops = bench.calls.drop("b", "x", "ended")
        self.assertEqual([StopScore(bench.sent[0].attempt, "ended")], stops)
        bench.answer(bench.sent[0], 200, "late")
        bench.wait(3.0)
        self.assertEqual([], bench.results)
        self.assertEqual(1, len(bench.sent))
