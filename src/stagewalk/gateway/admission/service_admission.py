"""Which forwarded requests start at a service, which wait and which are refused. Pure.

Answers more requests than a service's workers have room for. A request waits only while it can
still be answered within its target; whether it can is decided as it comes, and again within an
eighth of the target, so that a refused caller has the time to be served elsewhere or later. From
then on it is committed and keeps its turn, also while workers are lost.
Owns the places and the queue of one service. Inputs: the service's workers with the loads they
reported, what became of the requests that started, and the steady clock, in seconds.
Relies on `admission.limit` for how many may be under way, on `admission.fair_queue` for the order,
and on `admission.return_times` for when refused callers return.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

from stagewalk.gateway.admission.decisions import (
    Admitted,
    Decision,
    Queued,
    Rejection,
    RejectionReason,
    WaitEstimate,
)
from stagewalk.gateway.admission.fair_queue import (
    MAXIMUM_RELATIVE_COST,
    RETURNING_EACH,
    AdmissionRequest,
    FairQueue,
    QueueEntry,
)
from stagewalk.gateway.admission.limit import SMOOTHING, ConcurrencyLimit
from stagewalk.gateway.admission.recent_values import RecentCount, SpanMaximum
from stagewalk.gateway.admission.return_times import ReturnTimes
from stagewalk.gateway.admission.tenant_rates import TenantRates
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.workers.worker import Worker

PATIENCE_SHARE = 0.1
"""Part of its target after which a request is refused or committed: callers need to know within an
eighth, and timers are late."""

MAXIMUM_WAIT_SHARE = 0.33
"""Most of its target, and of the time that its deadline leaves, that a request is expected to wait:
a third to wait, a third for the worker, a third for what the expectation is off by."""

SURE_WAIT_SHARE = 0.45
"""The same where less is uncertain. Before which no other starts: it is off by one start at most,
and a node that starts few a second would refuse all that come while one is under way. Which was
told to wait: it is refused once its expectation is worse by more than its error."""

START_DEADLINE_RESERVE_SECONDS = 0.05
"""Left of the deadline for the way of the answer and what a worker takes beyond the usual."""

UNKNOWN_HOLDING_SHARE = 0.5
"""Part of its target that a request is expected to take before any has ended."""

MAXIMUM_QUEUE_LENGTH = 1024
"""Most requests in the queue of a service, whenever they start: bounds memory and tasks."""

MINIMUM_LEFT_SHARE = 0.05
"""Part of all starts that a class is expected to have at least, while more urgent ones take all."""

NEW_SHARE = 0.9
"""A request with this part of the longest time that callers of its route lately came with is a new
one; what has less left returns after a refusal. Where callers differ in the time they give, the
short ones count as returning, and have their share of starts."""

FRESH_SECONDS = 0.5
"""How long a report shows that a worker has room."""

CURRENT_START = 0.5
"""Of the time between two starts, what is left of the current one as a request comes."""

SPARE_OCCUPANCY = 0.5
"""A worker that has fewer requests for each slot gets another one, whatever the bound is: a bound
that was learned from little must not leave workers idle."""

RECHECK_SECONDS = 0.1
"""A request that waits is looked at again after so long: all workers may be gone."""

MAXIMUM_RECHECKS_PER_SECOND = 500.0
"""With many waiting, each is looked at less often: bounds what a long queue costs."""

MINIMUM_RECHECK_SECONDS = 0.002
"""Shortest time between two looks at it: less than that is a busy loop."""

WORKER_SUMMARY_VALID_SECONDS = 0.02
"""How long a look at all workers of the service counts."""


@dataclass(slots=True)
class _Survey:
    """What the workers say, at a time; `spare` is what may start beside the bound."""

    at: float = -math.inf
    workers: int = 0
    spare: int = 0


class ServiceAdmission:
    """Places and queue of one service.

    Parameters
    ----------
    workers
        Returns the service's workers that may get new work.
    """

    def __init__(self, workers: Callable[[], Sequence[Worker]], rng: random.Random) -> None:
        self._workers = workers
        self._limit = ConcurrencyLimit()
        self._queue = FairQueue()
        self._returns = ReturnTimes(rng)
        self._survey = _Survey()
        self._in_flight = 0
        self._starts: dict[tuple[int, bool], RecentCount] = {}
        """By urgency, and whether they return, the requests that started of late."""
        self._tenants = TenantRates()
        self._longest: dict[str, SpanMaximum] = {}
        """By route, the longest time until the deadline that a request came with."""
        self._route_seconds: dict[str, float] = {}
        """By route, how long its requests keep their places, smoothed."""
        self._committed: list[tuple[float, int, QueueEntry]] = []
        """Committed requests by the time at which they should have started at the latest."""
        self._numbers = count()
        self._stopping = False

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the bound, which learns from answers."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return how many have a place."""
        return self._in_flight

    def offer(self, request: AdmissionRequest, now: float) -> Decision:
        """Return whether a request that comes now starts, waits or is refused."""
        returning = self._is_returning(request, now)
        waiting = QueueEntry(request, self._cost(request), returning)
        if self._current_survey(now).workers > 0 and not self._queue:
            self._committed.clear()
            self._limit.forget(now)
            if self._has_place(now):
                self._queue.record_start(waiting, now)
                self._start(waiting, now)
                return Admitted(request)
        wait_estimate = self._expect(waiting, now)
        reason = self._reason_to_end(request, now) or self._reason_to_refuse(wait_estimate, now)
        if reason is not None:
            return self._reject(request, reason, wait_estimate, now)
        self._queue.push(waiting, now)
        return Queued(waiting, wait_estimate)

    def recheck(self, waiting: QueueEntry, now: float) -> Rejection | None:
        """Judge a request that waits once more; remove it if it is refused."""
        request = waiting.request
        reason = self._reason_to_end(request, now)
        if waiting.committed and reason is None:
            return None
        wait_estimate = self._expect(waiting, now, told=True)
        reason = reason or self._reason_to_refuse(wait_estimate, now)
        if reason is not None:
            self._queue.remove(waiting)
            return self._reject(request, reason, wait_estimate, now)
        if now >= patience_ends_at(request):
            waiting.committed = True
            latest = now + wait_estimate.allowed_seconds
            heappush(self._committed, (latest, next(self._numbers), waiting))
        return None

    def start_due(self, now: float) -> list[QueueEntry]:
        """Return the requests that start now, in order; each of them has its place."""
        started: list[QueueEntry] = []
        while self._queue and self._has_place(now):
            self._mark_overdue(now)
            waiting = self._queue.pop()
            self._start(waiting, now)
            started.append(waiting)
        return started

    def withdraw(self, waiting: QueueEntry) -> None:
        """Remove a request whose caller left; it gives back its place if it has one."""
        if waiting.started:
            self.release()
        else:
            self._queue.remove(waiting)

    def release(self) -> None:
        """Give back a place."""
        self._in_flight -= 1

    def note_holding_time(self, route: str, seconds: float) -> None:
        """Record how long a request that workers ran kept its place."""
        self._limit.note_holding_time(seconds)
        before = self._route_seconds.get(route, seconds)
        self._route_seconds[route] = before + SMOOTHING * (seconds - before)

    def may_hedge(self, now: float) -> bool:
        """Whether there is room for a second attempt beside a slow one, which takes no place."""
        return not self._queue and self._has_place(now)

    def stop(self) -> None:
        """Refuse from now on whatever can't start at once."""
        self._stopping = True

    def seconds_until_recheck(self, waiting: QueueEntry, now: float) -> float:
        """Return after how many seconds a request that waits is to be looked at again.

        Something may have changed that no ended request tells: its patience, its time, or that of
        the next start where the bound is below one request under way.
        """
        request = waiting.request
        next_at = self._last_start(request)
        if not waiting.committed:
            next_at = min(next_at, patience_ends_at(request))
        paced = self._limit.next_start_at
        if paced > now:
            next_at = min(next_at, paced)
        look = max(RECHECK_SECONDS, len(self._queue) / MAXIMUM_RECHECKS_PER_SECOND)
        return max(MINIMUM_RECHECK_SECONDS, min(next_at - now, look))

    def retry_after(self, request: AdmissionRequest, now: float) -> float:
        """Return when a caller may return whose request all workers that got it refused."""
        returning = self._is_returning(request, now)
        waiting = QueueEntry(request, self._cost(request), returning)
        wait_estimate = self._expect(waiting, now)
        return self._choose_return(request, wait_estimate, now)

    def _start(self, waiting: QueueEntry, now: float) -> None:
        waiting.started = True
        self._in_flight += 1
        self._limit.record_started(now)
        key = (waiting.request.urgency, waiting.returning)
        self._starts.setdefault(key, RecentCount()).add(now)
        self._tenants.record_start(waiting.request.tenant, now)

    def _is_returning(self, request: AdmissionRequest, now: float) -> bool:
        allowed = request.deadline_at - request.arrived_at
        longest = self._longest.get(request.route)
        if longest is None:
            longest = self._longest[request.route] = SpanMaximum()
        longest.observe(allowed, now)
        return allowed < NEW_SHARE * longest.value

    def _has_place(self, now: float) -> bool:
        survey = self._current_survey(now)
        if self._limit.has_place(self._in_flight, now):
            return True
        if survey.spare > 0:
            survey.spare -= 1
            return True
        return False

    def _current_survey(self, now: float) -> _Survey:
        survey = self._survey
        if now - survey.at >= WORKER_SUMMARY_VALID_SECONDS:
            workers = self._workers()
            survey.at, survey.workers = now, len(workers)
            survey.spare = sum(_spare_places(worker, now) for worker in workers)
            self._limit.set_slots(sum(worker.announcement.slots for worker in workers))
        return survey

    def _expect(self, waiting: QueueEntry, now: float, *, told: bool = False) -> WaitEstimate:
        """Return what a request is judged by; `told`: it was told to wait before."""
        request = waiting.request
        ahead = self._queue.ahead_of(waiting, now)
        seconds = self._seconds_per_start(request, now) / self._left_share(waiting, now)
        return WaitEstimate(
            ahead=ahead,
            ahead_of_tenant=self._queue.waiting_of(request.tenant),
            wait_seconds=(ahead + CURRENT_START) * seconds,
            allowed_seconds=self._latest_start(request, sure=told or ahead == 0) - now,
            in_flight=self._in_flight,
            limit=self._limit.value,
        )

    def _reason_to_end(self, request: AdmissionRequest, now: float) -> RejectionReason | None:
        """Return why a request is refused even if it was committed."""
        if self._current_survey(now).workers == 0:
            return RejectionReason.NO_WORKER
        if self._stopping:
            return RejectionReason.STOPPING
        return RejectionReason.TOO_LATE if now > self._last_start(request) else None

    def _reason_to_refuse(self, wait_estimate: WaitEstimate, now: float) -> RejectionReason | None:
        if len(self._queue) > MAXIMUM_QUEUE_LENGTH:
            return RejectionReason.QUEUE_FULL
        return None if wait_estimate.in_time else RejectionReason.TOO_LATE

    def _reject(
        self, request: AdmissionRequest, reason: RejectionReason, expected: WaitEstimate, now: float
    ) -> Rejection:
        return Rejection(reason, self._choose_return(request, expected, now), expected)

    def _choose_return(
        self, request: AdmissionRequest, expected: WaitEstimate, now: float
    ) -> float:
        too_long = expected.wait_seconds - max(0.0, expected.allowed_seconds)
        if self._current_survey(now).workers == 0:
            too_long = max(too_long, DEFAULT_RETRY_AFTER_SECONDS)
        return self._returns.choose(
            request.urgency,
            too_long_seconds=too_long,
            seconds_per_start=self._seconds_per_start(request, now),
            left_seconds=request.deadline_at - now,
            now=now,
        )

    def _left_share(self, waiting: QueueEntry, now: float) -> float:
        """Return the share of all starts that is left to a request by those that come meanwhile.

        These are the more urgent ones, the new ones if it returns, and if its tenant is behind
        those of the others.
        """
        urgency, holding = waiting.request.urgency, self._limit.holding_seconds
        rates = {key: count.rate(now) for key, count in self._starts.items()}
        most = max(sum(rates.values()), self._limit.value / holding if holding else 0.0)
        if most == 0.0:
            return 1.0
        more_urgent = sum(rate for (u, _), rate in rates.items() if u < urgency)
        left = max(MINIMUM_LEFT_SHARE, 1.0 - more_urgent / most)
        new = rates.get((urgency, False), 0.0) / most
        if waiting.returning:
            left = max(left / RETURNING_EACH, left - new)
        if not self._queue.is_behind(waiting, now):
            return left
        others = self._tenants.before(waiting.request.tenant, now) / most
        return max(MINIMUM_LEFT_SHARE * left, left - others)

    def _seconds_per_start(self, request: AdmissionRequest, now: float) -> float:
        self._current_survey(now)
        return self._limit.seconds_per_start(UNKNOWN_HOLDING_SHARE * request.target_seconds)

    def _holding(self, request: AdmissionRequest) -> float:
        unknown = UNKNOWN_HOLDING_SHARE * request.target_seconds
        return self._route_seconds.get(request.route, self._limit.holding_seconds or unknown)

    def _cost(self, request: AdmissionRequest) -> float:
        usual = self._limit.holding_seconds
        return 1.0 if not usual else min(MAXIMUM_RELATIVE_COST, self._holding(request) / usual)

    def _latest_start(self, request: AdmissionRequest, *, sure: bool) -> float:
        """Return until when it is to start: for its target, but patience is granted to all."""
        target = request.target_seconds
        share = SURE_WAIT_SHARE if sure else MAXIMUM_WAIT_SHARE
        wait = share * target
        if not request.streamed:
            wait = min(wait, target - self._holding(request))
        of_deadline = share * (self._last_start(request) - request.arrived_at)
        return request.arrived_at + min(max(wait, PATIENCE_SHARE * target), of_deadline)

    def _last_start(self, request: AdmissionRequest) -> float:
        """Return until when it may start for its deadline."""
        return request.deadline_at - START_DEADLINE_RESERVE_SECONDS - self._holding(request)

    def _mark_overdue(self, now: float) -> None:
        while self._committed and self._committed[0][0] <= now:
            waiting = heappop(self._committed)[2]
            if not waiting.started:
                self._queue.add_overdue(waiting)


def patience_ends_at(request: AdmissionRequest) -> float:
    """Return when a request that waits is refused or committed."""
    return request.arrived_at + PATIENCE_SHARE * request.target_seconds


def _spare_places(worker: Worker, now: float) -> int:
    """Return how many more requests a worker surely has room for, by a fresh report."""
    if worker.load is None or now - worker.load_at > FRESH_SECONDS:
        return 0
    slots = max(1, worker.announcement.slots)
    return max(0, math.ceil((SPARE_OCCUPANCY - worker.occupancy(now)) * slots))
