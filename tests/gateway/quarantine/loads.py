"""Seeded loads on a virtual clock: one request crashes its workers, others are merely there.

    python -m tests.gateway.quarantine.loads [SEEDS]

prints what each way of telling them apart costs: workers that the request ended, tries of it that
reached workers later than three seconds after the third end, and proper requests refused for it.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.core import CrashHistory
from stagewalk.gateway.quarantine.hold_rule import next_crash_count
from stagewalk.gateway.quarantine.records import CrashRecord

NODES = 10
WORKERS = 3
SECONDS = 90.0
DOWN_SECONDS = 3.2
CRASH_SECONDS = 0.1
RUN_SECONDS = 0.04
ATTEMPTS = 2
RETRY_SECONDS = 0.17
VISIT_SECONDS = 4.0
BOUND_SECONDS = 3.0
REQUESTS_PER_SECOND = 40.0
CRASHING = "crashing"
PAUSES = (0.8, 1.2)
"""Seconds between two reads of what other nodes tell."""


@dataclass(frozen=True)
class Way:
    """How requests that crash workers are told from others."""

    name: str
    told: bool = True
    in_a_row: bool = True
    cleared: bool = True
    renewed: bool = True


WAYS = (
    Way("each node for itself", told=False),
    Way("ends counted, told to all", in_a_row=False, cleared=False),
    Way("ends counted, cleared by an answer", in_a_row=False),
    Way("ends in a row, not cleared", cleared=False),
    Way("ends in a row, suspects sent by old news", renewed=False),
    Way("ends in a row, cleared by an answer"),
)


@dataclass
class Outcome:
    crashed: int = 0
    late_tries: int = 0
    refused: int = 0
    requests: int = 0


@dataclass
class Try:
    """One try of a request at one node."""

    content: RequestContent
    node: int
    retries: int
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    reached: bool = False


@dataclass
class Start:
    """One start of a worker."""

    name: str
    running: list[tuple[Try, int]] = field(default_factory=list)


class Load:
    """One seeded load under one way.

    Parameters
    ----------
    rack_losses
        Seconds between losses of all workers at once; 0: none.
    ill_seconds
        Seconds between ends of one worker by itself; 0: none.
    """

    def __init__(
        self, way: Way, seed: int, *, rack_losses: float = 0.0, ill_seconds: float = 0.0
    ) -> None:
        self.way = way
        self.random = random.Random(seed)
        self.now = 0.0
        self.outcome = Outcome()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._views = [CrashHistory(f"n{n}") for n in range(NODES)]
        self._workers: dict[int, Start | None] = {w: Start(f"w{w}.0") for w in range(WORKERS)}
        self._log: list[tuple[str, CrashRecord | None]] = []
        self._unpublished: list[tuple[int, CrashRecord]] = []
        self._read_to = [0] * NODES
        for node in range(NODES):
            self.at(self.random.random(), lambda n=node: self._follow(n))
        self._third_at = float("inf")
        self._crashing = RequestContent("POST", "h", "/crashes", b"")
        self._popular = RequestContent("GET", "h", "/popular", b"")
        self._schedule(rack_losses, self._lose_rack)
        self._schedule(ill_seconds, lambda: self._end(0))
        self.at(5.0, self._visit)
        for at in self._arrivals():
            self.at(at, self._request)

    def run(self) -> Outcome:
        while self._events and self._events[0][0] < SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _schedule(self, every: float, action: Callable[[], None]) -> None:
        for n in range(1, int(SECONDS / every) + 1 if every else 1):
            self.at(n * every + self.random.random(), action)

    def _arrivals(self) -> Iterator[float]:
        at = 0.0
        while at < SECONDS:
            at += self.random.expovariate(REQUESTS_PER_SECOND)
            yield at

    def _visit(self) -> None:
        self._begin(Try(self._crashing, self.random.randrange(NODES), 1))
        self.at(self.now + VISIT_SECONDS, self._visit)

    def _request(self) -> None:
        """Half of the other requests are of one popular content, each other one is its own."""
        self.outcome.requests += 1
        own = RequestContent("GET", "h", f"/{self.outcome.requests}", b"")
        content = self._popular if self.random.random() < 0.5 else own
        self._begin(Try(content, self.random.randrange(NODES), 1))

    def _begin(self, attempt: Try) -> None:
        view = self._views[attempt.node]
        if self.way.renewed and view.consecutive_crashes(attempt.content):
            self._read(attempt.node)
        if view.held(attempt.content, self.now):
            self.outcome.refused += attempt.content is not self._crashing
            if attempt.reached:
                self._failed(attempt)
            return
        up = [w for w, start in self._workers.items() if start and start.name not in attempt.tried]
        if not up or attempt.attempts >= ATTEMPTS:
            self._failed(attempt)
            return
        worker = self.random.choice(up)
        start = self._workers[worker]
        assert start is not None
        attempt.attempts += 1
        attempt.tried.add(start.name)
        start.running.append((attempt, view.consecutive_crashes(attempt.content)))
        crashing = attempt.content is self._crashing
        if crashing and not attempt.reached and self.now > self._third_at + BOUND_SECONDS:
            self.outcome.late_tries += 1
        attempt.reached = True
        seconds = CRASH_SECONDS if crashing else RUN_SECONDS * self.random.uniform(0.5, 2.0)
        self.at(self.now + seconds, lambda: self._done(worker, start, attempt))

    def _done(self, worker: int, start: Start, attempt: Try) -> None:
        if self._workers[worker] is not start:
            return
        if attempt.content is self._crashing:
            self.outcome.crashed += 1
            if self.outcome.crashed == 3:
                self._third_at = self.now
            self._end(worker)
            return
        start.running = [pair for pair in start.running if pair[0] is not attempt]
        if self.way.cleared and self._views[attempt.node].consecutive_crashes(attempt.content):
            self._log += [
                (s.key, None) for s in self._views[attempt.node].clear(attempt.content.digest)
            ]
            self._unpublished = [
                s
                for s in self._unpublished
                if s[0] != attempt.node or s[1].content != attempt.content.digest
            ]

    def _end(self, worker: int) -> None:
        start = self._workers[worker]
        if start is None:
            return
        self._workers[worker] = None
        back = self.now + DOWN_SECONDS * self.random.uniform(0.9, 1.1)
        self.at(back, lambda: self._workers.update({worker: Start(f"w{worker}.{back}")}))
        for attempt, known in start.running:
            view = self._views[attempt.node]
            level = (
                next_crash_count(known)
                if self.way.in_a_row
                else next_crash_count(self._ends(attempt))
            )
            crash = CrashRecord(
                attempt.content.digest,
                start.name,
                f"w{worker}",
                level,
                int(self.now * 1000),
                "",
                "",
            )
            view.add(crash)
            self._unpublished.append((attempt.node, crash))
            self._begin(attempt)

    def _ends(self, attempt: Try) -> int:
        return max(view.consecutive_crashes(attempt.content) for view in self._views)

    def _lose_rack(self) -> None:
        for worker in self._workers:
            self.at(self.now + self.random.uniform(0.0, 0.02), lambda w=worker: self._end(w))

    def _failed(self, attempt: Try) -> None:
        """A try ended without an answer: its node tells of it, and its caller comes back."""
        self._tell(attempt)
        if attempt.retries:
            again = Try(attempt.content, self.random.randrange(NODES), attempt.retries - 1)
            self.at(self.now + RETRY_SECONDS, lambda: self._begin(again))

    def _tell(self, attempt: Try) -> None:
        for node, crash in list(self._unpublished):
            if node == attempt.node and crash.content == attempt.content.digest:
                self._unpublished.remove((node, crash))
                self._log.append((crash.key, crash))

    def _read(self, node: int) -> None:
        """Have a node read all that was told since it last read."""
        if not self.way.told:
            return
        for key, crash in self._log[self._read_to[node] :]:
            if crash is None:
                self._views[node].drop(key)
            else:
                self._views[node].add(crash)
        self._read_to[node] = len(self._log)

    def _follow(self, node: int) -> None:
        self._read(node)
        self.at(self.now + self.random.uniform(*PAUSES), lambda: self._follow(node))


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 50)
    cases = {"calm": {}, "rack": {"rack_losses": 9.0}, "ill worker": {"ill_seconds": 5.0}}
    for case, faults in cases.items():
        for way in WAYS:
            outcomes = [Load(way, seed, **faults).run() for seed in seeds]
            crashed = sorted(outcome.crashed for outcome in outcomes)
            late = max(outcome.late_tries for outcome in outcomes)
            refused = sum(outcome.refused for outcome in outcomes)
            requests = sum(outcome.requests for outcome in outcomes)
            print(
                f"{case:10} {way.name:42} ends {crashed[len(crashed) // 2]:3} in the median, "
                f"{crashed[-1]:3} at most; late tries {late:2} at most; "
                f"refused {refused:6} of {requests}"
            )


if __name__ == "__main__":
    main()
