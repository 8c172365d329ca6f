"""Seeded simulation of a request that crashes its workers, among requests that don't.

    python -m tests.gateway.quarantine.loads [SEEDS]

prints for each strategy of finding the crashing request: workers that it crashed, calls of it that
reached workers later than three seconds after the third crash, and other requests refused.
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
DURATION_SECONDS = 90.0
DOWN_SECONDS = 3.2
CRASH_SECONDS = 0.1
RUN_SECONDS = 0.04
ATTEMPTS = 2
RETRY_SECONDS = 0.17
CRASHING_REQUEST_INTERVAL_SECONDS = 4.0
DETECTION_SECONDS = 3.0
REQUESTS_PER_SECOND = 40.0
CRASHING = "crashing"
POLL_INTERVALS = (0.8, 1.2)
"""Seconds between two reads of other nodes' records."""


@dataclass(frozen=True)
class Strategy:
    """How requests that crash workers are found.

    Attributes
    ----------
    published
        Whether nodes read the crashes that other nodes publish.
    consecutive
        Whether only consecutive crashes count.
    cleared_by_answer
        Whether an answer clears the crashes of its content.
    refreshed
        Whether records are read before a content with known crashes is sent.
    """

    name: str
    published: bool = True
    consecutive: bool = True
    cleared_by_answer: bool = True
    refreshed: bool = True


STRATEGIES = (
    Strategy("each node for itself", published=False),
    Strategy("ends counted, told to all", consecutive=False, cleared_by_answer=False),
    Strategy("ends counted, cleared by an answer", consecutive=False),
    Strategy("ends in a row, not cleared", cleared_by_answer=False),
    Strategy("ends in a row, suspects sent by old news", refreshed=False),
    Strategy("ends in a row, cleared by an answer"),
)


@dataclass
class Outcome:
    crashed: int = 0
    late_calls: int = 0
    refused: int = 0
    requests: int = 0


@dataclass
class ClientCall:
    """One call of a client at one node, with up to `ATTEMPTS` attempts at workers."""

    content: RequestContent
    node: int
    retries: int
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    reached: bool = False


@dataclass
class Incarnation:
    """One incarnation of a worker."""

    name: str
    running: list[tuple[ClientCall, int]] = field(default_factory=list)


