"""Decisions on single requests: start, queue or reject."""

from __future__ import annotations

import random

import testtools

from stagewalk.gateway.admission.decisions import Admitted, Decision, Queued, Rejection
from stagewalk.gateway.admission.decisions import RejectionReason as Reason
from stagewalk.gateway.admission.fair_queue import AdmissionRequest
from stagewalk.gateway.admission.service_admission import ServiceAdmission
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

SLOTS = 4
PLACES = 5


class Service:
    """Admission to one worker with four slots and a given time in flight."""

    def __init__(self, holding_seconds: float = 0.1) -> None:
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
