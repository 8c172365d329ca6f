"""Simulation of many nodes with different views that send to one cold worker."""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.cold_starts.leases import ColdLease, ColdLeases
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.routes.route import Service
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.workers.support import announcement

RATE = 11.0
COLD_SECONDS = 3.0
SERVICE = Service("s", cold_seconds=COLD_SECONDS, cold_rate=RATE)
WORKER = "w"

COLD_AT = 10.0
"""When the evacuation of the worker's zone ends, and the worker becomes cold."""

END = COLD_AT + 6.0
MAXIMUM_VIEW_INTERVAL_SECONDS = 2.0
MAXIMUM_CONNECT_SECONDS = 0.9
SEND_INTERVAL_SECONDS = 0.03


@dataclass
class SharedLog:
    """Log of lease records with conditional append."""

    records: list[ColdLease] = field(default_factory=list)

    def append_at(self, record: ColdLease, end: int) -> bool:
        if len(self.records) != end:
            return False
        self.records.append(record)
        return True


class Sender:
    """One node, whose views are delayed; it may be disconnected from the log, or suspended.

    Attributes
    ----------
    disconnected
        Start and end of the time during which it reads and appends nothing.
    suspended
        Whether it doesn't run during that time.
    """

    def __init__(self, world: World, number: int, make_leases: Callable[[str], ColdLeases]) -> None:
        self.world = world
        self.random = random.Random(f"{world.seed}/{number}")
        self.leases = make_leases(f"n{number}#1")
        self.cold = ColdStarts(self.leases, self.view_age)
        self.worker = Worker(announcement(WORKER), 0.0)
        self.applied = 0
        self.read_at = 0.0
        self.evacuated = False
        self.first_choice = number == world.first_choice
        kind = self.random.random()
        begin = COLD_AT + self.random.uniform(-9.0, 2.0)
        self.disconnected = (
            (begin, begin + self.random.uniform(2.0, 9.0)) if kind < 0.2 else (0.0, 0.0)
        )
        self.suspended = kind < 0.08
        self.first_read = self.random.uniform(COLD_AT - 1.0, COLD_AT + 2.0) if kind > 0.95 else 0.0

    def view_age(self, now: float) -> float:
        return now - self.read_at

    def is_connected(self, now: float) -> bool:
        return not self.disconnected[0] <= now < self.disconnected[1]

    def is_running(self, now: float) -> bool:
        return now >= self.first_read and (self.is_connected(now) or not self.suspended)

    def read(self) -> None:
        """Read operators' records and the worker's entry."""
        now = self.world.now
        self.world.after(self.random.uniform(0.2, MAXIMUM_VIEW_INTERVAL_SECONDS), self.read)
        if not self.is_connected(now) or not self.is_running(now):
            return
        if now - self.read_at > self.world.gap_seconds or self.read_at == 0.0:
            self.cold.views_renewed(now)
        self.read_at = now
        evacuated = self.world.evacuated_from <= now < COLD_AT
        if self.evacuated and not evacuated:
            self.cold.mark_cold(self.worker, COLD_SECONDS, now)
        self.evacuated = evacuated
        if now >= COLD_AT + self.world.entry_lag:
            left = COLD_AT + COLD_SECONDS - now
            if left > 0.0:
                self.cold.mark_cold(self.worker, left, now)

    def lease(self) -> None:
        """Try to acquire the lease, as `cold_lease_service` does."""
        now = self.world.now
        self.world.after(0.1, self.lease)
        if not self.is_connected(now) or not self.is_running(now):
            return
        if not self.cold.leases_to_acquire(now, lambda _worker: self.first_choice):
            return
        for record in self.world.log.records[self.applied :]:
            self.leases.apply(record, now)
        self.applied = len(self.world.log.records)
        due = self.cold.leases_to_acquire(now, lambda _worker: self.first_choice)
        acquire = self.leases.acquire(due, self.applied, now)
        if acquire is not None:
            self.world.after(self.random.uniform(0.0, 0.5), lambda: self.append(acquire, now))

    def append(self, acquire, sent_at: float) -> None:
        taken = self.world.log.append_at(acquire.record, acquire.end)
        lost = self.random.random() < 0.2
        if taken and not lost:
            answer = self.random.uniform(0.0, 0.5)
            self.world.after(answer, lambda: self.leases.record_won(acquire.record, sent_at))

    def send(self) -> None:
        """Try to send a request, whose connection may take long to open."""
        now = self.world.now
        self.world.after(SEND_INTERVAL_SECONDS * self.random.uniform(0.5, 1.5), self.send)
        if not self.is_running(now) or self.evacuated:
            return
        denial = self.cold.denial(self.worker, SERVICE, now)
        if denial is Denial.COLD_WITHOUT_LEASE:
            self.cold.request_leases([WORKER], now)
        if denial is None:
            reserved = self.cold.reserve(self.worker, SERVICE, now)
            late = self.random.random() < 0.3
            connect = self.random.uniform(0.0, MAXIMUM_CONNECT_SECONDS) if late else 0.002
            self.world.after(connect, lambda: self.confirm(reserved))

    def confirm(self, reserved: float | None) -> None:
        now = self.world.now
        if not self.is_running(now):
            self.world.after(0.05, lambda: self.confirm(reserved))
        elif not self.evacuated and self.world.confirm(self, reserved) is None:
            self.world.arrivals.append(now + self.random.uniform(0.0, 0.005))


class World:
    """All senders, the log and the clock."""

    def __init__(
        self,
        seed: int,
        senders: int = 75,
        make_leases: Callable[[str], ColdLeases] = ColdLeases,
    ) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.now = 0.0
        self.log = SharedLog()
        self.arrivals: list[float] = []
        self.gap_seconds = 3.0
        self.evacuated_from = COLD_AT - self.random.uniform(3.2, 8.0)
        self.entry_lag = self.random.uniform(0.0, 1.2)
        self.first_choice = self.random.randrange(senders)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.senders = [Sender(self, number, make_leases) for number in range(senders)]
        for sender in self.senders:
            self.after(self.random.uniform(0.0, 0.5), sender.read)
            for step in (sender.lease, sender.send):
                self.after(COLD_AT - 1.0 + self.random.uniform(0.0, 0.1), step)

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._numbers), step))

    def confirm(self, sender: Sender, reserved: float | None) -> Denial | None:
        return sender.cold.confirm(sender.worker, SERVICE, reserved, self.now)

    def run(self) -> World:
        while self._queue and self._queue[0][0] < END:
            self.now, _, step = heapq.heappop(self._queue)
            step()
        return self

    @property
    def maximum_per_second(self) -> int:
        """Return the maximum number of arrivals in any second while the worker was cold."""
        cold = sorted(at for at in self.arrivals if COLD_AT <= at < COLD_AT + COLD_SECONDS)
        ends = (bisect.bisect_left(cold, at + 1.0) for at in cold)
        return max((end - begin for begin, end in enumerate(ends)), default=0)

    @property
    def arrived_while_cold(self) -> int:
        return sum(COLD_AT <= at < COLD_AT + COLD_SECONDS for at in self.arrivals)