class Load:
    """One seeded load with one strategy.

    Parameters
    ----------
    rack_loss_interval
        Seconds between losses of all workers at once; 0: none.
    worker_crash_interval
        Seconds between crashes of one worker that no request causes; 0: none.
    """

    def __init__(
        self,
        strategy: Strategy,
        seed: int,
        *,
        rack_loss_interval: float = 0.0,
        worker_crash_interval: float = 0.0,
    ) -> None:
        self.strategy = strategy
        self.random = random.Random(seed)
        self.now = 0.0
        self.outcome = Outcome()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._views = [CrashHistory(f"n{n}") for n in range(NODES)]
        self._workers: dict[int, Incarnation | None] = {
            w: Incarnation(f"w{w}.0") for w in range(WORKERS)
        }
        self._log: list[tuple[str, CrashRecord | None]] = []
        self._unpublished: list[tuple[int, CrashRecord]] = []
        self._read_offsets = [0] * NODES
        for node in range(NODES):
            self.at(self.random.random(), lambda n=node: self._poll(n))
        self._third_crash_at = float("inf")
        self._crashing = RequestContent("POST", "h", "/crashes", b"")
        self._popular = RequestContent("GET", "h", "/popular", b"")
        self._schedule(rack_loss_interval, self._lose_rack)
        self._schedule(worker_crash_interval, lambda: self._crash_worker(0))
        self.at(5.0, self._send_crashing_request)
        for at in self._arrivals():
            self.at(at, self._request)

    def run(self) -> Outcome:
        while self._events and self._events[0][0] < DURATION_SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _schedule(self, every: float, action: Callable[[], None]) -> None:
        for n in range(1, int(DURATION_SECONDS / every) + 1 if every else 1):
            self.at(n * every + self.random.random(), action)

    def _arrivals(self) -> Iterator[float]:
        at = 0.0
        while at < DURATION_SECONDS:
            at += self.random.expovariate(REQUESTS_PER_SECOND)
            yield at

    def _send_crashing_request(self) -> None:
        self._begin(ClientCall(self._crashing, self.random.randrange(NODES), 1))
        self.at(self.now + CRASHING_REQUEST_INTERVAL_SECONDS, self._send_crashing_request)

    def _request(self) -> None:
        """Send a request: half of them are of one popular content, the rest of unique ones."""
        self.outcome.requests += 1
        unique = RequestContent("GET", "h", f"/{self.outcome.requests}", b"")
        content = self._popular if self.random.random() < 0.5 else unique
        self._begin(ClientCall(content, self.random.randrange(NODES), 1))

    def _begin(self, call: ClientCall) -> None:
        view = self._views[call.node]
        if self.strategy.refreshed and view.consecutive_crashes(call.content):
            self._read_log(call.node)
        if view.held(call.content, self.now):
            self.outcome.refused += call.content is not self._crashing
            if call.reached:
                self._fail(call)
            return
        candidates = [
            w
            for w, incarnation in self._workers.items()
            if incarnation and incarnation.name not in call.tried
        ]
        if not candidates or call.attempts >= ATTEMPTS:
            self._fail(call)
            return
        worker = self.random.choice(candidates)
        incarnation = self._workers[worker]
        assert incarnation is not None
        call.attempts += 1
        call.tried.add(incarnation.name)
        incarnation.running.append((call, view.consecutive_crashes(call.content)))
        crashing = call.content is self._crashing
        if crashing and not call.reached and self.now > self._third_crash_at + DETECTION_SECONDS:
            self.outcome.late_calls += 1
        call.reached = True
        seconds = CRASH_SECONDS if crashing else RUN_SECONDS * self.random.uniform(0.5, 2.0)
        self.at(self.now + seconds, lambda: self._finish(worker, incarnation, call))

    def _finish(self, worker: int, incarnation: Incarnation, call: ClientCall) -> None:
        if self._workers[worker] is not incarnation:
            return
        if call.content is self._crashing:
            self.outcome.crashed += 1
            if self.outcome.crashed == 3:
                self._third_crash_at = self.now
            self._crash_worker(worker)
            return
        incarnation.running = [pair for pair in incarnation.running if pair[0] is not call]
        if self.strategy.cleared_by_answer and self._views[call.node].consecutive_crashes(
            call.content
        ):
            self._log += [(s.key, None) for s in self._views[call.node].clear(call.content.digest)]
            self._unpublished = [
                s
                for s in self._unpublished
                if s[0] != call.node or s[1].content != call.content.digest
            ]

    def _crash_worker(self, worker: int) -> None:
        incarnation = self._workers[worker]
        if incarnation is None:
            return
        self._workers[worker] = None
        restart_at = self.now + DOWN_SECONDS * self.random.uniform(0.9, 1.1)
        self.at(
            restart_at,
            lambda: self._workers.update({worker: Incarnation(f"w{worker}.{restart_at}")}),
        )
        for call, known in incarnation.running:
            view = self._views[call.node]
            level = (
                next_crash_count(known)
                if self.strategy.consecutive
                else next_crash_count(self._known_crashes(call))
            )
            crash = CrashRecord(
                call.content.digest,
                incarnation.name,
                f"w{worker}",
                level,
                int(self.now * 1000),
                "",
                "",
            )
            view.add(crash)
            self._unpublished.append((call.node, crash))
            self._begin(call)

    def _known_crashes(self, call: ClientCall) -> int:
        return max(view.consecutive_crashes(call.content) for view in self._views)

    def _lose_rack(self) -> None:
        for worker in self._workers:
            self.at(
                self.now + self.random.uniform(0.0, 0.02), lambda w=worker: self._crash_worker(w)
            )

    def _fail(self, call: ClientCall) -> None:
        """End a call without an answer: its node publishes its crashes, and its client retries."""
        self._publish(call)
        if call.retries:
            retry = ClientCall(call.content, self.random.randrange(NODES), call.retries - 1)
            self.at(self.now + RETRY_SECONDS, lambda: self._begin(retry))

    def _publish(self, call: ClientCall) -> None:
        for node, crash in list(self._unpublished):
            if node == call.node and crash.content == call.content.digest:
                self._unpublished.remove((node, crash))
                self._log.append((crash.key, crash))

    def _read_log(self, node: int) -> None:
        """Have a node read all records since its last read."""
        if not self.strategy.published:
            return
        for key, crash in self._log[self._read_offsets[node] :]:
            if crash is None:
                self._views[node].drop(key)
            else:
                self._views[node].add(crash)
        self._read_offsets[node] = len(self._log)

    def _poll(self, node: int) -> None:
        self._read_log(node)
        self.at(self.now + self.random.uniform(*POLL_INTERVALS), lambda: self._poll(node))


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 50)
    cases = {
        "calm": {},
        "rack": {"rack_loss_interval": 9.0},
        "ill worker": {"worker_crash_interval": 5.0},
    }
    for case, faults in cases.items():
        for strategy in STRATEGIES:
            outcomes = [Load(strategy, seed, **faults).run() for seed in seeds]
            crashed = sorted(outcome.crashed for outcome in outcomes)
            late = max(outcome.late_calls for outcome in outcomes)
            refused = sum(outcome.refused for outcome in outcomes)
            requests = sum(outcome.requests for outcome in outcomes)
            print(
                f"{case:10} {strategy.name:42} ends {crashed[len(crashed) // 2]:3} in the median, "
                f"{crashed[-1]:3} at most; late tries {late:2} at most; "
                f"refused {refused:6} of {requests}"
            )


if __name__ == "__main__":
    main()
