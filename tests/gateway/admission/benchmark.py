"""Benchmark of admission decisions: `python -m tests.gateway.admission.benchmark`.

One service with 600 workers gets 3,200 requests per second, with enough capacity and with too
little.
"""

from __future__ import annotations

import random
import time
from collections import deque

from stagewalk.gateway.admission.decisions import Admitted, Queued
from stagewalk.gateway.admission.fair_queue import AdmissionRequest, QueueEntry
from stagewalk.gateway.admission.service_admission import ServiceAdmission, final_decision_at
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

REQUESTS = 32_000
ARRIVALS_PER_SECOND = 3_200.0
WORKERS = 600
SLOTS = 1
HOLDING_SECONDS = 0.35
SHORT_HOLDING_SECONDS = 0.1
"""Short enough for the service to have capacity for all requests."""

TARGET_SECONDS = 1.0


class _Clock:
    """Accumulates the time taken by decisions."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.decisions = 0

    def time(self, decide, *arguments):
        began = time.perf_counter()
        result = decide(*arguments)
        self.seconds += time.perf_counter() - began
        self.decisions += 1
        return result

    def __str__(self) -> str:
        return f"{1e6 * self.seconds / max(1, self.decisions):6.1f} us x {self.decisions}"


def main() -> None:
    for tenants in (72, 1_000):
        _simulate(tenants, SHORT_HOLDING_SECONDS)
        _simulate(tenants, HOLDING_SECONDS)


def _simulate(tenants: int, holding_seconds: float) -> None:
    rng = random.Random(1)
    workers = [Worker(announcement(f"w{n}", slots=SLOTS), 0.0) for n in range(WORKERS)]
    for worker in workers:
        worker.record_load(WorkerLoad(SLOTS, 0, SLOTS, 1.0), 0.0)
    admission = ServiceAdmission(lambda: workers, rng)
    admission.note_holding_time("r", holding_seconds)
    offers, rechecks, starts = _Clock(), _Clock(), _Clock()
    ends: deque[float] = deque()
    undecided: deque[QueueEntry] = deque()
    counts = {"at once": 0, "queued": 0, "rejected": 0}
    for n in range(REQUESTS):
        now = n / ARRIVALS_PER_SECOND
        while ends and ends[0] <= now:
            ends.popleft()
            admission.release()
            ends.extend(now + holding_seconds for _ in starts.time(admission.start_due, now))
        while undecided and final_decision_at(undecided[0].request) <= now:
            waiting = undecided.popleft()
            if not waiting.started:
                rechecks.time(admission.recheck, waiting, now)
        tenant = f"t{min(rng.randrange(tenants), rng.randrange(tenants))}"
        request = AdmissionRequest("", "r", tenant, 5, now, now + 5.0, TARGET_SECONDS)
        decision = offers.time(admission.offer, request, now)
        if isinstance(decision, Admitted):
            ends.append(now + holding_seconds)
            counts["at once"] += 1
        elif isinstance(decision, Queued):
            undecided.append(decision.waiting)
            counts["queued"] += 1
        else:
            counts["rejected"] += 1
    total = offers.seconds + rechecks.seconds + starts.seconds
    print(f"{tenants} tenants, {holding_seconds} s: {counts}, waiting {admission.waiting}")
    print(f"  offer {offers}, review {rechecks}, start {starts}")
    print(f"  together {1e6 * total / REQUESTS:.1f} us a request")


if __name__ == "__main__":
    main()
