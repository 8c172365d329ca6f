"""Simulation of nodes, workers and callers on a virtual clock, for tests of admission."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from stagewalk.gateway.admission.decisions import Admitted, Rejection
from stagewalk.gateway.admission.fair_queue import AdmissionRequest, QueueEntry
from stagewalk.gateway.admission.service_admission import ServiceAdmission
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

MAXIMUM_CALLER_WAIT_SHARE = 1.0 / 3.0
"""Maximum delay before a caller retries, as a share of its time left."""


@dataclass
class Call:
    """A caller's request, with all its retries, and its outcome."""

    tenant: str
    asked_at: float
    target: float
    deadline_at: float
    urgency: int = 5
    tried_at: float = 0.0
    """Time of the latest try."""
    served_at: float | None = None
    refused_waits: list[float] = field(default_factory=list)

    @property
    def seconds(self) -> float | None:
        return None if self.served_at is None else self.served_at - self.asked_at


@dataclass
class SimulatedWorker:
    """Runs up to `slots` requests at once, queues as many more, and refuses the rest."""

    name: str
    slots: int
    seconds: float
    running: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)
    lost: bool = False

    @property
    def load(self) -> WorkerLoad:
        return WorkerLoad(self.running, len(self.queue), self.slots, 1.0)


class Node:
    """A node with its own view of all workers."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.simulation = simulation
        self.views = {
            worker.name: Worker(announcement(worker.name, slots=worker.slots), 0.0)
            for worker in simulation.workers
        }
        self.admission = ServiceAdmission(self.usable, rng)
        self.starts: dict[QueueEntry, Callable[[], None]] = {}

    def usable(self) -> list[Worker]:
        return [self.views[worker.name] for worker in self.simulation.workers if not worker.lost]

    def ask(self, call: Call) -> None:
        now = call.tried_at = self.simulation.now
        request = AdmissionRequest(
            "", "r", call.tenant, call.urgency, now, call.deadline_at, call.target
        )
        decision = self.admission.offer(request, now)
        if isinstance(decision, Admitted):
            self.send(call, request, now)
        elif isinstance(decision, Rejection):
            self.refuse(call, request, decision.retry_after_seconds)
        else:
            self.wait(call, request, decision.waiting)

    def wait(self, call: Call, request: AdmissionRequest, waiting: QueueEntry) -> None:
        self.starts[waiting] = lambda: self.send(call, request, self.simulation.now, waiting)
        self.review(call, request, waiting)

    def review(self, call: Call, request: AdmissionRequest, waiting: QueueEntry) -> None:
        self.start_due()
        if waiting.started or waiting not in self.starts:
            return
        now = self.simulation.now
        rejection = self.admission.recheck(waiting, now)
        if rejection is not None:
            del self.starts[waiting]
            self.refuse(call, request, rejection.retry_after_seconds)
            return
        delay = self.admission.seconds_until_recheck(waiting, now)
        self.simulation.after(delay, lambda: self.review(call, request, waiting))

    def start_due(self) -> None:
        for waiting in self.admission.start_due(self.simulation.now):
            self.starts.pop(waiting)()

    def send(
        self,
        call: Call,
        request: AdmissionRequest,
        since: float,
        waiting: QueueEntry | None = None,
        tried: str = "",
    ) -> None:
        """Send to the least loaded worker in this node's view, then to another one if refused."""
        views = [view for view in self.usable() if view.announcement.worker != tried]
        view = min(views, key=lambda view: view.occupancy(self.simulation.now), default=None)
        if view is None:
            self.refused_by_all(call, request, since, waiting)
            return
        worker = self.simulation.workers_by_name[view.announcement.worker]
        view.record_sent()

        def answered(seconds: float | None) -> None:
            now = self.simulation.now
            view.record_ended()
            view.record_load(worker.load, now)
            limit, in_flight = self.admission.limit, self.admission.in_flight
            if seconds is None:
                limit.record_refused(in_flight, now)
                if tried:
                    self.refused_by_all(call, request, since, waiting)
                else:
                    self.send(call, request, since, waiting, view.announcement.worker)
                return
            limit.record_answered(seconds, worker.load.waiting / worker.slots, in_flight, now)
            self.end(call, request, since, ran=True)

        self.simulation.arrive(worker, answered)

    def refused_by_all(
        self, call: Call, request: AdmissionRequest, since: float, waiting: QueueEntry | None
    ) -> None:
        """Queue a committed request again; any other one ends without having run."""
        if waiting is not None and self.admission.requeue(waiting, self.simulation.now):
            self.wait(call, request, waiting)
        else:
            self.end(call, request, since, ran=False)

    def end(self, call: Call, request: AdmissionRequest, since: float, *, ran: bool) -> None:
        now = self.simulation.now
        if ran:
            self.admission.note_holding_time("r", now - since)
            if now <= call.deadline_at:
                call.served_at = now
        self.admission.release()
        if not ran:
            self.refuse(call, request, self.admission.retry_after(request, now))
        self.start_due()

    def refuse(self, call: Call, request: AdmissionRequest, retry_after: float) -> None:
        """Have the caller retry at any node while enough time is left."""
        now = self.simulation.now
        call.refused_waits.append(now - request.arrived_at)
        left = call.deadline_at - now
        delay = min(retry_after, MAXIMUM_CALLER_WAIT_SHARE * left)
        if left > 0.1:
            self.simulation.after(delay, lambda: self.simulation.ask(call))


