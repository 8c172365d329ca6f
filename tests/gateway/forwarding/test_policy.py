"""A request that may have run is retried only if repeatable, and never reported as not run."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_SECONDS_BY_DENIAL
from stagewalk.gateway.forwarding.policy import Ending, ForwardedRequest, SelectionEvidence
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerAnswer
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind

EVIDENCE = SelectionEvidence(occupancy=0.25, load_age=0.1)


def request(kind: RouteKind = RouteKind.REPEATABLE, attempts: int = 2) -> ForwardedRequest:
    route = Route("r", "h", "/", kind, (BackEnd("s", 1.0),), 1.0, 0.2, attempts)
    return ForwardedRequest(route, deadline_at=1.0, started_at=0.0)


def failure(fault: AttemptFault) -> AttemptFailure:
    return AttemptFailure(fault, "")


class PolicyTests(testtools.TestCase):
    def state_after(self, state: ForwardedRequest, fault: AttemptFault) -> ForwardedRequest:
        state.started("w", EVIDENCE)
        state.failed(failure(fault))
        return state

    def test_request_that_did_not_run_may_be_retried_whatever_its_kind(self) -> None:
        for kind in (RouteKind.REPEATABLE, RouteKind.ONCE):
            state = self.state_after(request(kind), AttemptFault.NOT_RUN)
            self.assertTrue(state.may_retry(0.1))
            self.assertEqual(Ending.NOT_RUN, state.ending(0.1))

    def test_unrepeatable_request_that_may_have_run_is_not_retried(self) -> None:
        state = self.state_after(request(RouteKind.ONCE), AttemptFault.MAY_HAVE_RUN)
        self.assertFalse(state.may_retry(0.1))
        self.assertFalse(state.may_hedge(0.1))
        self.assertEqual(Ending.UNKNOWN, state.ending(0.1))

    def test_attempts_that_were_not_sent_do_not_count(self) -> None:
        state = self.state_after(request(attempts=2), AttemptFault.NOT_SENT)
        self.assertTrue(state.may_retry(0.1))
        self.state_after(state, AttemptFault.MAY_HAVE_RUN)
        self.assertTrue(state.may_retry(0.1))
        self.state_after(state, AttemptFault.NOT_RUN)
        self.assertFalse(state.may_retry(0.1))

    def test_request_suspected_of_crashes_is_not_hedged(self) -> None:
        state = request()
        state.started("w", EVIDENCE)
        self.assertTrue(state.may_hedge(0.1))
        state.crash_suspected = True
        self.assertFalse(state.may_hedge(0.1))

    def test_retry_delay_of_a_quarantined_request_is_given_only_if_it_did_not_run(self) -> None:
        state = request()
        state.content_denial = Denial.CRASHES_WORKERS
        self.assertIs(Ending.NOT_RUN, state.ending(0.1))
        outcome = state.unanswered(Ending.NOT_RUN)
        self.assertEqual(
            RETRY_AFTER_SECONDS_BY_DENIAL[Denial.CRASHES_WORKERS], outcome.retry_after_seconds
        )
        ran = self.state_after(state, AttemptFault.MAY_HAVE_RUN)
        self.assertIs(Ending.UNKNOWN, ran.ending(0.1))
        self.assertIsNone(ran.unanswered(Ending.UNKNOWN).retry_after_seconds)

    def test_no_attempt_starts_within_the_deadline_reserve(self) -> None:
        state = self.state_after(request(), AttemptFault.NOT_RUN)
        self.assertFalse(state.may_retry(0.99))

    def test_a_request_in_flight_at_its_deadline_may_have_run(self) -> None:
        state = request()
        state.started("w", EVIDENCE)
        self.assertEqual(Ending.DEADLINE_EXCEEDED, state.ending(1.0))

    def test_a_request_that_may_have_run_exceeds_its_deadline_within_the_reserve(self) -> None:
        state = self.state_after(request(RouteKind.ONCE), AttemptFault.MAY_HAVE_RUN)
        self.assertEqual(Ending.UNKNOWN, state.ending(0.9))
        self.assertEqual(Ending.DEADLINE_EXCEEDED, state.ending(0.985))

    def test_server_error_is_final_once_no_attempt_is_left(self) -> None:
        answer = WorkerAnswer(500, (), b"", signature="s", load=None, leaving=False)
        state = request(attempts=1)
        state.started("w", EVIDENCE)
        self.assertTrue(state.accepts(answer, 0.1))
        other = request(attempts=2)
        other.started("w", EVIDENCE)
        self.assertFalse(other.accepts(answer, 0.1))

    def test_only_a_status_of_200_ends_a_stream_that_has_begun(self) -> None:
        for status in (204, 206, 404, 422, 500, 503, 504):
            state = request(RouteKind.STREAM)
            self.assertTrue(state.accepts_end(status, 0.1, begun=False))
            self.assertFalse(state.accepts_end(status, 0.1, begun=True))
            self.assertEqual(Ending.UNKNOWN, state.ending(0.1))
        self.assertTrue(request(RouteKind.STREAM).accepts_end(200, 0.1, begun=True))

    def test_a_stream_that_has_not_begun_is_retried_only_if_resumable_and_after_a_server_error(
        self,
    ) -> None:
        once = request(RouteKind.STREAM)
        resumable = ForwardedRequest(replace(once.route, resumable=True), 1.0, 0.0)
        for state in (once, resumable):
            state.started("w", EVIDENCE)
        self.assertTrue(resumable.accepts_end(422, 0.1, begun=False))
        self.assertFalse(resumable.accepts_end(500, 0.1, begun=False))
        self.assertTrue(resumable.accepts_end(500, 0.99, begun=False))
        self.assertTrue(once.accepts_end(500, 0.1, begun=False))

    def test_deadline_sent_to_a_worker_is_the_remaining_time_and_positive(self) -> None:
        state = request()
        self.assertLess(state.worker_deadline_seconds(0.6), 0.4)
        self.assertGreater(state.worker_deadline_seconds(2.0), 0.0)
