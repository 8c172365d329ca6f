"""Decisions on single requests: start, queue or reject."""

from __future__ import annotations

import random

import testtools

from stagewalk.gateway.admission.decisions import Admitted, Decision, Queued, Rejection
from stagewalk.gateway.admission.decisions import RejectionReason as Reason
from stagewalk.gateway.admission.fair_queue import AdmissionRequest
from stagewalk.gateway.admission.service_admission import (
    MAXIMUM_REFUSED_RETRY_SECONDS,
    MINIMUM_REFUSED_RETRY_SECONDS,
    ServiceAdmission,
    final_decision_at,
)
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

SLOTS = 4
PLACES = 5
HOLDING_SECONDS = 0.1


class Service:
    """Admission to one worker with four slots and a given time in flight."""

    def __init__(self, holding_seconds: float = HOLDING_SECONDS) -> None:
        self.workers = [Worker(announcement("w", slots=SLOTS), 0.0)]
        self.admission = ServiceAdmission(lambda: self.workers, random.Random(1))
        self.admission.note_holding_time("r", holding_seconds)

    def ask(
        self,
        now: float = 0.0,
        *,
        target: float = 1.0,
        allowed: float = 5.0,
        streamed: bool = False,
    ) -> Decision:
        request = AdmissionRequest("", "r", "t", 5, now, now + allowed, target, streamed)
        return self.admission.offer(request, now)

    def fill(self) -> None:
        for _ in range(PLACES):
            assert isinstance(self.ask(), Admitted)


class ServiceAdmissionTests(testtools.TestCase):
    def test_requests_start_at_once_until_the_limit_is_reached(self) -> None:
        service = Service()
        service.fill()
        self.assertIsInstance(service.ask(), Queued)

    def test_a_request_that_would_start_too_late_is_rejected_on_arrival(self) -> None:
        service = Service(holding_seconds=2.0)
        service.fill()
        refused = service.ask()
        self.assertIsInstance(refused, Rejection)
        self.assertEqual(Reason.TOO_LATE, refused.reason)

    def test_a_request_with_too_short_a_deadline_is_rejected(self) -> None:
        service = Service()
        service.fill()
        self.assertIsInstance(service.ask(allowed=0.1), Rejection)

    def test_a_long_stream_may_wait_for_its_first_event(self) -> None:
        service = Service(holding_seconds=1.5)
        service.fill()
        self.assertIsInstance(service.ask(), Rejection)
        self.assertIsInstance(service.ask(streamed=True), Queued)

    def test_without_workers_new_and_queued_requests_are_rejected(self) -> None:
        service = Service()
        service.fill()
        queued = service.ask()
        service.workers.clear()
        refused = service.admission.recheck(queued.waiting, 0.1)
        self.assertEqual(Reason.NO_WORKER, refused.reason)
        self.assertEqual(Reason.NO_WORKER, service.ask(0.1).reason)
        self.assertEqual(0, service.admission.waiting)

    def test_after_stop_queued_requests_are_rejected_and_requests_within_the_limit_start(
        self,
    ) -> None:
        service = Service()
        service.fill()
        queued = service.ask()
        service.admission.stop()
        refused = service.admission.recheck(queued.waiting, 0.01)
        self.assertEqual(Reason.STOPPING, refused.reason)
        service.admission.release()
        self.assertIsInstance(service.ask(0.02), Admitted)

    def test_a_withdrawn_request_leaves_the_queue_or_frees_its_place(self) -> None:
        service = Service()
        service.fill()
        first, second = service.ask(), service.ask()
        service.admission.withdraw(first.waiting)
        service.admission.release()
        self.assertEqual([second.waiting], service.admission.start_due(0.01))
        service.admission.withdraw(second.waiting)
        self.assertIsInstance(service.ask(0.02), Admitted)

    def test_a_worker_that_reports_spare_capacity_gets_more_than_the_limit(self) -> None:
        service = Service()
        service.fill()
        service.workers[0].record_load(WorkerLoad(0, 0, SLOTS, 1.0), 0.1)
        self.assertIsInstance(service.ask(0.2), Admitted)

    def test_hedging_needs_spare_capacity_and_an_empty_queue(self) -> None:
        service = Service()
        self.assertTrue(service.admission.may_hedge(0.0))
        service.fill()
        self.assertFalse(service.admission.may_hedge(0.0))


class CommittedRequestTests(testtools.TestCase):
    """A request that passed its final decision is served, not refused after a long wait."""

    def committed(self, service: Service, **changes: float) -> Queued:
        """Return a request that was queued behind a full limit and committed."""
        service.fill()
        queued = service.ask(**changes)
        assert isinstance(queued, Queued)
        decided_at = final_decision_at(queued.waiting.request)
        self.assertIsNone(service.admission.recheck(queued.waiting, decided_at))
        return queued

    def test_a_committed_request_that_full_workers_refuse_is_queued_again(self) -> None:
        service = Service()
        queued = self.committed(service)
        service.admission.release()
        self.assertEqual([queued.waiting], service.admission.start_due(0.12))
        in_flight = service.admission.in_flight
        self.assertTrue(service.admission.requeue(queued.waiting, 0.13))
        self.assertEqual(in_flight - 1, service.admission.in_flight)
        self.assertEqual([queued.waiting], service.admission.start_due(0.13))

    def test_a_refused_request_starts_beyond_the_limit_after_a_delay_that_grows(self) -> None:
        service = Service()
        waiting = self.committed(service).waiting
        service.admission.release()
        now = 0.12
        self.assertEqual([waiting], service.admission.start_due(now))
        delays = []
        for _ in range(6):
            self.assertTrue(service.admission.requeue(waiting, now))
            service.admission.limit.record_refused(PLACES, now)
            refused_at = now
            while waiting not in service.admission.start_due(now):
                now += 0.001
            delays.append(now - refused_at)
        self.assertGreaterEqual(delays[0], MINIMUM_REFUSED_RETRY_SECONDS)
        self.assertEqual(sorted(delays), delays)
        self.assertGreater(delays[-1], delays[0])
        self.assertLess(delays[-1], MAXIMUM_REFUSED_RETRY_SECONDS + 0.002)

    def test_a_request_that_started_before_its_final_decision_is_not_queued_again(self) -> None:
        service = Service()
        service.fill()
        queued = service.ask()
        service.admission.release()
        self.assertEqual([queued.waiting], service.admission.start_due(0.02))
        self.assertFalse(service.admission.requeue(queued.waiting, 0.03))

    def test_a_request_whose_time_is_over_is_not_queued_again(self) -> None:
        service = Service()
        queued = self.committed(service, allowed=1.0)
        service.admission.release()
        self.assertEqual([queued.waiting], service.admission.start_due(0.12))
        self.assertFalse(service.admission.requeue(queued.waiting, 0.95))

    def test_a_committed_request_starts_in_time_for_its_deadline_whatever_the_limit(self) -> None:
        service = Service()
        waiting = self.committed(service, allowed=1.0).waiting
        now = 0.12
        while not service.admission.start_due(now):
            self.assertIsNone(service.admission.recheck(waiting, now))
            now += service.admission.seconds_until_recheck(waiting, now)
        self.assertTrue(waiting.started)
        self.assertLess(now + HOLDING_SECONDS, waiting.request.deadline_at)
        self.assertGreater(service.admission.in_flight, PLACES)