class Simulation:
    """The clock, the workers and the nodes."""

    def __init__(
        self, *, nodes: int = 1, workers: int = 3, slots: int = 6, seconds: float = 0.04
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(7)
        self.workers = [SimulatedWorker(f"w{i}", slots, seconds) for i in range(workers)]
        self.workers_by_name = {worker.name: worker for worker in self.workers}
        self.nodes = [Node(self, random.Random(i)) for i in range(nodes)]
        self.calls: list[Call] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heappush(self._events, (self.now + seconds, next(self._sequence), action))

    def demand(
        self,
        tenants: Iterable[str],
        rate: float,
        begin: float,
        end: float,
        *,
        target: float = 0.4,
        timeout: float = 2.0,
        urgency: int = 5,
    ) -> None:
        """Schedule calls of each tenant at random times with the given rate per second."""
        for tenant in tenants:
            at = begin + self.rng.expovariate(rate)
            while at < end:
                call = Call(tenant, at, target, at + timeout, urgency)
                self.calls.append(call)
                self.after(at, lambda call=call: self.ask(call))
                at += self.rng.expovariate(rate)

    def ask(self, call: Call) -> None:
        self.rng.choice(self.nodes).ask(call)

    def arrive(self, worker: SimulatedWorker, answered: Callable[[float | None], None]) -> None:
        began = self.now

        def run() -> None:
            worker.running += 1
            self.after(worker.seconds * self.rng.uniform(0.7, 1.3), end)

        def end() -> None:
            worker.running -= 1
            if worker.queue:
                worker.queue.pop(0)()
            answered(self.now - began)

        if worker.running < worker.slots:
            run()
        elif len(worker.queue) < worker.slots:
            worker.queue.append(run)
        else:
            self.after(0.001, lambda: answered(None))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()


def by_tenant(calls: Iterable[Call]) -> dict[str, list[Call]]:
    grouped: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        grouped[call.tenant].append(call)
    return grouped


def served_share(calls: Iterable[Call], within: float = float("inf")) -> float:
    calls = list(calls)
    return sum(c.seconds is not None and c.seconds <= within for c in calls) / len(calls)


def percentile(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def longest_refused_wait(calls: Iterable[Call]) -> float:
    return max((wait for call in calls for wait in call.refused_waits), default=0.0)
