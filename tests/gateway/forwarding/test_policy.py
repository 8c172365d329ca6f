"""What may have run goes on only if it may be repeated; a refusal is true."""

from __future__ import annotations

import testtools

from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_SECONDS_BY_DENIAL
from stagewalk.gateway.forwarding.policy import Ending, Evidence, ForwardedRequest
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerAnswer
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind

EVIDENCE = Evidence(occupancy=0.25, load_age=0.1)


def request(kind: RouteKind = RouteKind.REPEATABLE, attempts: int = 2) -> ForwardedRequest:
    route = Route("r", "h", "/", kind, (BackEnd("s", 1.0),), 1.0, 0.2, attempts)
    return ForwardedRequest(route, deadline_at=1.0, started_at=0.0)


def failure(fault: AttemptFault) -> AttemptFailure:
    return AttemptFailure(fault, "")


class PolicyTests(testtools.TestCase):
    def after(self, state: ForwardedRequest, fault: AttemptFault) -> ForwardedRequest:
        state.started("w", EVIDENCE)
        state.failed(failure(fault))
        return state

    def test_what_did_not_run_may_go_elsewhere_whatever_its_kind(self) -> None:
        for kind in (RouteKind.REPEATABLE, RouteKind.ONCE):
            state = self.after(request(kind), AttemptFault.NOT_RUN)
            self.assertTrue(state.may_try_again(0.1))
            self.assertEqual(Ending.NOT_RUN, state.ending(0.1))

    def test_what_may_have_run_once_is_never_sent_again(self) -> None:
        state = self.after(request(RouteKind.ONCE), AttemptFault.MAY_HAVE_RUN)
        self.assertFalse(state.may_try_again(0.1))
        self.assertFalse(state.may_hedge(0.1))
        self.assertEqual(Ending.UNKNOWN, state.ending(0.1))

    def test_attempts_are_counted_but_not_those_that_reached_nobody(self) -> None:
        state = self.after(request(attempts=2), AttemptFault.NOT_SENT)
        self.assertTrue(state.may_try_again(0.1))
        self.after(state, AttemptFault.MAY_HAVE_RUN)
        self.assertTrue(state.may_try_again(0.1))
        self.after(state, AttemptFault.NOT_RUN)
        self.assertFalse(state.may_try_again(0.1))

    def test_a_suspect_runs_at_one_worker_at_a_time(self) -> None:
        state = request()
        state.started("w", EVIDENCE)
        self.assertTrue(state.may_hedge(0.1))
        state.suspected = True
        self.assertFalse(state.may_hedge(0.1))

    def test_what_is_held_back_is_refused_truthfully_with_when_to_come_back(self) -> None:
        state = request()
        state.withheld = Denial.CRASHES_WORKERS
        self.assertIs(Ending.NOT_RUN, state.ending(0.1))
        told = state.unanswered(Ending.NOT_RUN)
        self.assertEqual(
            RETRY_AFTER_SECONDS_BY_DENIAL[Denial.CRASHES_WORKERS], told.retry_after_seconds
        )
        ran = self.after(state, AttemptFault.MAY_HAVE_RUN)
        self.assertIs(Ending.UNKNOWN, ran.ending(0.1))
        self.assertIsNone(ran.unanswered(Ending.UNKNOWN).retry_after_seconds)

    def test_nothing_starts_when_time_is_over(self) -> None:
        state = self.after(request(), AttemptFault.NOT_RUN)
        self.assertFalse(state.may_try_again(0.99))

    def test_a_request_under_way_at_its_deadline_may_have_run(self) -> None:
        state = request()
        state.started("w", EVIDENCE)
        self.assertEqual(Ending.DEADLINE_EXCEEDED, state.ending(1.0))

    def test_a_request_whose_worker_had_all_its_time_is_out_of_time(self) -> None:
        state = self.after(request(RouteKind.ONCE), AttemptFault.MAY_HAVE_RUN)
        self.assertEqual(Ending.UNKNOWN, state.ending(0.9))
        self.assertEqual(Ending.DEADLINE_EXCEEDED, state.ending(0.985))

    def test_a_workers_own_failure_is_final_once_no_attempt_is_left(self) -> None:
        answer = WorkerAnswer(500, (), b"", signature="s", load=None, leaving=False)
        state = request(attempts=1)
        state.started("w", EVIDENCE)
        self.assertTrue(state.accepts(answer, 0.1))
        other = request(attempts=2)
        other.started("w", EVIDENCE)
        self.assertFalse(other.accepts(answer, 0.1))

    def test_the_time_a_worker_gets_is_what_is_left(self) -> None:
        state = request()
        self.assertLess(state.worker_seconds(0.6), 0.4)
        self.assertGreater(state.worker_seconds(2.0), 0.0)
